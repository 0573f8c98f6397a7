#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "poplartrack/base/RequestId.h"

namespace poplartrack {
namespace fleet_control {

/** While a status message of the lease holder is at most this old, the holder
 * is assumed to renew its lease, and the other relays hardly poll the row. */
constexpr Duration kLeaderTimeout = std::chrono::milliseconds{ 1'000 };
/** Interval between polls of the lease by other relays in that case. */
constexpr Duration kLeasePollIntervalWithLeader = std::chrono::seconds{ 20 };

/** Timeout of a read of everything, when nothing is known yet. A slow store may
 * take 300 ms. */
constexpr Duration kInitialReadTimeout = std::chrono::milliseconds{ 1'500 };

/** Interval at which a relay that does not poll the store applies the updates
 * that it has received. */
constexpr Duration kPeerUpdateInterval = std::chrono::milliseconds{ 100 };

/** A relay whose poll failed reports the failure for this long, and is not
 * chosen as a store reader meanwhile: the store may reject this relay alone.
 * Then it may be chosen again, or a zone would run out of candidates. */
constexpr Duration kPollFailureCooldown = std::chrono::seconds{ 5 };

/** Pause between two rounds of housekeeping. */
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds{ 250 };

/** Pause between two placement rounds. Streams notice the loss of a replica
 * after about 300 ms; its layers should not wait much longer for a new holder.
 */
constexpr Duration kPlacementInterval = std::chrono::milliseconds{ 100 };

/** Returns a random value in [0, 1). */
inline double
randomUnitValue()
{
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(randomRequestId().low % kSteps) / kSteps;
}

inline LayerPlannerPolicy
plannerPolicy(const RelaySettings& aSettings)
{
  LayerPlannerPolicy policy;
  policy.followsDemand = aSettings.load.demandPlacement;
  return policy;
}

inline LeaseSettings
leaseSettings(const RelaySettings& aSettings)
{
  LeaseSettings lease;
  lease.name = "placement/" + aSettings.region;
  lease.holder = aSettings.name + "/" + toText(randomRequestId());
  // Placement must not pause for long when the lease holder dies: requests that
  // need a lost layer are refused until a replica holds it again. Another relay
  // takes the lease over after 3 to 4 s. The others poll it often only while no
  // status message of a holder arrives.
  lease.duration = std::chrono::milliseconds{ 2'000 };
  lease.renewInterval = std::chrono::milliseconds{ 700 };
  lease.pollInterval = std::chrono::milliseconds{ 700 };
  lease.margin = std::chrono::milliseconds{ 200 };
  return lease;
}

} // namespace fleet_control

template<FleetStoreLike Store>
FleetControl<Store>::FleetControl(const RelaySettings& aSettings,
                                  RelayShared& aShared,
                                  Store& aStore,
                                  SendLayerOrder aSendOrder,
                                  FetchSnapshot aFetchSnapshot)
  : settings(aSettings)
  , shared(aShared)
  , store(aStore)
  , leaseStore(aStore, aShared.metrics, StoreCall::Lease, StoreCall::Lease)
  , lease(this->leaseStore,
          this->clock,
          fleet_control::leaseSettings(aSettings))
  , fetchSnapshot(std::move(aFetchSnapshot))
  , startedAt(this->clock.now())
  , nextContact(randomRequestId().low)
  , placement(aShared,
              std::move(aSendOrder),
              fleet_control::plannerPolicy(aSettings))
  , directoryStore(aStore,
                   aShared.metrics,
                   StoreCall::RelaysRead,
                   StoreCall::RelaysWrite)
  , directory(this->settings, aShared, this->directoryStore)
  , quarantineStore(aStore,
                    aShared.metrics,
                    StoreCall::QuarantineRead,
                    StoreCall::QuarantineWrite)
  , quarantine(aShared, this->quarantineStore)
  , configThread([this] { return this->followConfig(); })
  , replicasThread([this] { return this->followReplicas(); })
  , configCatchUpThread([this] { return this->catchUpConfig(); })
  , replicasCatchUpThread([this] { return this->catchUpReplicas(); })
  , housekeepingThread([this] { return this->runHousekeeping(); })
  , placementThread([this] { return this->runPlacement(); })
{
}

template<FleetStoreLike Store>
void
FleetControl<Store>::releaseLease()
{
  this->stopping = true;
  // Stops reporting that this relay holds the lease. If that were reported for
  // the whole grace time, the other relays would not poll the released lease,
  // and no layers would be placed for up to 9 s.
  this->shared.holdsLease = false;
  this->shared.releasedFence = this->placementFence.exchange(0);
  this->placement.withdrawReleases();
  this->lease.release();
}

template<FleetStoreLike Store>
void
FleetControl<Store>::onStoreUnavailable(const char* aWhat, const Error& aError)
{
  this->shared.metrics.countRetry(RetryReason::PlatformUnavailable);
  this->shared.log.write(LogLine{ LogPart::Store, "lost" }
                           .with("what", aWhat)
                           .with("reason", describe(aError)));
}

template<FleetStoreLike Store>
void
FleetControl<Store>::onStoreAvailable(const char* aWhat)
{
  this->shared.log.write(
    LogLine{ LogPart::Store, "regained" }.with("what", aWhat));
}

template<FleetStoreLike Store>
std::size_t
FleetControl<Store>::randomIndex(std::size_t aSize)
{
  return static_cast<std::size_t>(fleet_control::randomUnitValue() *
                                  static_cast<double>(aSize));
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::randomPart(Duration aMax)
{
  return std::chrono::duration_cast<Duration>(aMax *
                                              fleet_control::randomUnitValue());
}

template<FleetStoreLike Store>
StorePollSchedule
FleetControl<Store>::pollSchedule() const
{
  return StorePollSchedule{ this->shared.storeReaders };
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::batchDelay() const
{
  return StorePollSchedule::batchDelay(this->shared.receivedRequest ||
                                       this->placementFence != 0);
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::followConfig()
{
  if (!this->mayReadStore()) {
    return fleet_control::kJoinInterval;
  }
  // A relay that joined through a contact before there was a configuration
  // learns of the first one from its peers.
  const bool known =
    this->shared.config.read() != nullptr || this->shared.joinedPeersAt != 0;
  if (known && !this->shared.polls) {
    return fleet_control::kPeerUpdateInterval;
  }
  this->shared.metrics.countStoreCall(
    this->awaitsConfigChanges ? StoreCall::ConfigPoll : StoreCall::ConfigRead);
  const Result<ConfigPoll> poll =
    this->awaitsConfigChanges
      ? this->store.awaitConfig(
          this->configCursor,
          this->pollSchedule().configWait(fleet_control::randomUnitValue()))
      : this->store.readConfig(fleet_control::kInitialReadTimeout);
  this->onConfigPoll(poll);
  if (!poll) {
    // NotFound: the store no longer has the history after configCursor. That is
    // no outage; everything is read at once.
    const bool wasAwaiting = std::exchange(this->awaitsConfigChanges, false);
    if (poll.error().kind == ErrorKind::NotFound && wasAwaiting) {
      return Duration{ 0 };
    }
    return this->pollSchedule().retryPause(this->configFailures++,
                                           fleet_control::randomUnitValue());
  }
  this->configFailures = 0;
  this->configCursor = poll.value().next;
  // Also set while there is no configuration yet: the first one is reported as
  // a change, like any later one. Repeated reads until then would take 85 calls
  // per relay, half of all its calls in the first 30 s.
  this->awaitsConfigChanges = true;
  return poll.value().config ? this->batchDelay() : Duration{ 0 };
}

template<FleetStoreLike Store>
void
FleetControl<Store>::onConfigPoll(const Result<ConfigPoll>& aPoll)
{
  const bool historyGone = !aPoll && aPoll.error().kind == ErrorKind::NotFound;
  if (historyGone) {
    return;
  }
  this->shared.configPollFailed = !aPoll;
  if (!aPoll) {
    if (this->configReachable.exchange(false)) {
      this->onStoreUnavailable("config", aPoll.error());
    }
    return;
  }
  if (!this->configReachable.exchange(true)) {
    this->onStoreAvailable("config");
  }
  this->applyConfig(aPoll.value());
}

template<FleetStoreLike Store>
void
FleetControl<Store>::applyConfig(const ConfigPoll& aPoll)
{
  for (const std::string& problem : aPoll.unreadable) {
    this->shared.log.write(
      LogLine{ LogPart::Config, "unreadable" }.with("reason", problem));
  }
  const std::scoped_lock lock{ this->configGuard };
  const auto current = this->shared.config.read();
  // An older version than the one in force is never applied: it would restore a
  // key or a route that has been removed.
  if (aPoll.config &&
      (current == nullptr || aPoll.config->version > current->version)) {
    this->shared.config.replace(aPoll.config);
    this->shared.metrics.set("config_version",
                             static_cast<std::int64_t>(aPoll.config->version));
    this->shared.log.write(
      LogLine{ LogPart::Config, "in_force" }
        .with("version", static_cast<std::int64_t>(aPoll.config->version))
        .with("keys", static_cast<std::int64_t>(aPoll.config->keys.size())));
  }
  // After a restore from an older copy, the store may lack a configuration that
  // another relay has and that has removed a key.
  const auto inForce = this->shared.config.read();
  const bool newest =
    inForce != nullptr && inForce->version >= this->shared.peerConfigVersion;
  if (aPoll.unreadable.empty() && newest) {
    this->shared.freshness.prove(aPoll.asOf);
  }
}

// While the holder of the lease is known to be alive, the other relays do not
// contend for it. A lease that its holder reports as released can be taken at
// once, without waiting until it expires.
template<FleetStoreLike Store>
void
FleetControl<Store>::pollLease()
{
  const TimePoint now = this->clock.now();
  const TimePoint leaderSeenAt{ Duration{ this->shared.leaderSeenAt.load() } };
  const bool leaderKnown = now - leaderSeenAt < fleet_control::kLeaderTimeout;
  // While the store is unavailable, only the threads that follow the
  // configuration and the replica list retry. Polls of the lease by each relay
  // as well would be 200 useless calls in 8 s with 24 relays.
  const bool storeUnavailable =
    !this->configReachable && !this->replicasReachable;
  if ((storeUnavailable || !this->shared.polls) && this->placementFence == 0) {
    return;
  }
  if (leaderKnown && this->placementFence == 0 &&
      now - this->leasePolledAt < fleet_control::kLeasePollIntervalWithLeader) {
    return;
  }
  this->lease.onReleased(this->shared.peerReleasedFence);
  this->leasePolledAt = now;
  this->lease.poll();
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::runHousekeeping()
{
  if (this->shared.joining && !this->stopping) {
    return this->joinFleet();
  }
  if (!this->stopping) {
    this->removeExpiredReplicas();
    this->pollLease();
    this->directory.refresh(this->clock.now());
    this->refreshPeers(this->clock.now());
    this->quarantine.refresh(this->clock.now());
  }
  return fleet_control::kHousekeepingInterval;
}

template<FleetStoreLike Store>
OutageView
FleetControl<Store>::outageView() const
{
  const TimePoint updatedAt{ Duration{ this->shared.outageViewAt.load() } };
  const bool current =
    this->clock.now() - updatedAt <= OutageLeadership::kFreshTime;
  OutageView view;
  view.proofAge = this->shared.freshness.age();
  view.listedPeers = this->shared.peers.read()->size();
  view.freshPeers = current ? this->shared.freshPeers.load() : 0;
  view.peerHoldsLease = this->shared.peerHoldsLease;
  view.peerReleasedFence = this->shared.peerReleasedFence;
  return view;
}

template<FleetStoreLike Store>
std::optional<std::uint64_t>
FleetControl<Store>::outageFence()
{
  if (!this->settings.load.outagePlacement) {
    return std::nullopt;
  }
  const OutageView view = this->outageView();
  const std::optional<std::uint64_t> fence =
    this->leadership.fenceToLead(view, this->clock.now());
  constexpr std::int64_t kMicrosPerMs = 1'000;
  if (fence.has_value() != this->shared.leadsOutage) {
    this->shared.log.write(
      LogLine{ LogPart::Lease, "outage_leader" }
        .with("leads", fence ? 1 : 0)
        .with("fence", static_cast<std::int64_t>(fence.value_or(0)))
        .with("proof_age_ms", view.proofAge.count() / kMicrosPerMs)
        .with("relays", static_cast<std::int64_t>(view.listedPeers))
        .with("fresh", static_cast<std::int64_t>(view.freshPeers))
        .with("other_holds", view.peerHoldsLease ? 1 : 0));
  }
  this->setLeadsOutage(fence.has_value());
  return fence;
}

template<FleetStoreLike Store>
void
FleetControl<Store>::setLeadsOutage(bool aLeads)
{
  if (this->shared.leadsOutage.exchange(aLeads) != aLeads) {
    this->shared.metrics.set("placement_outage_leader", aLeads ? 1 : 0);
  }
}

// When this relay no longer holds the lease, it reports that to the others. If
// the store rejects only this relay, they would otherwise wait until the lease
// expires for them too, and lost layers would not be replaced for 3 s.
template<FleetStoreLike Store>
Duration
FleetControl<Store>::runPlacement()
{
  if (this->stopping) {
    this->shared.holdsLease = false;
    this->setLeadsOutage(false);
    // A round that was under way in releaseLease() may have published some.
    this->placement.withdrawReleases();
    return fleet_control::kPlacementInterval;
  }
  const std::optional<HeldLease> held = this->lease.held();
  if (held) {
    if (this->placementFence.exchange(held->fence) != held->fence) {
      this->shared.metrics.set("placement_lease_held", 1);
      this->shared.log.write(LogLine{ LogPart::Lease, "taken" }.with(
        "fence", static_cast<std::int64_t>(held->fence)));
    }
    this->shared.holdsLease = true;
    this->setLeadsOutage(false);
    this->leadership.onHeld(held->fence, this->clock.now() + held->timeLeft);
    this->placement.runRound(held->fence, this->clock.now());
    return fleet_control::kPlacementInterval;
  }
  if (const auto fence = this->outageFence()) {
    this->placementFence = *fence;
    this->shared.holdsLease = true;
    this->placement.runRound(*fence, this->clock.now());
    return fleet_control::kPlacementInterval;
  }
  this->shared.holdsLease = false;
  const std::uint64_t lost = this->placementFence.exchange(0);
  if (lost != 0) {
    this->placement.withdrawReleases();
    this->shared.releasedFence = this->lease.releaseLocally().value_or(lost);
    this->shared.metrics.set("placement_lease_held", 0);
    this->shared.log.write(LogLine{ LogPart::Lease, "lost" }.with(
      "fence", static_cast<std::int64_t>(lost)));
  }
  return fleet_control::kPlacementInterval;
}

} // namespace poplartrack
