// The part of LayerPlanner in which extended replicas give layers back: idle
// ones at once, busy ones after an announcement.

#include <algorithm>
#include <limits>

#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** Extended replicas shrink until they keep memory for this fraction of the
 * token target. It has to stay below the 0.5 that zones with several copies are
 * laid out for. With a larger fraction, the replicas of such zones would count
 * as extended, because another copy holds the same layers, and would release
 * layers again. */
constexpr double kShrinkFraction = 0.45;

/** A busy replica releases layers only if the memory for requests in its other
 * layers grows by this factor. Less would not be noticed by callers. */
constexpr double kMinReleaseGain = 1.05;

/** A layer limits its zone if there is memory for at most this many times the
 * tokens of the scarcest one. If several replicas hold such layers, one
 * releases layers after the other. */
constexpr double kNearScarcest = 1.05;

/** Interval between two searches for a move, which cost far more than the rest
 * of a plan. Demand is averaged over seconds. */
constexpr Duration kMoveInterval = std::chrono::seconds{ 1 };

/** Returns the smallest value of the layers. */
double
scarcest(const std::vector<double>& aTokens, LayerRange aLayers)
{
  double least = std::numeric_limits<double>::infinity();
  for (auto i = aLayers.from; i < aLayers.to && i < aTokens.size(); ++i) {
    least = std::min(least, aTokens[i]);
  }
  return least;
}

/** Returns the smallest value of the layers that a zone holds. */
double
scarcestHeld(const std::vector<double>& aTokens)
{
  double least = std::numeric_limits<double>::infinity();
  for (const double tokens : aTokens) {
    least = tokens > 0 ? std::min(least, tokens) : least;
  }
  return least;
}

/** Returns whether another replica of the member's zone holds the layer and has
 * no open order. */
template<typename Group, typename Member>
bool
heldByOthers(const Group& aGroup, const Member& aMember, std::uint32_t aLayer)
{
  return std::any_of(aGroup.begin(), aGroup.end(), [&](const auto& aOther) {
    return &aOther != &aMember && !aOther.pending &&
           aOther.replica->zone == aMember.replica->zone &&
           aOther.layers.contains({ aLayer, aLayer + 1 });
  });
}

} // namespace

/** Returns the most layers that an extended replica keeps. */
std::uint32_t
LayerPlanner::maxLayersOf(const EngineProfile& aProfile, const Member& aMember)
{
  return layerCapacity(aProfile,
                       *kindOf(aProfile, *aMember.replica),
                       kShrinkFraction * tokenTarget(aProfile));
}

/** Removes layers from an extended replica once others of its zone hold them
 * again: memory for requests is worth more than a second replica with the same
 * layers. Only a replica that carries no requests shrinks. A replica that does
 * carry requests would refuse all work until the last answer through the
 * released layers ends, and its zone would be out of service for that time. */
void
LayerPlanner::shrink(const EngineProfile& aProfile,
                     Group& aGroup,
                     const std::set<std::string>& aBusy)
{
  const auto& open = this->release.open();
  for (Member& member : aGroup) {
    const std::uint32_t maxLayers = maxLayersOf(aProfile, member);
    const std::string& id = member.replica->id;
    if (member.pending || member.layers.size() <= maxLayers ||
        aBusy.contains(id) || (open && open->released.replica == id)) {
      continue;
    }
    LayerRange kept = member.layers;
    while (kept.size() > maxLayers && heldByOthers(aGroup, member, kept.from)) {
      ++kept.from;
    }
    while (kept.size() > maxLayers &&
           heldByOthers(aGroup, member, kept.to - 1)) {
      --kept.to;
    }
    if (kept != member.layers) {
      // One replica at a time: two that hold the same layers must not both
      // release them.
      this->issueOrder(member, kept, "shrink");
      return;
    }
  }
}

/**
 * Returns the release of layers at one end of an extended replica's range, if
 * it pays: the kept layers are among the scarcest of the zone, the memory for
 * requests in them grows, and the others that hold the released layers have no
 * less memory for requests than the scarcest layer of the zone has now. The
 * zone then loses no capacity between announcement and order either. Nothing is
 * loaded for a release.
 */
std::optional<OpenRelease>
LayerPlanner::usefulRelease(const EngineProfile& aProfile,
                            const Group& aGroup,
                            const Member& aMember)
{
  const LayerRange held = aMember.layers;
  const std::uint32_t maxLayers = maxLayersOf(aProfile, aMember);
  LayerRange front = held;
  while (front.size() > maxLayers &&
         heldByOthers(aGroup, aMember, front.from)) {
    ++front.from;
  }
  LayerRange back = held;
  while (back.size() > maxLayers &&
         heldByOthers(aGroup, aMember, back.to - 1)) {
    --back.to;
  }
  const bool atFront = front.size() <= back.size();
  const LayerRange kept = atFront ? front : back;
  if (kept == held || kept.size() == 0) {
    return std::nullopt;
  }
  Group now;
  Group others;
  Group later;
  for (const Member& member : aGroup) {
    if (member.replica->zone != aMember.replica->zone) {
      continue;
    }
    now.push_back(member);
    later.push_back(member);
    if (&member == &aMember) {
      later.back().layers = kept;
    } else {
      others.push_back(member);
    }
  }
  OpenRelease found;
  found.reason = "release";
  found.zone = aMember.replica->zone;
  found.kind = aMember.replica->kind;
  found.held = held;
  found.kept = kept;
  found.released = { aMember.replica->id,
                     atFront ? LayerRange{ held.from, kept.from }
                             : LayerRange{ kept.to, held.to } };
  const auto tokensNow = tokenCapacityByLayer(aProfile, now);
  found.tokensBefore = scarcest(tokensNow, kept);
  found.tokensAfter = scarcest(tokenCapacityByLayer(aProfile, later), kept);
  found.tokensOthers =
    scarcest(tokenCapacityByLayer(aProfile, others), found.released.layers);
  const double zoneTokens = scarcestHeld(tokensNow);
  const bool limitsZone = found.tokensBefore <= kNearScarcest * zoneTokens;
  const bool pays = limitsZone &&
                    found.tokensAfter >= kMinReleaseGain * found.tokensBefore &&
                    found.tokensOthers >= zoneTokens;
  return pays ? std::optional{ found } : std::nullopt;
}

/** Continues the open release, or announces one: for the busy extended replica
 * for which it gains the most, or else for a redundant one that moves to where
 * demand exceeds capacity. */
void
LayerPlanner::releaseLayers(const EngineProfile& aProfile,
                            std::vector<Group>& aGroups,
                            const std::set<std::string>& aBusy)
{
  bool pending = false;
  for (const Group& group : aGroups) {
    pending =
      pending ||
      std::any_of(group.begin(), group.end(), [](const Member& aMember) {
        return aMember.pending;
      });
  }
  if (this->release.open()) {
    this->continueRelease(aGroups);
    return;
  }
  if (pending || !this->openGaps.empty()) {
    return;
  }
  std::optional<OpenRelease> best;
  for (const Group& group : aGroups) {
    for (const Member& member : group) {
      if (member.layers.size() <= maxLayersOf(aProfile, member) ||
          !aBusy.contains(member.replica->id) ||
          !this->release.mayAnnounce(
            *member.replica, member.layers, this->now)) {
        continue;
      }
      const auto useful = usefulRelease(aProfile, group, member);
      if (useful && (!best || useful->tokensAfter - useful->tokensBefore >
                                best->tokensAfter - best->tokensBefore)) {
        best = useful;
      }
    }
  }
  if (!best && this->now - this->movesConsideredAt >= kMoveInterval) {
    this->movesConsideredAt = this->now;
    best = this->usefulMove(aProfile, aGroups);
  }
  if (best) {
    this->release.announce(*best, this->now);
    this->releaseEvents.push_back({ *this->release.open(), std::nullopt });
  }
}

/** Returns the release of a redundant replica's layers for a move that pays, if
 * there is one. */
std::optional<OpenRelease>
LayerPlanner::usefulMove(const EngineProfile& aProfile,
                         const std::vector<Group>& aGroups) const
{
  const auto slowdownOf = [this](const Replica& aReplica) {
    const auto found = this->slowdowns.find(aReplica.id);
    return found == this->slowdowns.end() ? 1 : found->second;
  };
  std::vector<PlacedReplica> placed;
  for (const Group& group : aGroups) {
    for (const Member& member : group) {
      placed.push_back({ member.replica,
                         member.layers,
                         member.pending,
                         slowdownOf(*member.replica) });
    }
  }
  for (const Replica& replica : this->degraded) {
    if (replica.layers && aProfile.hasLayers(*replica.layers) &&
        kindOf(aProfile, replica) != nullptr) {
      placed.push_back(
        { &replica, *replica.layers, false, slowdownOf(replica) });
    }
  }
  const auto mayMove = [this](const Replica& aReplica) {
    // Called only for replicas without an open order: they hold the layers that
    // the replica list shows.
    return this->release.mayAnnounce(
      aReplica, aReplica.layers.value_or(LayerRange{}), this->now);
  };
  const auto move = bestDemandMove(aProfile, placed, this->demand, mayMove);
  if (!move) {
    return std::nullopt;
  }
  OpenRelease found;
  found.released = { move->replica, move->held };
  found.zone = move->zone;
  found.kind = move->kind;
  found.held = move->held;
  found.kept = move->to;
  found.reason = "demand";
  found.move = move;
  return found;
}

/** Orders or gives up the open release if it is time for it. */
void
LayerPlanner::continueRelease(std::vector<Group>& aGroups)
{
  const OpenRelease open = *this->release.open();
  ReleaseFacts facts;
  Member* releasing = nullptr;
  for (Group& group : aGroups) {
    for (Member& member : group) {
      if (member.replica->id != open.released.replica) {
        continue;
      }
      releasing = &member;
      facts.unchanged = !member.pending && member.layers == open.held;
      facts.complete = this->openGaps.empty();
      const LayerRange layers = open.released.layers;
      for (auto i = layers.from; i < layers.to; ++i) {
        facts.complete = facts.complete && heldByOthers(group, member, i);
      }
    }
  }
  const auto use = this->releaseUse.find(open.released.replica);
  if (use != this->releaseUse.end()) {
    facts.requests = use->second;
  }
  const auto outcome = this->release.step(facts, this->now);
  if (!outcome) {
    return;
  }
  this->releaseEvents.push_back({ open, outcome });
  if (*outcome == ReleaseOutcome::Ordered) {
    this->issueOrder(*releasing, open.kept, open.reason);
  }
}

} // namespace poplartrack
