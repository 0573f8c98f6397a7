#include "poplartrack/relay/PlacementController.h"

#include <algorithm>
#include <utility>

#include "poplartrack/base/Milli.h"
#include "poplartrack/fleet/ReplicaHealth.h"

namespace poplartrack {
namespace {

/** Returns whether paths avoid a replica because it is slow. Such a replica
 * counts as lost. */
bool
isDegraded(const RelayShared::Slowdowns& aSlowdowns,
           const std::string& aReplica)
{
  const auto found = aSlowdowns.find(aReplica);
  return found != aSlowdowns.end() && found->second >= kDegradedSlowdown;
}

/** The replicas of one service for a plan. */
struct PlanInput
{
  /** Those that may get orders. */
  std::vector<Replica> available;
  std::vector<Replica> degraded;
  /** A replica is missing that only this relay cannot reach. */
  bool uncertain = false;
};

/** Returns the replicas of a service for a plan, without those that drain, are
 * lost or have been replaced. aIndices: where aView holds them. */
PlanInput
planInput(const RelayShared& aShared,
          const ReplicaView& aView,
          const std::vector<std::size_t>& aIndices,
          const std::set<std::string>& aReplaced,
          const RelayShared::Slowdowns& aSlowdowns)
{
  const auto lost = aShared.lostReplicas.read();
  const auto announced = aShared.announcedDrains.read();
  PlanInput input;
  for (const std::size_t index : aIndices) {
    const Replica& replica = aView.replicas[index];
    const auto found = lost->find(replica.id);
    const bool dead = found != lost->end();
    const bool draining = replica.draining || announced->contains(replica.id);
    // Only this relay fails to reach it: the replica may be alive, and the
    // relay cut off. The planner waits longer then.
    input.uncertain = input.uncertain || (dead && !found->second && !draining);
    if (draining || aReplaced.contains(replica.id)) {
      continue;
    }
    if (!dead) {
      input.available.push_back(replica);
    } else if (isDegraded(aSlowdowns, replica.id)) {
      input.degraded.push_back(replica);
    }
  }
  return input;
}

/** Adds the figures for which a release was chosen. Rates are in thousandths of
 * a request a second. */
void
addFigures(LogLine& aLine, const OpenRelease& aRelease)
{
  const auto whole = [](double aValue) {
    return static_cast<std::int64_t>(aValue);
  };
  aLine.with("why", aRelease.move ? "demand" : "extended")
    .with("then_from", aRelease.kept.from)
    .with("then_to", aRelease.kept.to);
  if (!aRelease.move) {
    aLine.with("tokens_before", whole(aRelease.tokensBefore))
      .with("tokens_after", whole(aRelease.tokensAfter))
      .with("tokens_others", whole(aRelease.tokensOthers));
    return;
  }
  const DemandMove& move = *aRelease.move;
  aLine.with("demand_milli", whole(kMilli * move.demand))
    .with("carried_milli", whole(kMilli * move.carriedNow))
    .with("carried_after_milli", whole(kMilli * move.carriedAfter))
    .with("shortage_milli", whole(kMilli * move.shortage))
    .with("gained", whole(move.gained))
    .with("lost", whole(move.lost));
}

} // namespace

PlacementController::PlacementController(RelayShared& aShared,
                                         SendLayerOrder aSendOrder,
                                         LayerPlannerPolicy aPolicy)
  : shared(aShared)
  , sendLayerOrder(std::move(aSendOrder))
  , policy(aPolicy)
{
}

void
PlacementController::runRound(std::uint64_t aFence, TimePoint aNow)
{
  if (aFence != this->fence) {
    // Another relay may have held the lease in between. Its orders are unknown
    // here, so the planners must not rely on theirs.
    this->fence = aFence;
    {
      const std::scoped_lock lock{ this->guard };
      for (auto& [service, planner] : this->planners) {
        planner.reset();
      }
    }
    this->withdrawReleases();
  }
  const auto config = this->shared.config.read();
  const auto view = this->shared.replicas.read();
  if (config == nullptr) {
    return;
  }
  std::vector<ReleasedLayers> releases;
  for (const auto& [name, service] : config->services) {
    const auto listed = view->byService.find(name);
    if (service.engine && listed != view->byService.end()) {
      this->planService(*view, name, *service.engine, listed->second, aNow);
      const std::scoped_lock lock{ this->guard };
      const auto& release = this->planners.at(name).openRelease();
      if (release) {
        releases.push_back(release->released);
      }
    }
  }
  this->publishReleases(std::move(releases));
}

void
PlacementController::withdrawReleases()
{
  {
    const std::scoped_lock lock{ this->guard };
    for (auto& [service, planner] : this->planners) {
      planner.withdrawRelease();
      this->logReleases(service, planner);
    }
  }
  this->publishReleases({});
}

void
PlacementController::planService(const ReplicaView& aView,
                                 const std::string& aService,
                                 const EngineProfile& aEngine,
                                 const std::vector<std::size_t>& aIndices,
                                 TimePoint aNow)
{
  const auto slowdowns = this->shared.slowdowns.read();
  PlanInput input = planInput(
    this->shared, aView, aIndices, this->replacedReplicas(aView), *slowdowns);
  std::vector<LayerOrder> orders;
  {
    const std::scoped_lock lock{ this->guard };
    auto& planner =
      this->planners.try_emplace(aService, this->policy).first->second;
    planner.setReleaseUse(*this->shared.releaseUse.read());
    if (this->shared.leadsOutage || this->shared.listUncertain) {
      planner.onListUncertain(aNow);
    }
    if (const std::int64_t silentAt = this->shared.peerSilentAt) {
      planner.onRelaySilent(TimePoint{ Duration{ silentAt } });
    }
    const auto demand = this->shared.demand.read();
    const auto asked = demand->find(aService);
    planner.setDemand(asked == demand->end() ? ZoneDemand{} : asked->second);
    planner.setSpeeds(*slowdowns, std::move(input.degraded));
    orders = planner.plan(aEngine,
                          input.available,
                          input.uncertain,
                          *this->shared.busyReplicas.read(),
                          aNow);
    this->logGaps(aService, planner.gaps());
    this->logReleases(aService, planner);
  }
  for (const LayerOrder& order : orders) {
    const auto replica = std::find_if(
      input.available.begin(),
      input.available.end(),
      [&](const Replica& aReplica) { return aReplica.id == order.replica; });
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
PlacementController::logReleases(const std::string& aService,
                                 LayerPlanner& aPlanner)
{
  for (const ReleaseEvent& event : aPlanner.takeReleaseEvents()) {
    const OpenRelease& release = event.release;
    LogLine line{ LogPart::Placement,
                  event.outcome ? "release_ended" : "release" };
    line.with("service", aService)
      .with("replica", release.released.replica)
      .with("zone", release.zone)
      .with("from", release.released.layers.from)
      .with("to", release.released.layers.to);
    if (event.outcome) {
      line.with("outcome", std::string{ nameOf(*event.outcome) });
      this->shared.metrics.count(
        "layer_releases_" + std::string{ nameOf(*event.outcome) } + "_total");
    } else {
      this->shared.metrics.count("layer_releases_total");
      addFigures(line, release);
    }
    this->shared.log.write(line);
  }
}

void
PlacementController::publishReleases(std::vector<ReleasedLayers> aReleases)
{
  if (*this->shared.releases.read() != aReleases) {
    this->shared.releases.replace(
      std::make_shared<const std::vector<ReleasedLayers>>(
        std::move(aReleases)));
  }
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
