#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/Replica.h"

/** What the planner asks of the replicas that hold a copy of a model together.
 * A holder has a replica and the layers that it holds or will hold. */
namespace poplartrack::layer_copy {

/** A zone keeps a copy of its own while that has memory for this part of the
 * goal; below it, crossing zones costs less than refusing. */
inline constexpr double kSmallestCopy = 0.2;

/** Tokens that each replica of a copy is to keep memory for: the usual requests
 * of all its slots. A zone's copy then takes the work of a neighbour zone that
 * lost a part. With less, nearly all memory is booked on a quiet day, and the
 * loss of one replica has requests refused until it is back. */
inline double
tokenGoal(const EngineProfile& aProfile)
{
  return aProfile.slots *
         (aProfile.meanPromptTokens + aProfile.meanAnswerTokens);
}

/** The replica's accelerator, or null when its kind is not declared. */
inline const AcceleratorKind*
kindOf(const EngineProfile& aProfile, const Replica& aReplica)
{
  const auto found = aProfile.kinds.find(aReplica.kind);
  return found == aProfile.kinds.end() ? nullptr : &found->second;
}

/** The accelerators of some holders. */
template<typename Holders>
std::vector<const AcceleratorKind*>
kindsOf(const EngineProfile& aProfile, const Holders& aHolders)
{
  std::vector<const AcceleratorKind*> kinds;
  kinds.reserve(aHolders.size());
  for (const auto* holder : aHolders) {
    kinds.push_back(kindOf(aProfile, *holder->replica));
  }
  return kinds;
}

/** The members of a group, to be sorted or divided. */
template<typename Holder>
std::vector<Holder*>
pointersTo(std::vector<Holder>& aGroup)
{
  std::vector<Holder*> all;
  all.reserve(aGroup.size());
  for (Holder& holder : aGroup) {
    all.push_back(&holder);
  }
  return all;
}

/** Layers that no member of the group holds, as ranges. */
template<typename Group>
std::vector<LayerRange>
gapsOf(const Group& aGroup, std::uint32_t aLayers)
{
  std::vector<bool> held(aLayers, false);
  for (const auto& holder : aGroup) {
    for (auto i = holder.layers.from; i < holder.layers.to && i < aLayers;
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

/** The last cut point of the group at or before a layer. */
template<typename Group>
std::uint32_t
cutBefore(const Group& aGroup, std::uint32_t aLayer)
{
  std::uint32_t cut = 0;
  for (const auto& holder : aGroup) {
    for (const std::uint32_t point : { holder.layers.from, holder.layers.to }) {
      if (holder.layers.size() > 0 && point <= aLayer) {
        cut = std::max(cut, point);
      }
    }
  }
  return cut;
}

/** Step factor of the fastest member that holds each layer, or will once its
 * order is done; that of aNobody where none does. */
template<typename Group>
std::vector<double>
fastestByLayer(const EngineProfile& aProfile,
               const Group& aGroup,
               double aNobody)
{
  std::vector<double> fastest(aProfile.layers, aNobody);
  for (const auto& holder : aGroup) {
    const double step = kindOf(aProfile, *holder.replica)->stepFactor;
    for (auto i = holder.layers.from;
         i < holder.layers.to && i < aProfile.layers;
         ++i) {
      fastest[i] = std::min(fastest[i], step);
    }
  }
  return fastest;
}

/** Tokens that the group can keep at each layer, over all that hold it. */
template<typename Group>
std::vector<double>
tokensByLayer(const EngineProfile& aProfile, const Group& aGroup)
{
  std::vector<double> tokens(aProfile.layers, 0);
  for (const auto& holder : aGroup) {
    if (holder.layers.size() == 0) {
      continue;
    }
    const AcceleratorKind& kind = *kindOf(aProfile, *holder.replica);
    const double free = kind.memoryMb - aProfile.layerMb * holder.layers.size();
    const double each =
      std::max(0.0, free) / (aProfile.tokenLayerMb() * holder.layers.size());
    for (auto i = holder.layers.from; i < holder.layers.to; ++i) {
      tokens[i] += each;
    }
  }
  return tokens;
}

} // namespace poplartrack::layer_copy
