#include "poplartrack/relay/PlacementController.h"

#include <algorithm>
#include <utility>

namespace poplartrack {

PlacementController::PlacementController(RelayShared& aShared,
                                         PlaceOrder aPlace)
  : shared(aShared)
  , placeOrder(std::move(aPlace))
{
}

void
PlacementController::run(std::uint64_t aFence, TimePoint aNow)
{
  if (aFence != this->fence) {
    // Another relay may have led meanwhile: its orders are not known here.
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
      this->place(name, *service.engine, listed->second, aNow);
    }
  }
}

void
PlacementController::place(const std::string& aService,
                           const EngineProfile& aEngine,
                           const std::vector<std::size_t>& aListed,
                           TimePoint aNow)
{
  const auto view = this->shared.replicas.read();
  const auto lost = this->shared.lostReplicas.read();
  std::vector<Replica> staying;
  bool uncertain = false;
  const std::set<std::string> gone = this->endedAmong(*view);
  for (const std::size_t place : aListed) {
    const Replica& replica = view->replicas[place];
    const auto found = lost->find(replica.id);
    const bool dead = found != lost->end();
    uncertain = uncertain || (dead && !found->second && !replica.draining);
    if (!replica.draining && !dead && !gone.contains(replica.id)) {
      staying.push_back(replica);
    }
  }
  std::vector<LayerOrder> orders;
  {
    const std::scoped_lock lock{ this->guard };
    auto& planner =
      this->planners.try_emplace(aService, LayerPlannerPolicy{}).first->second;
    orders = planner.plan(
      aEngine, staying, uncertain, *this->shared.busyReplicas.read(), aNow);
    this->logGaps(aService, planner.gaps());
  }
  for (const LayerOrder& order : orders) {
    const auto replica = std::find_if(
      staying.begin(), staying.end(), [&](const Replica& aReplica) {
        return aReplica.id == order.replica;
      });
    this->give(order, *replica);
  }
}

/** Replicas that are listed, but at whose address another one answered. */
std::set<std::string>
PlacementController::endedAmong(const ReplicaView& aView)
{
  const std::scoped_lock lock{ this->guard };
  std::set<std::string> listed;
  for (const Replica& replica : aView.replicas) {
    listed.insert(replica.id);
  }
  std::erase_if(this->ended, [&](const std::string& aReplica) {
    return !listed.contains(aReplica);
  });
  return this->ended;
}

/** Says once which layers a zone lacks: its callers' paths cross to another one
 * for these, or are refused. */
void
PlacementController::logGaps(const std::string& aService,
                             const std::vector<CopyGap>& aGaps)
{
  std::vector<CopyGap>& logged = this->loggedGaps[aService];
  if (logged == aGaps) {
    return;
  }
  logged = aGaps;
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
PlacementController::give(const LayerOrder& aOrder, const Replica& aReplica)
{
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
  this->placeOrder(aReplica,
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
  // Without an answer the order may be carried out yet: it is waited for.
  if (aDone.error().kind == ErrorKind::PlatformUnknown) {
    return;
  }
  const std::scoped_lock lock{ this->guard };
  if (aDone.error().kind == ErrorKind::NotFound) {
    this->ended.insert(aReplica.id);
  }
  const auto planner = this->planners.find(aReplica.service);
  if (planner != this->planners.end()) {
    planner->second.onRefused(aReplica.id);
  }
}

} // namespace poplartrack
