// The part of LayerPlanner that closes gaps: layers of a copy that no replica
// holds any more.

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** A replica takes over layers of a missing neighbour as long as it keeps
 * memory for this fraction of the token target. With a larger fraction the
 * neighbours of a typical gap have no room for it, and the zone is out of
 * service until the missing replica is back. */
constexpr double kMinExtendedFraction = 0.22;

/** Reason of orders, as the log has it for operators to match. The glossary has
 * the term: extend. */
constexpr const char* kExtendReason = "stretch";

} // namespace

/** Returns the tokens that the replica has memory for if it holds aLayers
 * layers. */
double
LayerPlanner::tokenCapacityWith(const EngineProfile& aProfile,
                                const Member& aMember,
                                std::uint32_t aLayers)
{
  const AcceleratorKind& kind = *kindOf(aProfile, *aMember.replica);
  const double free = kind.memoryMb - aProfile.layerMb * aLayers;
  return free / (aProfile.tokenLayerMb() * aLayers);
}

/** Returns the member whose layers end where a gap begins and the member whose
 * layers begin where the gap ends. If several members qualify, returns the one
 * that has memory for the most tokens when it holds one more layer. */
LayerPlanner::Neighbours
LayerPlanner::neighboursOf(const EngineProfile& aProfile,
                           Group& aGroup,
                           LayerRange aGap)
{
  const auto better = [&](const Member& aOne, const Member* aOther) {
    return aOther == nullptr ||
           tokenCapacityWith(aProfile, aOne, aOne.layers.size() + 1) >
             tokenCapacityWith(aProfile, *aOther, aOther->layers.size() + 1);
  };
  Neighbours found;
  for (Member& member : aGroup) {
    if (member.layers.size() == 0 || member.pending) {
      continue;
    }
    if (member.layers.to == aGap.from && better(member, found.before)) {
      found.before = &member;
    }
    if (member.layers.from == aGap.to && better(member, found.after)) {
      found.after = &member;
    }
  }
  return found;
}

/** Returns the part of a gap that an empty replica takes while the neighbours
 * take the remainder. Of all ways to divide the gap, it picks the one that
 * leaves the most tokens to whichever of them has the fewest. Returns nothing
 * if one of them would keep too little memory. */
std::optional<LayerRange>
LayerPlanner::bestShare(const EngineProfile& aProfile,
                        const Member& aEmpty,
                        const Neighbours& aNeighbours,
                        LayerRange aGap)
{
  const auto tokensWith = [&](const Member* aMember, std::uint32_t aMore) {
    if (aMore == 0) {
      return std::numeric_limits<double>::infinity();
    }
    return aMember == nullptr
             ? 0.0
             : tokenCapacityWith(
                 aProfile, *aMember, aMember->layers.size() + aMore);
  };
  std::optional<LayerRange> best;
  double mostTokens = kMinExtendedFraction * tokenTarget(aProfile);
  for (std::uint32_t from = aGap.from; from < aGap.to; ++from) {
    for (std::uint32_t to = from + 1; to <= aGap.to; ++to) {
      const double leastTokens =
        std::min({ tokenCapacityWith(aProfile, aEmpty, to - from),
                   tokensWith(aNeighbours.before, from - aGap.from),
                   tokensWith(aNeighbours.after, aGap.to - to) });
      if (leastTokens > mostTokens) {
        mostTokens = leastTokens;
        best = LayerRange{ from, to };
      }
    }
  }
  return best;
}

/**
 * Divides a gap among an empty replica and the neighbours of the gap; false if
 * they have too little memory. A replica of a slow kind cannot take all layers
 * of a faster one alone. If it filled only five of eight layers, the last three
 * would stay open and the other eleven replicas of the zone idle until the next
 * replica joins.
 */
bool
LayerPlanner::shareGap(const EngineProfile& aProfile,
                       Group& aGroup,
                       Member& aEmpty,
                       LayerRange aGap)
{
  const Neighbours neighbours = neighboursOf(aProfile, aGroup, aGap);
  const auto own = bestShare(aProfile, aEmpty, neighbours, aGap);
  if (!own) {
    return false;
  }
  if (own->from > aGap.from) {
    this->issueOrder(*neighbours.before,
                     { neighbours.before->layers.from, own->from },
                     kExtendReason);
  }
  if (own->to < aGap.to) {
    this->issueOrder(*neighbours.after,
                     { own->to, neighbours.after->layers.to },
                     kExtendReason);
  }
  this->issueOrder(aEmpty, *own, "gap");
  return true;
}

/** Assigns a gap to members without layers, as much to each as it has memory
 * for. If there is only one and the gap is too large for it, the neighbours of
 * the gap take the remainder. Where several zones share the layers, a member
 * instead fills the gap of its own zone that includes this one, if it has
 * memory for that gap. */
void
LayerPlanner::fillGap(const EngineProfile& aProfile,
                      Group& aGroup,
                      LayerRange aGap)
{
  for (Member& member : aGroup) {
    const bool free = member.layers.size() == 0 && !member.pending;
    if (free && this->fillZoneGap(aProfile, aGroup, member, aGap)) {
      return;
    }
  }
  // Memory is kept for as many tokens as in a newly laid out copy of these
  // replicas. With the full token target, a fast replica would take fewer
  // layers than the one it replaces held, and a neighbour would have to take
  // the others.
  const double target = bestTokenCapacity(
    aProfile, kindsOf(aProfile, pointersTo(aGroup)), tokenTarget(aProfile));
  std::uint32_t room = 0;
  std::vector<Member*> empty;
  for (Member& member : aGroup) {
    if (member.layers.size() == 0 && !member.pending) {
      empty.push_back(&member);
      room +=
        layerCapacity(aProfile, *kindOf(aProfile, *member.replica), target);
    }
  }
  const bool isShared = empty.size() == 1 && room < aGap.size() &&
                        this->shareGap(aProfile, aGroup, *empty[0], aGap);
  if (isShared) {
    return;
  }
  for (Member& member : aGroup) {
    if (member.layers.size() > 0 || member.pending || aGap.size() == 0) {
      continue;
    }
    const std::uint32_t maxLayers = std::max(
      layerCapacity(aProfile, *kindOf(aProfile, *member.replica), target), 1U);
    const std::uint32_t take = std::min(maxLayers, aGap.size());
    this->issueOrder(member, { aGap.from, aGap.from + take }, "gap");
    aGap.from += take;
  }
}

/**
 * Extends the neighbours of a gap over it. The layers that they hold stay in
 * service meanwhile, and only the layers of the gap are loaded; five layers
 * load in less than a second. By contrast, a replica that must release layers
 * is missing until the last answer that passes through them ends, for 5 s or
 * more. Does nothing if the neighbours cannot fill the whole gap: paths cross
 * zones for those layers either way.
 */
void
LayerPlanner::extendNeighbours(const EngineProfile& aProfile,
                               Group& aGroup,
                               LayerRange aGap)
{
  const double tokens = kMinExtendedFraction * tokenTarget(aProfile);
  const auto roomOf = [&](const Member& aMember) {
    const std::uint32_t maxLayers =
      layerCapacity(aProfile, *kindOf(aProfile, *aMember.replica), tokens);
    const bool free = !aMember.pending && maxLayers > aMember.layers.size();
    return free ? maxLayers - aMember.layers.size() : 0U;
  };
  const auto [before, after] = neighboursOf(aProfile, aGroup, aGap);
  const std::uint32_t roomBefore = before == nullptr ? 0 : roomOf(*before);
  const std::uint32_t roomAfter = after == nullptr ? 0 : roomOf(*after);
  const std::uint32_t room = roomBefore + roomAfter;
  if (room < aGap.size()) {
    return;
  }
  const std::uint32_t first =
    std::min(roomBefore, (aGap.size() * roomBefore + room - 1) / room);
  const std::uint32_t middle = aGap.from + first;
  if (before != nullptr && first > 0) {
    this->issueOrder(*before, { before->layers.from, middle }, kExtendReason);
  }
  if (after != nullptr && middle < aGap.to) {
    this->issueOrder(*after, { middle, after->layers.to }, kExtendReason);
  }
}

/** Returns whether other members hold all layers of this one. */
bool
LayerPlanner::isRedundant(const Group& aGroup, const Member& aMember)
{
  if (aMember.layers.size() == 0 || aMember.pending) {
    return false;
  }
  for (auto layer = aMember.layers.from; layer < aMember.layers.to; ++layer) {
    const bool held =
      std::any_of(aGroup.begin(), aGroup.end(), [&](const Member& aOther) {
        return &aOther != &aMember && !aOther.pending &&
               aOther.layers.contains({ layer, layer + 1 });
      });
    if (!held) {
      return false;
    }
  }
  return true;
}

/**
 * Moves a redundant member to a gap that the neighbours cannot fill. The
 * replica is missing until the last answer through it ends, but others hold its
 * layers. Without the move, a zone that lacks a few layers would stay out of
 * service although some of its replicas only duplicate others.
 */
void
LayerPlanner::moveRedundantMember(const EngineProfile& aProfile,
                                  Group& aGroup,
                                  LayerRange aGap)
{
  Member* chosen = nullptr;
  double mostTokens = 0;
  for (Member& member : aGroup) {
    if (!isRedundant(aGroup, member)) {
      continue;
    }
    const double tokens = tokenCapacityWith(aProfile, member, aGap.size());
    if (chosen == nullptr || tokens > mostTokens) {
      chosen = &member;
      mostTokens = tokens;
    }
  }
  if (chosen == nullptr) {
    return;
  }
  const LayerRange before = std::exchange(chosen->layers, LayerRange{});
  if (!this->shareGap(aProfile, aGroup, *chosen, aGap)) {
    chosen->layers = before;
  }
}

} // namespace poplartrack
