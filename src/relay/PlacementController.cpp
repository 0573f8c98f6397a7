#include "poplartrack/relay/PlacementController.h"

#include <algorithm>
#include <utility>

namespace poplartrack {

PlacementController::PlacementController(RelayShared& aShared,
                                         SendLayerOrder aSendOrder)
  : shared(aShared)
  , sendLayerOrder(std::move(aSendOrder))
{
}

void
PlacementController::runRound(std::uint64_t aFence, TimePoint aNow)
{
  if (aFence != this->fence) {
    // Another relay may have held the lease in between. Its orders are unknown
    // here, so the planners must not rely on theirs.
    this->fence = aFence;
    const std::scoped_lock lock{ this->guard };
    for (auto& [service, planner] : this->planners) {
      planner.reset();
    }
  }
  const auto config = this->shared.config.read();
  const auto view = this->shared.replicas.read();
  if (config == nullptr) {
    return;
  }
  for (const auto& [name, service] : config->services) {
    const auto listed = view->byService.find(name);
    if (service.engine && listed != view->byService.end()) {
      this->planService(*view, name, *service.engine, listed->second, aNow);
    }
  }
}

void
PlacementController::planService(const ReplicaView& aView,
                                 const std::string& aService,
                                 const EngineProfile& aEngine,
                                 const std::vector<std::size_t>& aIndices,
                                 TimePoint aNow)
{
  const auto lost = this->shared.lostReplicas.read();
  const auto announced = this->shared.announcedDrains.read();
  std::vector<Replica> available;
  bool uncertain = false;
  const std::set<std::string> replaced = this->replacedReplicas(aView);
  for (const std::size_t index : aIndices) {
    const Replica& replica = aView.replicas[index];
    const auto found = lost->find(replica.id);
    const bool dead = found != lost->end();
    const bool draining = replica.draining || announced->contains(replica.id);
    // Only this relay fails to reach it: the replica may be alive, and the
    // relay cut off. The planner waits longer then.
    uncertain = uncertain || (dead && !found->second && !draining);
    if (!draining && !dead && !replaced.contains(replica.id)) {
      available.push_back(replica);
    }
  }
  std::vector<LayerOrder> orders;
  {
    const std::scoped_lock lock{ this->guard };
    auto& planner =
      this->planners.try_emplace(aService, LayerPlannerPolicy{}).first->second;
    orders = planner.plan(
      aEngine, available, uncertain, *this->shared.busyReplicas.read(), aNow);
    this->logGaps(aService, planner.gaps());
  }
  for (const LayerOrder& order : orders) {
    const auto replica = std::find_if(
      available.begin(), available.end(), [&](const Replica& aReplica) {
        return aReplica.id == order.replica;
      });
    this->issueOrder(order, *replica);
  }
}

std::set<std::string>
PlacementController::replacedReplicas(const ReplicaView& aView)
{
  const std::scoped_lock lock{ this->guard };
  std::set<std::string> listed;
  for (const Replica& replica : aView.replicas) {
    listed.insert(replica.id);
  }
  std::erase_if(this->knownReplaced, [&](const std::string& aReplica) {
    return !listed.contains(aReplica);
  });
  return this->knownReplaced;
}

// Requests of a zone with a gap cross to another zone for the missing layers,
// or are refused.
void
PlacementController::logGaps(const std::string& aService,
                             const std::vector<CopyGap>& aGaps)
{
  std::vector<CopyGap>& lastLogged = this->lastLoggedGaps[aService];
  if (lastLogged == aGaps) {
    return;
  }
  lastLogged = aGaps;
  std::string text;
  for (const CopyGap& gap : aGaps) {
    text += (text.empty() ? "" : " ") + gap.zone + "=" +
            std::to_string(gap.layers.from) + "-" +
            std::to_string(gap.layers.to);
  }
  this->shared.metrics.set("placement_gaps",
                           static_cast<std::int64_t>(aGaps.size()));
  this->shared.log.write(LogLine{ LogPart::Placement, "gaps" }
                           .with("service", aService)
                           .with("open", text.empty() ? "none" : text));
}

void
PlacementController::issueOrder(const LayerOrder& aOrder,
                                const Replica& aReplica)
{
  if (this->shared.backingOff.read()->contains(aReplica.id)) {
    this->onOrderDone(
      aReplica, fail(ErrorKind::Overloaded, "it has asked for a backoff"));
    return;
  }
  this->shared.metrics.count("placement_orders_total");
  this->shared.log.write(
    LogLine{ LogPart::Placement, "order" }
      .with("replica", aReplica.id)
      .with("zone", aReplica.zone)
      .with("kind", aReplica.kind)
      .with("from", aOrder.layers.from)
      .with("to", aOrder.layers.to)
      .with("why", aOrder.reason)
      .with("fence", static_cast<std::int64_t>(this->fence)));
  this->sendLayerOrder(aReplica,
                       aOrder.layers,
                       this->fence,
                       [this, replica = aReplica](const Result<Done>& aDone) {
                         this->onOrderDone(replica, aDone);
                       });
}

void
PlacementController::onOrderDone(const Replica& aReplica,
                                 const Result<Done>& aDone)
{
  if (aDone) {
    return;
  }
  this->shared.log.write(LogLine{ LogPart::Placement, "order_failed" }
                           .with("replica", aReplica.id)
                           .with("reason", describe(aDone.error())));
  // An order without an answer may still be executed, so it stays open.
  if (aDone.error().kind == ErrorKind::PlatformUnknown) {
    return;
  }
  const std::scoped_lock lock{ this->guard };
  // Another replica has answered at the address.
  if (aDone.error().kind == ErrorKind::NotFound) {
    this->knownReplaced.insert(aReplica.id);
  }
  const auto planner = this->planners.find(aReplica.service);
  if (planner != this->planners.end()) {
    planner->second.onRefused(aReplica.id);
  }
}

} // namespace poplartrack
