// The part of LayerPlanner that keeps copies complete: it assigns layers to
// empty replicas and partitions damaged copies again.

#include <algorithm>

#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** A copy that is partitioned again keeps memory for at least this fraction of
 * the most tokens that it could keep. The remaining memory leaves most layers
 * where they are. */
constexpr double kRepartitionFraction = 0.75;

/** Reasons of orders, as the log has them for operators to match. The glossary
 * has the terms: repartition and duplicate. */
constexpr const char* kRepartitionReason = "recut";
constexpr const char* kDuplicateReason = "double";

} // namespace

/**
 * Returns whether a copy with gaps is partitioned again: nothing else is under
 * way to complete it, and the remaining replicas have enough memory. Replicas
 * that move are missing until the last answers through them end, but only paths
 * that cross zones use them. Without a new partition, a zone whose gap is too
 * large for the neighbours of the gap would stay out of service, and the other
 * zones have too little memory for its callers.
 */
bool
LayerPlanner::shouldRepartition(const EngineProfile& aProfile, Group& aGroup)
{
  const bool gapRemains =
    !gapsOf(aGroup, aProfile.layers).empty() &&
    std::none_of(aGroup.begin(), aGroup.end(), [](const Member& aMember) {
      return aMember.pending;
    });
  const double target = tokenTarget(aProfile);
  return gapRemains && copyTokenCapacity(aProfile,
                                         kindsOf(aProfile, pointersTo(aGroup)),
                                         target) >= kMinCopyFraction * target;
}

/** Partitions all layers again among the members of a group, with little
 * loading. */
void
LayerPlanner::repartition(const EngineProfile& aProfile, Group& aGroup)
{
  auto all = pointersTo(aGroup);
  std::stable_sort(
    all.begin(), all.end(), [](const Member* aLeft, const Member* aRight) {
      return aLeft->layers < aRight->layers;
    });
  const double tokens =
    kRepartitionFraction *
    copyTokenCapacity(aProfile, kindsOf(aProfile, all), tokenTarget(aProfile));
  std::vector<RepartitionMember> members;
  for (const Member* member : all) {
    const AcceleratorKind& kind = *kindOf(aProfile, *member->replica);
    members.push_back(RepartitionMember{
      member->layers, layerCapacity(aProfile, kind, tokens) });
  }
  const auto ranges = repartitionLayers(aProfile.layers, members);
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    this->issueOrder(*all[i], ranges[i], kRepartitionReason);
  }
}

/**
 * Assigns layers that its zone lacks to an empty replica, where several zones
 * share the layers. As a rule, a replica that the zone lost held them. If the
 * new replica duplicated other layers instead, each layer would still be held
 * in some zone, but paths would have to cross twice for the lost layers.
 *
 * Picks the largest gap of the zone that the replica can fill, or the largest
 * of all if it can fill none. With aMissing, only gaps count that the replica
 * can fill and that include those layers. Returns false if there is no such
 * gap, or if the group is one zone.
 */
bool
LayerPlanner::fillZoneGap(const EngineProfile& aProfile,
                          const Group& aGroup,
                          Member& aEmpty,
                          std::optional<LayerRange> aMissing)
{
  Group zone;
  double tokens = tokenTarget(aProfile);
  for (const Member& member : aGroup) {
    if (member.replica->zone != aEmpty.replica->zone) {
      continue;
    }
    zone.push_back(member);
    if (member.layers.size() > 0) {
      tokens = std::min(
        tokens, tokenCapacityWith(aProfile, member, member.layers.size()));
    }
  }
  if (zone.size() == aGroup.size()) {
    return false;
  }
  const std::uint32_t maxLayers = std::max(
    layerCapacity(aProfile, *kindOf(aProfile, *aEmpty.replica), tokens), 1U);
  LayerRange best;
  for (const LayerRange& gap : gapsOf(zone, aProfile.layers)) {
    const bool fits = gap.size() <= maxLayers;
    if (aMissing && !(fits && gap.contains(*aMissing))) {
      continue;
    }
    const bool bestFits = best.size() > 0 && best.size() <= maxLayers;
    const bool better = fits == bestFits ? gap.size() > best.size() : fits;
    if (best.size() == 0 || better) {
      best = gap;
    }
  }
  if (best.size() == 0) {
    return false;
  }
  this->issueOrder(aEmpty,
                   { best.from, best.from + std::min(maxLayers, best.size()) },
                   "zone");
  return true;
}

/** Assigns layers to a replica without any: a gap of its zone, else layers that
 * only slower replicas hold. After a delay it duplicates the layers with memory
 * for the fewest tokens. */
void
LayerPlanner::assignEmpty(const EngineProfile& aProfile,
                          Group& aGroup,
                          Member& aEmpty)
{
  if (this->fillZoneGap(aProfile, aGroup, aEmpty, std::nullopt) ||
      this->assignFasterRange(aProfile, aGroup, aEmpty)) {
    return;
  }
  const auto joined = this->joinedAt.find(aEmpty.replica->id);
  const bool waits = joined != this->joinedAt.end() &&
                     this->now - joined->second < this->policy.duplicateDelay;
  if (waits) {
    return;
  }
  // The scarcest layer bounds the copy.
  const std::vector<double> tokens = tokenCapacityByLayer(aProfile, aGroup);
  const auto scarcest = static_cast<std::uint32_t>(
    std::min_element(tokens.begin(), tokens.end()) - tokens.begin());
  const std::uint32_t maxLayers = std::max(
    layerCapacity(
      aProfile, *kindOf(aProfile, *aEmpty.replica), tokenTarget(aProfile)),
    1U);
  const std::uint32_t from = boundaryBefore(aGroup, scarcest);
  std::uint32_t to = std::min(from + maxLayers, aProfile.layers);
  if (to <= scarcest) {
    this->issueOrder(
      aEmpty,
      { scarcest, std::min(scarcest + maxLayers, aProfile.layers) },
      kDuplicateReason);
    return;
  }
  // With the same boundaries, the replica can replace those that it duplicates.
  const std::uint32_t snapped = boundaryBefore(aGroup, to);
  to = snapped > scarcest ? snapped : to;
  this->issueOrder(aEmpty, { from, to }, kDuplicateReason);
}

/** Closes the gaps of a group and assigns layers to its empty replicas. The
 * longer a gap lasts, the more layers may move for it. Shrinks an extended
 * replica if there was no gap and no member is pending. */
void
LayerPlanner::repair(const EngineProfile& aProfile,
                     Group& aGroup,
                     const std::set<std::string>& aBusy)
{
  const std::string& zone = aGroup.front().replica->zone;
  const auto gaps = gapsOf(aGroup, aProfile.layers);
  for (const LayerRange& gap : gaps) {
    this->fillGap(aProfile, aGroup, gap);
  }
  const auto remaining = gapsOf(aGroup, aProfile.layers);
  if (remaining.empty()) {
    this->gapSince.erase(zone);
  } else {
    const auto since =
      this->gapSince.try_emplace(zone, this->now).first->second;
    if (this->now - since >= this->repairDelay) {
      for (const LayerRange& gap : remaining) {
        this->extendNeighbours(aProfile, aGroup, gap);
      }
      for (const LayerRange& gap : gapsOf(aGroup, aProfile.layers)) {
        this->moveRedundantMember(aProfile, aGroup, gap);
      }
    }
    if (this->now - since >= this->policy.repartitionDelay &&
        this->shouldRepartition(aProfile, aGroup)) {
      this->repartition(aProfile, aGroup);
    }
  }
  for (Member& member : aGroup) {
    if (member.layers.size() == 0 && !member.pending) {
      this->assignEmpty(aProfile, aGroup, member);
    }
  }
  const bool stable =
    gaps.empty() &&
    std::none_of(aGroup.begin(), aGroup.end(), [](const Member& aMember) {
      return aMember.pending;
    });
  if (stable) {
    this->shrink(aProfile, aGroup, aBusy);
  }
}

/** Partitions the group with the most memory again if some layer is held by no
 * replica at all, however many layers have to move: until then every request is
 * refused. If no group can hold all layers, partitions them among all replicas.
 */
void
LayerPlanner::restoreCoverage(const EngineProfile& aProfile,
                              std::vector<Group>& aGroups)
{
  Group all;
  for (const Group& group : aGroups) {
    all.insert(all.end(), group.begin(), group.end());
  }
  const bool anyPending =
    std::any_of(all.begin(), all.end(), [](const Member& aMember) {
      return aMember.pending;
    });
  if (anyPending || gapsOf(all, aProfile.layers).empty()) {
    this->uncoveredSince.reset();
    return;
  }
  if (!this->uncoveredSince) {
    this->uncoveredSince = this->now;
  }
  if (this->now - *this->uncoveredSince < this->repairDelay) {
    return;
  }
  const auto tokensOf = [&](Group& aGroup) {
    return copyTokenCapacity(
      aProfile, kindsOf(aProfile, pointersTo(aGroup)), tokenTarget(aProfile));
  };
  Group* largest = nullptr;
  for (Group& group : aGroups) {
    if (largest == nullptr || tokensOf(group) > tokensOf(*largest)) {
      largest = &group;
    }
  }
  this->repartition(
    aProfile, largest != nullptr && tokensOf(*largest) > 0 ? *largest : all);
}

} // namespace poplartrack
