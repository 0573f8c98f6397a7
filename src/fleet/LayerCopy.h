#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/Replica.h"

/** Helpers of the planner for groups of replicas that hold copies of a model. A
 * member of a group has a replica and the layers that it holds or will hold. */
namespace poplartrack::layer_copy {

/** A zone keeps a copy of its own as long as the copy has memory for this
 * fraction of the token target. Below it, crossing zones costs less than the
 * requests that would be refused. */
inline constexpr double kMinCopyFraction = 0.2;

/** Returns the tokens that each replica of a copy should keep memory for:
 * requests of mean length in all slots. The copy of a zone can then take over
 * the load of another zone that lost a replica. With less, nearly all memory is
 * reserved even under low load, and the loss of one replica causes refusals
 * until it is back.
 */
inline double
tokenTarget(const EngineProfile& aProfile)
{
  return aProfile.slots *
         (aProfile.meanPromptTokens + aProfile.meanAnswerTokens);
}

/** Returns the accelerator of a replica, or null if its kind is not declared.
 */
inline const AcceleratorKind*
kindOf(const EngineProfile& aProfile, const Replica& aReplica)
{
  const auto found = aProfile.kinds.find(aReplica.kind);
  return found == aProfile.kinds.end() ? nullptr : &found->second;
}

/** Returns the accelerators of some members. */
template<typename Members>
std::vector<const AcceleratorKind*>
kindsOf(const EngineProfile& aProfile, const Members& aMembers)
{
  std::vector<const AcceleratorKind*> kinds;
  kinds.reserve(aMembers.size());
  for (const auto* member : aMembers) {
    kinds.push_back(kindOf(aProfile, *member->replica));
  }
  return kinds;
}

/** Returns pointers to the members of a group, for sorting or dividing it. */
template<typename Member>
std::vector<Member*>
pointersTo(std::vector<Member>& aGroup)
{
  std::vector<Member*> all;
  all.reserve(aGroup.size());
  for (Member& member : aGroup) {
    all.push_back(&member);
  }
  return all;
}

/** Returns the layers that no member of the group holds, as ranges. */
template<typename Group>
std::vector<LayerRange>
gapsOf(const Group& aGroup, std::uint32_t aLayers)
{
  std::vector<bool> held(aLayers, false);
  for (const auto& member : aGroup) {
    for (auto i = member.layers.from; i < member.layers.to && i < aLayers;
         ++i) {
      held[i] = true;
    }
  }
  std::vector<LayerRange> gaps;
  for (std::uint32_t i = 0; i < aLayers; ++i) {
    if (held[i]) {
      continue;
    }
    if (gaps.empty() || gaps.back().to != i) {
      gaps.push_back({ i, i });
    }
    gaps.back().to = i + 1;
  }
  return gaps;
}

/** Returns the last layer, not after aLayer, at which the range of some member
 * begins or ends; 0 if there is none. */
template<typename Group>
std::uint32_t
boundaryBefore(const Group& aGroup, std::uint32_t aLayer)
{
  std::uint32_t last = 0;
  for (const auto& member : aGroup) {
    for (const std::uint32_t boundary :
         { member.layers.from, member.layers.to }) {
      if (member.layers.size() > 0 && boundary <= aLayer) {
        last = std::max(last, boundary);
      }
    }
  }
  return last;
}

/** Returns, for each layer, the step factor of the fastest member that holds it
 * or will once its order is done; aUnheld if there is none. */
template<typename Group>
std::vector<double>
stepFactorByLayer(const EngineProfile& aProfile,
                  const Group& aGroup,
                  double aUnheld)
{
  std::vector<double> fastest(aProfile.layers, aUnheld);
  for (const auto& member : aGroup) {
    const double step = kindOf(aProfile, *member.replica)->stepFactor;
    for (auto i = member.layers.from;
         i < member.layers.to && i < aProfile.layers;
         ++i) {
      fastest[i] = std::min(fastest[i], step);
    }
  }
  return fastest;
}

/** Returns, for each layer, the tokens that all its holders together have
 * memory for. */
template<typename Group>
std::vector<double>
tokenCapacityByLayer(const EngineProfile& aProfile, const Group& aGroup)
{
  std::vector<double> tokens(aProfile.layers, 0);
  for (const auto& member : aGroup) {
    if (member.layers.size() == 0) {
      continue;
    }
    const AcceleratorKind& kind = *kindOf(aProfile, *member.replica);
    const double free = kind.memoryMb - aProfile.layerMb * member.layers.size();
    const double each =
      std::max(0.0, free) / (aProfile.tokenLayerMb() * member.layers.size());
    for (auto i = member.layers.from; i < member.layers.to; ++i) {
      tokens[i] += each;
    }
  }
  return tokens;
}

} // namespace poplartrack::layer_copy
