#include "poplartrack/place/PlacementStep.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "poplartrack/place/OrderFence.h"

namespace poplartrack {
namespace {

/** Copies left of a layer that nobody needs any more. */
constexpr std::uint32_t kPlenty = std::numeric_limits<std::uint32_t>::max();

/** Fewest copies that other endpoints have of a layer that the load drops. */
std::uint32_t
copiesLeft(const Configuration& aConfiguration,
           const CoverCount& aCover,
           const EndpointInfo& aInfo,
           const LayerRange& aKept)
{
  const auto model = aConfiguration.models.find(aInfo.model);
  if (model == aConfiguration.models.end()) {
    return kPlenty;
  }
  const ModelSpec& spec = model->second;
  if (aInfo.modelVersion != spec.version &&
      aCover.whole(aInfo.model, spec.version, spec.layers)) {
    return kPlenty;
  }
  std::uint32_t fewest = kPlenty;
  for (std::uint32_t at = aInfo.holds.from; at < aInfo.holds.to; ++at) {
    const bool dropped = at < aKept.from || at >= aKept.to;
    if (dropped) {
      const std::uint32_t all =
        aCover.copies(aInfo.model, aInfo.modelVersion, at);
      fewest = std::min(fewest, all - 1);
    }
  }
  return fewest;
}

std::uint32_t
minCopiesOf(const Configuration& aConfiguration, const std::string& aModel)
{
  const auto model = aConfiguration.models.find(aModel);
  return model == aConfiguration.models.end() ? 0 : model->second.minCopies;
}

bool
isEngine(const EndpointInfo& aInfo)
{
  return aInfo.service == "engine";
}

} // namespace

PlacementStep::PlacementStep(std::uint64_t aLeaseFence, PlacementLimits aLimits)
  : leaseFence(aLeaseFence)
  , limits(aLimits)
{
}

std::uint32_t
PlacementStep::inPhase(OrderPhase aPhase) const
{
  return static_cast<std::uint32_t>(std::count_if(
    this->states.begin(), this->states.end(), [&](const auto& aEntry) {
      return aEntry.second.phase() == aPhase;
    }));
}

std::uint32_t
PlacementStep::loading() const
{
  return this->inPhase(OrderPhase::Ordering) +
         this->inPhase(OrderPhase::Loading);
}

PlacementOrder
PlacementStep::orderFor(const EndpointInfo& aInfo, EndpointOrder aOrder)
{
  ++this->lastOrder;
  // Out of numbers: the next lease has new ones.
  this->stale = this->stale || this->lastOrder + 1 >= kMaxOrdersPerLease;
  aOrder.fence = orderFence(this->leaseFence, this->lastOrder);
  return { aInfo.name, aInfo.address, std::move(aOrder) };
}

void
PlacementStep::observe(const std::vector<EndpointInfo>& aView, TimePoint aNow)
{
  this->cover = CoverCount{};
  std::set<std::string> seen;
  for (const EndpointInfo& info : aView) {
    if (!isEngine(info)) {
      continue;
    }
    EndpointProgress& state = this->states[info.name];
    state.observe(info, this->limits, aNow);
    this->cover.add(info.model,
                    info.modelVersion,
                    state.surelyHeld(info, this->limits, aNow));
    seen.insert(info.name);
  }
  std::erase_if(this->states, [&](const auto& aEntry) {
    return !seen.contains(aEntry.first);
  });
}

void
PlacementStep::announce(const std::vector<EndpointInfo>& aView,
                        TimePoint aNow,
                        std::vector<PlacementOrder>& aOrders)
{
  std::uint32_t announcing = this->inPhase(OrderPhase::Announcing);
  for (const EndpointInfo& info : aView) {
    if (!isEngine(info) || info.draining) {
      continue;
    }
    if (announcing >= this->limits.maxPendingFences) {
      return;
    }
    EndpointProgress& state = this->states[info.name];
    if (state.phase() != OrderPhase::Unfenced || !state.rested(aNow)) {
      continue;
    }
    EndpointOrder order;
    order.order = OrderKind::Stay;
    aOrders.push_back(this->orderFor(info, std::move(order)));
    state.announce(aOrders.back().order.fence, aNow);
    ++announcing;
  }
}

std::vector<PlacementStep::Wish>
PlacementStep::wishes(const PlacementPlan& aPlan,
                      const std::vector<EndpointInfo>& aView,
                      TimePoint aNow) const
{
  std::map<std::string, const EndpointInfo*> known;
  for (const EndpointInfo& info : aView) {
    const auto state = this->states.find(info.name);
    if (state == this->states.end() || info.draining ||
        state->second.phase() != OrderPhase::Known) {
      continue;
    }
    const bool counted =
      state->second.surelyHeld(info, this->limits, aNow) == info.holds;
    if (counted) {
      known[info.name] = &info;
    }
  }
  std::vector<Wish> list;
  for (const PlannedHold& target : aPlan.holds) {
    const auto found = known.find(target.endpoint);
    if (found != known.end() && !holdsTarget(*found->second, target)) {
      list.push_back({ found->second, &target, 0 });
    }
  }
  return list;
}

void
PlacementStep::orderLoads(const Configuration& aConfiguration,
                          std::vector<Wish> aWishes,
                          TimePoint aNow,
                          std::vector<PlacementOrder>& aOrders)
{
  const auto measure = [&] {
    for (Wish& wish : aWishes) {
      const LayerRange kept = keptWhileLoading(*wish.info, *wish.target);
      wish.left = copiesLeft(aConfiguration, this->cover, *wish.info, kept);
    }
  };
  measure();
  while (!aWishes.empty() && this->loading() < this->limits.maxLoads) {
    const auto best =
      std::max_element(aWishes.begin(),
                       aWishes.end(),
                       [](const Wish& aLeft, const Wish& aRight) {
                         return aLeft.left < aRight.left;
                       });
    const EndpointInfo& info = *best->info;
    const std::uint32_t wanted = minCopiesOf(aConfiguration, info.model);
    // Below minCopies only when no other load may still bring a copy.
    if (best->left == 0 || (best->left<wanted&& this->loading()> 0)) {
      break;
    }
    const PlannedHold& target = *best->target;
    EndpointOrder order;
    order.order = OrderKind::Load;
    order.model = target.model;
    order.modelVersion = target.version;
    order.holds = target.holds;
    aOrders.push_back(this->orderFor(info, std::move(order)));
    this->states[info.name].order(
      aOrders.back().order.fence, info, target, aNow);
    this->cover.remove(info.model, info.modelVersion, info.holds);
    this->cover.add(
      info.model, info.modelVersion, keptWhileLoading(info, target));
    aWishes.erase(best);
    measure();
  }
  this->blockedCount = static_cast<std::uint32_t>(
    std::count_if(aWishes.begin(), aWishes.end(), [](const Wish& aWish) {
      return aWish.left == 0;
    }));
}

std::vector<PlacementOrder>
PlacementStep::next(const Configuration& aConfiguration,
                    const PlacementPlan& aPlan,
                    const std::vector<EndpointInfo>& aView,
                    TimePoint aNow)
{
  std::vector<PlacementOrder> orders;
  if (this->stale) {
    return orders;
  }
  this->observe(aView, aNow);
  this->announce(aView, aNow, orders);
  this->orderLoads(
    aConfiguration, this->wishes(aPlan, aView, aNow), aNow, orders);
  return orders;
}

void
PlacementStep::onTaken(const PlacementOrder& aOrder, TimePoint aNow)
{
  const auto found = this->states.find(aOrder.endpoint);
  if (found != this->states.end() && found->second.awaits(aOrder.order.fence)) {
    found->second.taken(aNow);
  }
}

void
PlacementStep::onRefused(const PlacementOrder& aOrder,
                         const Error& aError,
                         TimePoint aNow)
{
  const auto found = this->states.find(aOrder.endpoint);
  if (found == this->states.end() ||
      !found->second.awaits(aOrder.order.fence)) {
    return;
  }
  if (aError.kind == ErrorKind::StaleFence) {
    this->stale = true;
    return;
  }
  found->second.failed(this->limits, aNow);
}

} // namespace poplartrack
