#include "poplartrack/fleet/LayerPlanner.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "CopySplit.h"
#include "LayerCopy.h"
#include "LayerPartition.h"
#include "PartialCopies.h"

namespace poplartrack {

using namespace layer_copy;

void
LayerPlanner::reset()
{
  this->openOrders.clear();
  this->gapSince.clear();
  this->withdrawRelease();
  this->lossesKnown = false;
}

void
LayerPlanner::withdrawRelease()
{
  if (this->release.open()) {
    this->releaseEvents.push_back(
      { *this->release.open(), ReleaseOutcome::Changed });
  }
  this->release.reset();
}

/** Returns whether a replica is missing that was there in the last plan. True
 * in the first plan as well: what happened before is not known. */
bool
LayerPlanner::hasLostReplica(std::span<const Replica> aReplicas) const
{
  const auto known = std::count_if(
    aReplicas.begin(), aReplicas.end(), [this](const Replica& aReplica) {
      return this->joinedAt.contains(aReplica.id);
    });
  return this->joinedAt.empty() ||
         static_cast<std::size_t>(known) < this->joinedAt.size();
}

/** Records which replicas are listed. Returns whether planning may begin: some
 * replica holds layers, an order is open, or registrations have paused or gone
 * on for the longest wait. */
bool
LayerPlanner::registrationSettled(std::span<const Replica> aReplicas,
                                  TimePoint aNow)
{
  std::map<std::string, TimePoint> present;
  bool anyHolds = false;
  for (const Replica& replica : aReplicas) {
    const auto before = this->joinedAt.find(replica.id);
    const bool isNew = before == this->joinedAt.end();
    present.emplace(replica.id, isNew ? aNow : before->second);
    anyHolds = anyHolds || replica.layers.has_value();
    if (isNew) {
      this->lastJoined = aNow;
    }
  }
  if (this->joinedAt.empty() && !present.empty()) {
    this->firstJoined = aNow;
  }
  this->joinedAt = std::move(present);
  if (anyHolds || !this->openOrders.empty()) {
    return true;
  }
  return aNow - this->lastJoined >= this->policy.registrationQuietTime ||
         aNow - this->firstJoined >= this->policy.maxRegistrationWait;
}

/** Removes open orders that are carried out or timed out, and backoffs that
 * have ended. */
void
LayerPlanner::pruneOrders(const EngineProfile& aProfile,
                          std::span<const Replica> aReplicas,
                          TimePoint aNow)
{
  std::map<std::string, OpenOrder> remaining;
  for (const Replica& replica : aReplicas) {
    const auto found = this->openOrders.find(replica.id);
    if (found == this->openOrders.end()) {
      continue;
    }
    const bool done = replica.layers == found->second.layers;
    const Duration allowed = this->policy.orderTimeout + aProfile.loadTime;
    if (!done && aNow - found->second.since < allowed) {
      remaining.insert(*found);
    }
  }
  this->openOrders = std::move(remaining);
  std::erase_if(this->refusedAt, [&](const auto& aEntry) {
    return aNow - aEntry.second >= this->policy.refusalBackoff;
  });
}

/** Groups the replicas of declared accelerator kinds by zone. Replicas with
 * layers that the model does not have are left out: nothing is known of what
 * they hold. Zones with too little memory for a copy of their own share one
 * group. */
std::vector<LayerPlanner::Group>
LayerPlanner::groupReplicas(const EngineProfile& aProfile,
                            std::span<const Replica> aReplicas) const
{
  std::map<std::string, Group> byZone;
  for (const Replica& replica : aReplicas) {
    if (kindOf(aProfile, replica) == nullptr) {
      continue;
    }
    Member member;
    member.replica = &replica;
    const auto found = this->openOrders.find(replica.id);
    const bool ordered = found != this->openOrders.end();
    const auto refusal = this->refusedAt.find(replica.id);
    member.pending =
      ordered || (refusal != this->refusedAt.end() &&
                  this->now - refusal->second < this->policy.refusalBackoff);
    if (ordered) {
      member.layers = found->second.layers;
    } else if (replica.layers) {
      member.layers = *replica.layers;
    }
    if (aProfile.hasLayers(member.layers)) {
      byZone[replica.zone].push_back(member);
    }
  }
  std::vector<Group> copyGroups;
  Group sharedGroup;
  const double target = tokenTarget(aProfile);
  for (auto& [zone, group] : byZone) {
    const double tokens =
      copyTokenCapacity(aProfile, kindsOf(aProfile, pointersTo(group)), target);
    if (tokens >= kMinCopyFraction * target) {
      copyGroups.push_back(std::move(group));
      continue;
    }
    sharedGroup.insert(sharedGroup.end(), group.begin(), group.end());
  }
  if (!sharedGroup.empty()) {
    copyGroups.push_back(std::move(sharedGroup));
  }
  return copyGroups;
}

/** Adds an order to the plan, unless the member has these layers already. */
void
LayerPlanner::issueOrder(Member& aMember,
                         LayerRange aLayers,
                         const char* aReason)
{
  if (aLayers.size() == 0 || aMember.layers == aLayers) {
    return;
  }
  aMember.layers = aLayers;
  aMember.pending = true;
  this->openOrders.insert_or_assign(aMember.replica->id,
                                    OpenOrder{ aLayers, this->now });
  this->release.onOrder(aMember.replica->zone, this->now);
  this->orders.push_back(LayerOrder{ aMember.replica->id, aLayers, aReason });
}

/** Divides all layers among the members of one copy, in their order. */
void
LayerPlanner::layOutCopy(const EngineProfile& aProfile,
                         std::vector<Member*>& aMembers)
{
  const auto kinds = kindsOf(aProfile, aMembers);
  const auto counts =
    partitionLayers(aProfile,
                    kinds,
                    bestTokenCapacity(aProfile, kinds, tokenTarget(aProfile)),
                    aProfile.layers);
  if (counts.empty()) {
    return;
  }
  std::uint32_t from = 0;
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    this->issueOrder(*aMembers[i], { from, from + counts[i] }, "first plan");
    from += counts[i];
  }
}

/** Lays out a group of several zones that are each too small for a copy of
 * their own. Returns false if the group is one zone or cannot hold all layers.
 */
bool
LayerPlanner::layOutPartialCopies(const EngineProfile& aProfile,
                                  const std::vector<Member*>& aFastFirst)
{
  std::map<std::string, std::vector<Member*>> byZone;
  for (Member* member : aFastFirst) {
    byZone[member->replica->zone].push_back(member);
  }
  if (byZone.size() < 2) {
    return false;
  }
  std::vector<std::vector<const AcceleratorKind*>> kinds;
  kinds.reserve(byZone.size());
  for (const auto& [zone, members] : byZone) {
    kinds.push_back(kindsOf(aProfile, members));
  }
  const PartialCopies copies = planPartialCopies(aProfile, kinds);
  if (copies.rate <= 0) {
    return false;
  }
  auto layers = copies.layers.begin();
  for (const auto& [zone, members] : byZone) {
    for (std::size_t i = 0; i < members.size(); ++i) {
      this->issueOrder(*members[i], (*layers)[i], "first plan");
    }
    ++layers;
  }
  return true;
}

/** Lays out a group in which no replica holds layers yet. */
void
LayerPlanner::layOutCopies(const EngineProfile& aProfile, Group& aGroup)
{
  auto all = pointersTo(aGroup);
  // Fast accelerators first, then by zone and id: every process derives the
  // same plan from the same replicas.
  std::sort(
    all.begin(), all.end(), [&](const Member* aLeft, const Member* aRight) {
      const auto rank = [&](const Member* aMember) {
        return std::tuple{ kindOf(aProfile, *aMember->replica)->stepFactor,
                           aMember->replica->zone,
                           aMember->replica->id };
      };
      return rank(aLeft) < rank(aRight);
    });
  if (this->layOutPartialCopies(aProfile, all)) {
    return;
  }
  const auto copies =
    splitCopies(aProfile, kindsOf(aProfile, all), tokenTarget(aProfile));
  for (const CopyMembers& members : copies) {
    std::vector<Member*> copyMembers;
    copyMembers.reserve(members.size());
    for (const std::size_t index : members) {
      copyMembers.push_back(all[index]);
    }
    this->layOutCopy(aProfile, copyMembers);
  }
}

std::vector<LayerOrder>
LayerPlanner::plan(const EngineProfile& aProfile,
                   std::span<const Replica> aReplicas,
                   bool aUncertain,
                   const std::set<std::string>& aBusy,
                   TimePoint aNow)
{
  this->now = aNow;
  this->repairDelay = aUncertain ? this->policy.uncertainGapRepairDelay
                                 : this->policy.gapRepairDelay;
  this->orders.clear();
  this->openGaps.clear();
  if (aUncertain || !this->lossesKnown || this->hasLostReplica(aReplicas)) {
    this->release.onLoss(aNow);
  }
  this->lossesKnown = true;
  const bool ready = this->registrationSettled(aReplicas, aNow);
  this->pruneOrders(aProfile, aReplicas, aNow);
  if (!ready) {
    return {};
  }
  auto groups = this->groupReplicas(aProfile, aReplicas);
  for (Group& group : groups) {
    const bool empty =
      std::all_of(group.begin(), group.end(), [](const Member& aMember) {
        return aMember.layers.size() == 0;
      });
    if (empty) {
      this->layOutCopies(aProfile, group);
      continue;
    }
    this->repair(aProfile, group, aBusy);
    for (const LayerRange& gap : gapsOf(group, aProfile.layers)) {
      this->openGaps.push_back(CopyGap{ group.front().replica->zone, gap });
    }
  }
  this->restoreCoverage(aProfile, groups);
  if (this->policy.followsDemand) {
    this->releaseLayers(aProfile, groups, aBusy);
  }
  return std::exchange(this->orders, {});
}

} // namespace poplartrack
