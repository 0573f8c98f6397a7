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
  this->open.clear();
  this->gapSince.clear();
}

bool
LayerPlanner::settled(std::span<const Replica> aReplicas, TimePoint aNow)
{
  std::map<std::string, TimePoint> present;
  bool anyHolds = false;
  for (const Replica& replica : aReplicas) {
    const auto before = this->known.find(replica.id);
    const bool isNew = before == this->known.end();
    present.emplace(replica.id, isNew ? aNow : before->second);
    anyHolds = anyHolds || replica.layers.has_value();
    if (isNew) {
      this->lastJoined = aNow;
    }
  }
  if (this->known.empty() && !present.empty()) {
    this->firstSeen = aNow;
  }
  this->known = std::move(present);
  if (anyHolds || !this->open.empty()) {
    return true;
  }
  return aNow - this->lastJoined >= this->policy.settle ||
         aNow - this->firstSeen >= this->policy.settleMost;
}

void
LayerPlanner::settleOrders(const EngineProfile& aProfile,
                           std::span<const Replica> aReplicas,
                           TimePoint aNow)
{
  std::map<std::string, OpenOrder> still;
  for (const Replica& replica : aReplicas) {
    const auto found = this->open.find(replica.id);
    if (found == this->open.end()) {
      continue;
    }
    const bool done = replica.layers == found->second.layers;
    const Duration allowed = this->policy.orderPatience + aProfile.loadTime;
    if (!done && aNow - found->second.since < allowed) {
      still.insert(*found);
    }
  }
  this->open = std::move(still);
  std::erase_if(this->refused, [&](const auto& aEntry) {
    return aNow - aEntry.second >= this->policy.refusedRest;
  });
}

std::vector<LayerPlanner::Group>
LayerPlanner::groups(const EngineProfile& aProfile,
                     std::span<const Replica> aReplicas) const
{
  std::map<std::string, Group> byZone;
  for (const Replica& replica : aReplicas) {
    if (kindOf(aProfile, replica) == nullptr) {
      continue;
    }
    Holder holder;
    holder.replica = &replica;
    const auto found = this->open.find(replica.id);
    const bool ordered = found != this->open.end();
    const auto rests = this->refused.find(replica.id);
    holder.moving =
      ordered || (rests != this->refused.end() &&
                  this->now - rests->second < this->policy.refusedRest);
    if (ordered) {
      holder.layers = found->second.layers;
    } else if (replica.layers) {
      holder.layers = *replica.layers;
    }
    byZone[replica.zone].push_back(holder);
  }
  std::vector<Group> whole;
  Group shared;
  const double goal = tokenGoal(aProfile);
  for (auto& [zone, group] : byZone) {
    const double tokens =
      tokensOfCopy(aProfile, kindsOf(aProfile, pointersTo(group)), goal);
    if (tokens >= kSmallestCopy * goal) {
      whole.push_back(std::move(group));
      continue;
    }
    shared.insert(shared.end(), group.begin(), group.end());
  }
  if (!shared.empty()) {
    whole.push_back(std::move(shared));
  }
  return whole;
}

void
LayerPlanner::order(Holder& aHolder, LayerRange aLayers, const char* aReason)
{
  if (aLayers.size() == 0 || aHolder.layers == aLayers) {
    return;
  }
  aHolder.layers = aLayers;
  aHolder.moving = true;
  this->open.insert_or_assign(aHolder.replica->id,
                              OpenOrder{ aLayers, this->now });
  this->orders.push_back(LayerOrder{ aHolder.replica->id, aLayers, aReason });
}

void
LayerPlanner::drawChain(const EngineProfile& aProfile,
                        std::vector<Holder*>& aChain)
{
  const auto kinds = kindsOf(aProfile, aChain);
  const auto counts =
    cutLayers(aProfile,
              kinds,
              bestTokens(aProfile, kinds, tokenGoal(aProfile)),
              aProfile.layers);
  if (counts.empty()) {
    return;
  }
  std::uint32_t from = 0;
  for (std::size_t i = 0; i < aChain.size(); ++i) {
    this->order(*aChain[i], { from, from + counts[i] }, "first plan");
    from += counts[i];
  }
}

/** Draws a group of several zones, each too small for a copy of its own; false
 * when it is one zone, or together they hold not every layer. */
bool
LayerPlanner::drawStaggered(const EngineProfile& aProfile,
                            const std::vector<Holder*>& aFastFirst)
{
  std::map<std::string, std::vector<Holder*>> byZone;
  for (Holder* holder : aFastFirst) {
    byZone[holder->replica->zone].push_back(holder);
  }
  if (byZone.size() < 2) {
    return false;
  }
  std::vector<std::vector<const AcceleratorKind*>> kinds;
  kinds.reserve(byZone.size());
  for (const auto& [zone, holders] : byZone) {
    kinds.push_back(kindsOf(aProfile, holders));
  }
  const StaggeredCopies copies = staggerCopies(aProfile, kinds);
  if (copies.rate <= 0) {
    return false;
  }
  auto layers = copies.layers.begin();
  for (const auto& [zone, holders] : byZone) {
    for (std::size_t i = 0; i < holders.size(); ++i) {
      this->order(*holders[i], (*layers)[i], "first plan");
    }
    ++layers;
  }
  return true;
}

void
LayerPlanner::draw(const EngineProfile& aProfile, Group& aGroup)
{
  auto all = pointersTo(aGroup);
  // Fast accelerators first, then by zone and id: the same plan from the same
  // replicas, whoever draws it.
  std::sort(
    all.begin(), all.end(), [&](const Holder* aLeft, const Holder* aRight) {
      const auto rank = [&](const Holder* aHolder) {
        return std::tuple{ kindOf(aProfile, *aHolder->replica)->stepFactor,
                           aHolder->replica->zone,
                           aHolder->replica->id };
      };
      return rank(aLeft) < rank(aRight);
    });
  if (this->drawStaggered(aProfile, all)) {
    return;
  }
  const auto copies =
    splitCopies(aProfile, kindsOf(aProfile, all), tokenGoal(aProfile));
  for (const CopyMembers& members : copies) {
    std::vector<Holder*> chain;
    chain.reserve(members.size());
    for (const std::size_t place : members) {
      chain.push_back(all[place]);
    }
    this->drawChain(aProfile, chain);
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
  this->patience =
    aUncertain ? this->policy.doubtPatience : this->policy.gapPatience;
  this->orders.clear();
  this->openGaps.clear();
  const bool ready = this->settled(aReplicas, aNow);
  this->settleOrders(aProfile, aReplicas, aNow);
  if (!ready) {
    return {};
  }
  auto zones = this->groups(aProfile, aReplicas);
  for (Group& group : zones) {
    const bool empty =
      std::all_of(group.begin(), group.end(), [](const Holder& aHolder) {
        return aHolder.layers.size() == 0;
      });
    if (empty) {
      this->draw(aProfile, group);
      continue;
    }
    this->repair(aProfile, group, aBusy);
    for (const LayerRange& gap : gapsOf(group, aProfile.layers)) {
      this->openGaps.push_back(CopyGap{ group.front().replica->zone, gap });
    }
  }
  this->rescue(aProfile, zones);
  return std::exchange(this->orders, {});
}

} // namespace poplartrack
