#include "poplartrack/fleet/LayerPlanner.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "LayerCut.h"

namespace poplartrack {
namespace {

/** Part of the engines' slots for whose usual requests a copy is to keep
 * memory, before a zone gets a second copy or a fast accelerator more layers.
 * With 192 slots and 926 tokens that is 89,000 tokens: the busiest declared
 * days have about 75 requests a second of 1.3 s each in flight, 90,000 tokens,
 * should one copy have to take them all. */
constexpr double kSlotsKept = 0.5;

/** A zone keeps a copy of its own while that has memory for this part of the
 * goal; below it, crossing zones costs less than refusing. */
constexpr double kSmallestCopy = 0.2;

/** A replica whose neighbours are missing takes over layers while it keeps
 * memory for this part of the goal. */
constexpr double kStretchedCopy = 0.45;

/** What was stretched is taken back to this part of the goal. */
constexpr double kKeptCopy = 0.9;

/** When no replica anywhere holds a layer, a copy is cut anew for this part of
 * the tokens that it could keep at most; the rest is room to leave most of it
 * in place. */
constexpr double kRecutCopy = 0.75;

double
tokenGoal(const EngineProfile& aProfile)
{
  return kSlotsKept * aProfile.slots *
         (aProfile.usualPrompt + aProfile.usualAnswer);
}

const AcceleratorKind*
kindOf(const EngineProfile& aProfile, const Replica& aReplica)
{
  const auto found = aProfile.kinds.find(aReplica.kind);
  return found == aProfile.kinds.end() ? nullptr : &found->second;
}

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

} // namespace

void
LayerPlanner::reset()
{
  this->open.clear();
  this->gapSince.clear();
}

bool
LayerPlanner::settled(std::span<const Replica> aReplicas, TimePoint aNow)
{
  std::set<std::string> present;
  bool anyHolds = false;
  for (const Replica& replica : aReplicas) {
    present.insert(replica.id);
    anyHolds = anyHolds || replica.layers.has_value();
    if (!this->known.contains(replica.id)) {
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
                        std::vector<Holder*>& aChain,
                        double aTokens)
{
  const auto kinds = kindsOf(aProfile, aChain);
  double tokens = tokensOfCopy(aProfile, kinds, aTokens);
  const auto counts = cutLayers(aProfile, kinds, tokens);
  if (counts.empty()) {
    return;
  }
  std::uint32_t from = 0;
  for (std::size_t i = 0; i < aChain.size(); ++i) {
    this->order(*aChain[i], { from, from + counts[i] }, "first plan");
    from += counts[i];
  }
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
  const double goal = tokenGoal(aProfile);
  std::vector<std::vector<Holder*>> best{ all };
  for (std::size_t copies = 2; copies <= all.size(); ++copies) {
    std::vector<std::vector<Holder*>> chains(copies);
    for (std::size_t i = 0; i < all.size(); ++i) {
      chains[i % copies].push_back(all[i]);
    }
    const bool enough =
      std::all_of(chains.begin(), chains.end(), [&](const auto& aChain) {
        return tokensOfCopy(aProfile, kindsOf(aProfile, aChain), goal) >= goal;
      });
    if (!enough) {
      break;
    }
    best = std::move(chains);
  }
  for (auto& chain : best) {
    this->drawChain(aProfile, chain, goal);
  }
}

void
LayerPlanner::fillGap(const EngineProfile& aProfile,
                      Group& aGroup,
                      LayerRange aGap)
{
  const double goal = tokenGoal(aProfile);
  for (Holder& holder : aGroup) {
    if (holder.layers.size() > 0 || holder.moving || aGap.size() == 0) {
      continue;
    }
    const std::uint32_t most = std::max(
      layersBeside(aProfile, *kindOf(aProfile, *holder.replica), goal), 1U);
    const std::uint32_t take = std::min(most, aGap.size());
    this->order(holder, { aGap.from, aGap.from + take }, "gap");
    aGap.from += take;
  }
}

/**
 * Stretches the neighbours of a gap over it. What they hold stays in service
 * meanwhile, and only the gap's layers are loaded: under a second for five. A
 * replica that must give layers up waits until the last answer that passes
 * through them ends, 5 s and more, and is missing until then. Nothing is done
 * when the neighbours cannot fill the gap: paths cross zones for those layers
 * either way.
 */
void
LayerPlanner::stretch(const EngineProfile& aProfile,
                      Group& aGroup,
                      LayerRange aGap)
{
  const double tokens = kStretchedCopy * tokenGoal(aProfile);
  const auto roomOf = [&](const Holder& aHolder) {
    const std::uint32_t most =
      layersBeside(aProfile, *kindOf(aProfile, *aHolder.replica), tokens);
    const bool free = !aHolder.moving && most > aHolder.layers.size();
    return free ? most - aHolder.layers.size() : 0U;
  };
  Holder* before = nullptr;
  Holder* behind = nullptr;
  for (Holder& holder : aGroup) {
    if (holder.layers.size() == 0) {
      continue;
    }
    if (holder.layers.to == aGap.from &&
        (before == nullptr || roomOf(holder) > roomOf(*before))) {
      before = &holder;
    }
    if (holder.layers.from == aGap.to &&
        (behind == nullptr || roomOf(holder) > roomOf(*behind))) {
      behind = &holder;
    }
  }
  const std::uint32_t roomBefore = before == nullptr ? 0 : roomOf(*before);
  const std::uint32_t roomBehind = behind == nullptr ? 0 : roomOf(*behind);
  const std::uint32_t room = roomBefore + roomBehind;
  if (room < aGap.size()) {
    return;
  }
  const std::uint32_t first =
    std::min(roomBefore, (aGap.size() * roomBefore + room - 1) / room);
  const std::uint32_t middle = aGap.from + first;
  if (before != nullptr && first > 0) {
    this->order(*before, { before->layers.from, middle }, "stretch");
  }
  if (behind != nullptr && middle < aGap.to) {
    this->order(*behind, { middle, behind->layers.to }, "stretch");
  }
}

/** Takes back what was stretched once others hold those layers again: memory
 * for requests is worth more than a second holder at the edge of a part. */
void
LayerPlanner::shrink(const EngineProfile& aProfile, Group& aGroup)
{
  for (Holder& holder : aGroup) {
    const std::uint32_t most = layersBeside(aProfile,
                                            *kindOf(aProfile, *holder.replica),
                                            kKeptCopy * tokenGoal(aProfile));
    if (holder.moving || holder.layers.size() <= most) {
      continue;
    }
    LayerRange kept = holder.layers;
    const auto others = [&](std::uint32_t aLayer) {
      return std::any_of(
        aGroup.begin(), aGroup.end(), [&](const Holder& aOther) {
          return &aOther != &holder && !aOther.moving &&
                 aOther.layers.contains({ aLayer, aLayer + 1 });
        });
    };
    while (kept.size() > most && others(kept.from)) {
      ++kept.from;
    }
    while (kept.size() > most && others(kept.to - 1)) {
      --kept.to;
    }
    if (kept != holder.layers) {
      // One at a time: two that hold the same layers must not both leave them.
      this->order(holder, kept, "shrink");
      return;
    }
  }
}

/** Cuts a copy anew over those that are left of it. */
void
LayerPlanner::recut(const EngineProfile& aProfile, Group& aGroup)
{
  auto all = pointersTo(aGroup);
  std::stable_sort(
    all.begin(), all.end(), [](const Holder* aLeft, const Holder* aRight) {
      return aLeft->layers < aRight->layers;
    });
  const double tokens =
    kRecutCopy *
    tokensOfCopy(aProfile, kindsOf(aProfile, all), tokenGoal(aProfile));
  std::vector<CutMember> members;
  for (const Holder* holder : all) {
    const AcceleratorKind& kind = *kindOf(aProfile, *holder->replica);
    members.push_back(
      CutMember{ holder->layers, layersBeside(aProfile, kind, tokens) });
  }
  const auto ranges = recutLayers(aProfile.layers, members);
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    this->order(*all[i], ranges[i], "recut");
  }
}

void
LayerPlanner::employ(const EngineProfile& aProfile,
                     Group& aGroup,
                     Holder& aEmpty)
{
  // The weakest layer bounds the copy.
  const std::vector<double> tokens = tokensByLayer(aProfile, aGroup);
  const auto weakest = static_cast<std::uint32_t>(
    std::min_element(tokens.begin(), tokens.end()) - tokens.begin());
  const std::uint32_t most = std::max(
    layersBeside(
      aProfile, *kindOf(aProfile, *aEmpty.replica), tokenGoal(aProfile)),
    1U);
  const std::uint32_t from = cutBefore(aGroup, weakest);
  std::uint32_t to = std::min(from + most, aProfile.layers);
  if (to <= weakest) {
    this->order(
      aEmpty, { weakest, std::min(weakest + most, aProfile.layers) }, "double");
    return;
  }
  // Same cut points as the parts that it doubles: it is then exchangeable with
  // them.
  const std::uint32_t snapped = cutBefore(aGroup, to);
  to = snapped > weakest ? snapped : to;
  this->order(aEmpty, { from, to }, "double");
}

void
LayerPlanner::repair(const EngineProfile& aProfile,
                     Group& aGroup,
                     const std::string& aName)
{
  const auto gaps = gapsOf(aGroup, aProfile.layers);
  for (const LayerRange& gap : gaps) {
    this->fillGap(aProfile, aGroup, gap);
  }
  const auto left = gapsOf(aGroup, aProfile.layers);
  if (left.empty()) {
    this->gapSince.erase(aName);
  } else {
    const auto since =
      this->gapSince.try_emplace(aName, this->now).first->second;
    if (this->now - since >= this->patience) {
      for (const LayerRange& gap : left) {
        this->stretch(aProfile, aGroup, gap);
      }
    }
  }
  for (Holder& holder : aGroup) {
    if (holder.layers.size() == 0 && !holder.moving) {
      this->employ(aProfile, aGroup, holder);
    }
  }
  const bool calm =
    gaps.empty() &&
    std::none_of(aGroup.begin(), aGroup.end(), [](const Holder& aHolder) {
      return aHolder.moving;
    });
  if (calm) {
    this->shrink(aProfile, aGroup);
  }
}

/** When some layer is held nowhere, every request is refused: the largest copy
 * is cut anew, whatever has to move. */
void
LayerPlanner::rescue(const EngineProfile& aProfile, std::vector<Group>& aZones)
{
  Group all;
  for (const Group& group : aZones) {
    all.insert(all.end(), group.begin(), group.end());
  }
  const bool moving =
    std::any_of(all.begin(), all.end(), [](const Holder& aHolder) {
      return aHolder.moving;
    });
  if (moving || gapsOf(all, aProfile.layers).empty()) {
    this->nowhereSince.reset();
    return;
  }
  if (!this->nowhereSince) {
    this->nowhereSince = this->now;
  }
  if (this->now - *this->nowhereSince < this->patience) {
    return;
  }
  const auto tokensOf = [&](Group& aGroup) {
    return tokensOfCopy(
      aProfile, kindsOf(aProfile, pointersTo(aGroup)), tokenGoal(aProfile));
  };
  Group* largest = nullptr;
  for (Group& group : aZones) {
    if (largest == nullptr || tokensOf(group) > tokensOf(*largest)) {
      largest = &group;
    }
  }
  this->recut(aProfile,
              largest != nullptr && tokensOf(*largest) > 0 ? *largest : all);
}

std::vector<LayerOrder>
LayerPlanner::plan(const EngineProfile& aProfile,
                   std::span<const Replica> aReplicas,
                   bool aInDoubt,
                   TimePoint aNow)
{
  this->now = aNow;
  this->patience =
    aInDoubt ? this->policy.doubtPatience : this->policy.gapPatience;
  this->orders.clear();
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
    this->repair(aProfile, group, group.front().replica->zone);
  }
  this->rescue(aProfile, zones);
  return std::exchange(this->orders, {});
}

} // namespace poplartrack
