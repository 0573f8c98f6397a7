#pragma once

// The threads of FleetControl, housekeeping, and following the configuration.

#include <utility>

#include "poplartrack/base/RequestId.h"

namespace poplartrack {
namespace fleet_control {

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

/** Returns a random value in [0, 1). */
inline double
randomUnitValue()
{
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(randomRequestId().low % kSteps) / kSteps;
}

} // namespace fleet_control

template<FleetStoreLike Store>
FleetControl<Store>::FleetControl(const RelaySettings& aSettings,
                                  RelayShared& aShared,
                                  Store& aStore,
                                  SendLayerOrder aSendOrder,
                                  FetchSnapshot aFetchSnapshot,
                                  JoinLimits aJoinLimits)
  : settings(aSettings)
  , shared(aShared)
  , store(aStore)
  , leaseStore(aStore, aShared.metrics, StoreCall::Lease, StoreCall::Lease)
  , lease(this->leaseStore,
          this->clock,
          fleet_control::leaseSettings(aSettings))
  , fetchSnapshot(std::move(aFetchSnapshot))
  , joinLimits(aJoinLimits)
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

// An unreadable configuration may revoke keys or add routes that need one.
// Until a readable one follows, the relay doesn't count as having the newest:
// polls that report no change prove nothing, and requests are refused once the
// last proof is too old.
template<FleetStoreLike Store>
void
FleetControl<Store>::trackUnreadable(const ConfigPoll& aPoll)
{
  if (!aPoll.unreadable.empty()) {
    this->shared.metrics.count("configs_unreadable_total");
    this->shared.log.write(
      LogLine{ LogPart::Config, "unreadable" }
        .with("reason", aPoll.unreadable.back())
        .with("store_version", static_cast<std::int64_t>(aPoll.next)));
    this->unreadableAt = std::max(this->unreadableAt.value_or(0), aPoll.next);
  } else if (aPoll.config && aPoll.next >= this->unreadableAt.value_or(0)) {
    this->unreadableAt.reset();
  }
  this->shared.metrics.set("config_unreadable", this->unreadableAt ? 1 : 0);
}

template<FleetStoreLike Store>
void
FleetControl<Store>::reportInForce(const RelayConfig& aConfig)
{
  const auto keys = static_cast<std::int64_t>(aConfig.keys.size());
  const std::int64_t required = aConfig.requiresKeys() ? 1 : 0;
  const bool partial = aConfig.accountList == AccountList::Partial;
  this->shared.metrics.set("config_version",
                           static_cast<std::int64_t>(aConfig.version));
  this->shared.metrics.set("config_keys", keys);
  this->shared.metrics.set("config_keys_required", required);
  this->shared.metrics.set("config_accounts_partial", partial ? 1 : 0);
  this->shared.log.write(
    LogLine{ LogPart::Config, "in_force" }
      .with("version", static_cast<std::int64_t>(aConfig.version))
      .with("keys", keys)
      .with("keys_required", required)
      .with("accounts", nameOf(aConfig.accountList)));
}

template<FleetStoreLike Store>
void
FleetControl<Store>::applyConfig(const ConfigPoll& aPoll)
{
  const std::scoped_lock lock{ this->configGuard };
  this->trackUnreadable(aPoll);
  const auto current = this->shared.config.read();
  // An older version than the one in force is never applied: it would restore a
  // key or a route that has been removed.
  if (aPoll.config &&
      (current == nullptr || aPoll.config->version > current->version)) {
    this->shared.config.replace(aPoll.config);
    this->reportInForce(*aPoll.config);
  }
  // After a restore from an older copy, the store may lack a configuration that
  // another relay has and that has removed a key.
  const auto inForce = this->shared.config.read();
  const bool newest =
    inForce != nullptr && inForce->version >= this->shared.peerConfigVersion;
  if (!this->unreadableAt && newest) {
    this->shared.freshness.prove(aPoll.asOf);
  }
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

} // namespace poplartrack
