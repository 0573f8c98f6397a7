#include "poplartrack/place/PlacementStep.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "poplartrack/place/OrderFence.h"

namespace poplartrack {
namespace {

/** Result of copiesLeft() when no dropped layer is needed any more. */
constexpr std::uint32_t kNotNeeded = std::numeric_limits<std::uint32_t>::max();

/** Returns how many copies other endpoints have of the layers that a load
 * drops, for the layer with the fewest. Layers of a removed model are not
 * needed, nor are those of an old version once the configured version covers
 * all layers. */
std::uint32_t
copiesLeft(const Configuration& aConfiguration,
           const CopyCount& aCopies,
           const EndpointInfo& aInfo,
           const LayerRange& aKept)
{
  const auto model = aConfiguration.models.find(aInfo.model);
  if (model == aConfiguration.models.end()) {
    return kNotNeeded;
  }
  const ModelSpec& spec = model->second;
  if (aInfo.modelVersion != spec.version &&
      aCopies.coversAll(aInfo.model, spec.version, spec.layers)) {
    return kNotNeeded;
  }
  std::uint32_t fewest = kNotNeeded;
  for (std::uint32_t at = aInfo.holds.from; at < aInfo.holds.to; ++at) {
    const bool dropped = at < aKept.from || at >= aKept.to;
    if (dropped) {
      const std::uint32_t all =
        aCopies.copies(aInfo.model, aInfo.modelVersion, at);
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
PlacementStep::countInPhase(OrderPhase aPhase) const
{
  return static_cast<std::uint32_t>(std::count_if(
    this->progress.begin(), this->progress.end(), [&](const auto& aEntry) {
      return aEntry.second.phase() == aPhase;
    }));
}

std::uint32_t
PlacementStep::loading() const
{
  return this->countInPhase(OrderPhase::LoadPending) +
         this->countInPhase(OrderPhase::Loading);
}

PlacementOrder
PlacementStep::makeOrder(const EndpointInfo& aInfo, EndpointOrder aOrder)
{
  ++this->lastOrder;
  // When the order numbers of this lease are used up, later calls of next()
  // return no orders. The next lease starts to count again.
  this->stopped = this->stopped || this->lastOrder + 1 >= kMaxOrdersPerLease;
  aOrder.fence = orderFence(this->leaseFence, this->lastOrder);
  return { aInfo.name, aInfo.address, std::move(aOrder) };
}

void
PlacementStep::updateView(const std::vector<EndpointInfo>& aView,
                          TimePoint aNow)
{
  this->confirmedCopies = CopyCount{};
  std::set<std::string> seen;
  for (const EndpointInfo& info : aView) {
    if (!isEngine(info)) {
      continue;
    }
    EndpointProgress& state = this->progress[info.name];
    state.observe(info, this->limits, aNow);
    this->confirmedCopies.add(info.model,
                              info.modelVersion,
                              state.confirmedHolds(info, this->limits, aNow));
    seen.insert(info.name);
  }
  std::erase_if(this->progress, [&](const auto& aEntry) {
    return !seen.contains(aEntry.first);
  });
}

void
PlacementStep::addFenceOrders(const std::vector<EndpointInfo>& aView,
                              TimePoint aNow,
                              std::vector<PlacementOrder>& aOrders)
{
  std::uint32_t pending = this->countInPhase(OrderPhase::FencePending);
  for (const EndpointInfo& info : aView) {
    if (!isEngine(info) || info.draining) {
      continue;
    }
    if (pending >= this->limits.maxPendingFences) {
      return;
    }
    EndpointProgress& state = this->progress[info.name];
    if (state.phase() != OrderPhase::Unfenced || !state.backoffOver(aNow)) {
      continue;
    }
    EndpointOrder order;
    order.order = OrderKind::Stay;
    aOrders.push_back(this->makeOrder(info, std::move(order)));
    state.onFenceSent(aOrders.back().order.fence, aNow);
    ++pending;
  }
}

std::vector<PlacementStep::PendingLoad>
PlacementStep::pendingLoads(const PlacementPlan& aPlan,
                            const std::vector<EndpointInfo>& aView,
                            TimePoint aNow) const
{
  std::map<std::string, const EndpointInfo*> known;
  for (const EndpointInfo& info : aView) {
    const auto state = this->progress.find(info.name);
    if (state == this->progress.end() || info.draining ||
        state->second.phase() != OrderPhase::Known) {
      continue;
    }
    const bool holdsAllConfirmed =
      state->second.confirmedHolds(info, this->limits, aNow) == info.holds;
    if (holdsAllConfirmed) {
      known[info.name] = &info;
    }
  }
  std::vector<PendingLoad> list;
  for (const PlannedHold& target : aPlan.holds) {
    const auto found = known.find(target.endpoint);
    if (found != known.end() && !holdsTarget(*found->second, target)) {
      list.push_back({ found->second, &target, 0 });
    }
  }
  return list;
}

void
PlacementStep::addLoadOrders(const Configuration& aConfiguration,
                             std::vector<PendingLoad> aLoads,
                             TimePoint aNow,
                             std::vector<PlacementOrder>& aOrders)
{
  const auto updateCopiesLeft = [&] {
    for (PendingLoad& load : aLoads) {
      const LayerRange kept = keptWhileLoading(*load.info, *load.target);
      load.copiesLeft =
        copiesLeft(aConfiguration, this->confirmedCopies, *load.info, kept);
    }
  };
  updateCopiesLeft();
  while (!aLoads.empty() && this->loading() < this->limits.maxLoads) {
    const auto best =
      std::max_element(aLoads.begin(),
                       aLoads.end(),
                       [](const PendingLoad& aLeft, const PendingLoad& aRight) {
                         return aLeft.copiesLeft < aRight.copiesLeft;
                       });
    const EndpointInfo& info = *best->info;
    const std::uint32_t minCopies = minCopiesOf(aConfiguration, info.model);
    // A load that leaves fewer than minCopies starts only when no running load
    // may still add a copy.
    if (best->copiesLeft == 0 ||
        (best->copiesLeft<minCopies&& this->loading()> 0)) {
      break;
    }
    const PlannedHold& target = *best->target;
    EndpointOrder order;
    order.order = OrderKind::Load;
    order.model = target.model;
    order.modelVersion = target.version;
    order.holds = target.holds;
    aOrders.push_back(this->makeOrder(info, std::move(order)));
    this->progress[info.name].onLoadSent(
      aOrders.back().order.fence, info, target, aNow);
    this->confirmedCopies.remove(info.model, info.modelVersion, info.holds);
    this->confirmedCopies.add(
      info.model, info.modelVersion, keptWhileLoading(info, target));
    aLoads.erase(best);
    updateCopiesLeft();
  }
  this->blockedCount = static_cast<std::uint32_t>(
    std::count_if(aLoads.begin(), aLoads.end(), [](const PendingLoad& aLoad) {
      return aLoad.copiesLeft == 0;
    }));
}

std::vector<PlacementOrder>
PlacementStep::next(const Configuration& aConfiguration,
                    const PlacementPlan& aPlan,
                    const std::vector<EndpointInfo>& aView,
                    TimePoint aNow)
{
  std::vector<PlacementOrder> orders;
  if (this->stopped) {
    return orders;
  }
  this->updateView(aView, aNow);
  this->addFenceOrders(aView, aNow, orders);
  this->addLoadOrders(
    aConfiguration, this->pendingLoads(aPlan, aView, aNow), aNow, orders);
  return orders;
}

void
PlacementStep::onTaken(const PlacementOrder& aOrder, TimePoint aNow)
{
  const auto found = this->progress.find(aOrder.endpoint);
  if (found != this->progress.end() &&
      found->second.isNewestOrder(aOrder.order.fence)) {
    found->second.onAccepted(aNow);
  }
}

void
PlacementStep::onRefused(const PlacementOrder& aOrder,
                         const Error& aError,
                         TimePoint aNow)
{
  const auto found = this->progress.find(aOrder.endpoint);
  if (found == this->progress.end() ||
      !found->second.isNewestOrder(aOrder.order.fence)) {
    return;
  }
  if (aError.kind == ErrorKind::StaleFence) {
    this->stopped = true;
    return;
  }
  found->second.backOff(this->limits, aNow);
}

} // namespace poplartrack
