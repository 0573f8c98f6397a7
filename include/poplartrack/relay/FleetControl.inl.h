#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "poplartrack/base/RequestId.h"

namespace poplartrack {
namespace fleet_control {

/** A leader that was heard this lately renews its lease: nobody else looks at
 * the row, but for now and then. */
constexpr Duration kLeaderSilence = std::chrono::milliseconds{ 1'000 };
constexpr Duration kLeasePollInterval = std::chrono::seconds{ 20 };

/** Longest time for a whole read where nothing is known yet. Slow stores were
 * declared to take 300 ms. */
constexpr Duration kFirstRead = std::chrono::milliseconds{ 1'500 };

/** Pause of a relay that does not look at the store between two looks at what
 * others told it. */
constexpr Duration kHearPause = std::chrono::milliseconds{ 100 };

/** A relay whose look failed is not asked to look for this long: the store may
 * turn it alone away. After that it may be asked again, or a zone would run out
 * of relays to ask. */
constexpr Duration kFailureCounts = std::chrono::seconds{ 5 };

/** Pause between two rounds of duties. */
constexpr Duration kLeaseThreadPause = std::chrono::milliseconds{ 250 };

/** Pause between two looks at what is held: a lost part is noticed by the
 * streams through it after some 300 ms, and should not wait for long then. */
constexpr Duration kPlacePause = std::chrono::milliseconds{ 100 };

/** A number in [0, 1). */
inline double
draw()
{
  constexpr std::uint64_t kSteps = 1U << 20U;
  return static_cast<double>(randomRequestId().low % kSteps) / kSteps;
}

inline LeaseSettings
leaseSettings(const RelaySettings& aSettings)
{
  LeaseSettings lease;
  lease.name = "placement/" + aSettings.region;
  lease.holder = aSettings.name + "/" + toText(randomRequestId());
  // Placement must not pause for long when its holder dies: a lost layer is
  // refused work until it is held again. It is taken over after 3 to 4 s. The
  // others look only while the holder is not heard.
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
                                  PlaceOrder aPlace)
  : settings(aSettings)
  , shared(aShared)
  , store(aStore)
  , lease(aStore, this->clock, fleet_control::leaseSettings(aSettings))
  , placement(aShared, std::move(aPlace))
  , directory(this->settings, aShared, aStore)
  , quarantine(aShared, aStore)
  , configThread([this] { return this->followConfig(); })
  , replicasThread([this] { return this->followReplicas(); })
  , configCatchUpThread([this] { return this->catchUpConfig(); })
  , replicasCatchUpThread([this] { return this->catchUpReplicas(); })
  , leaseThread([this] { return this->runLease(); })
  , placeThread([this] { return this->place(); })
{
}

template<FleetStoreLike Store>
void
FleetControl<Store>::leave()
{
  this->leaving = true;
  // Told for the whole grace time, "leads" kept every other relay from looking
  // at a lease that had been given back: nobody placed anything for 9 s.
  this->shared.holdsLease = false;
  this->shared.releasedFence = this->leading.exchange(0);
  this->lease.release();
}

template<FleetStoreLike Store>
void
FleetControl<Store>::onStoreFailure(const char* aWhat, const Error& aError)
{
  this->shared.metrics.countRetry(RetryReason::PlatformUnavailable);
  this->shared.log.write(LogLine{ LogPart::Store, "lost" }
                           .with("what", aWhat)
                           .with("reason", describe(aError)));
}

template<FleetStoreLike Store>
void
FleetControl<Store>::onStoreAnswer(const char* aWhat)
{
  this->shared.log.write(
    LogLine{ LogPart::Store, "regained" }.with("what", aWhat));
}

template<FleetStoreLike Store>
StorePollSchedule
FleetControl<Store>::pace() const
{
  return StorePollSchedule{ this->shared.storeReaders };
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::gatherPause() const
{
  return StorePollSchedule::gatherPause(this->shared.called ||
                                        this->leading != 0);
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::followConfig()
{
  const bool known = this->shared.config.read() != nullptr;
  if (known && !this->shared.polls) {
    return fleet_control::kHearPause;
  }
  const Result<ConfigPoll> poll =
    this->configStarted
      ? this->store.awaitConfig(this->configAfter,
                                this->pace().configWait(fleet_control::draw()))
      : this->store.readConfig(fleet_control::kFirstRead);
  this->onConfigAnswer(poll);
  if (!poll) {
    // History that is gone is no outage: the whole is read at once.
    const bool read = std::exchange(this->configStarted, false);
    if (poll.error().kind == ErrorKind::NotFound && read) {
      return Duration{ 0 };
    }
    return this->pace().retryPause(this->configFailures++,
                                   fleet_control::draw());
  }
  this->configFailures = 0;
  this->configAfter = poll.value().next;
  // Also where there is no configuration yet: it is a change like others. Read
  // again and again until the operator wrote the first one, it took 85 calls a
  // relay, half of all in the first 30 s.
  this->configStarted = true;
  return poll.value().config ? this->gatherPause() : Duration{ 0 };
}

/** Takes over what a look at the configuration brought, or that it failed. */
template<FleetStoreLike Store>
void
FleetControl<Store>::onConfigAnswer(const Result<ConfigPoll>& aPoll)
{
  const bool gone = !aPoll && aPoll.error().kind == ErrorKind::NotFound;
  if (gone) {
    return;
  }
  this->shared.storeFails = !aPoll;
  if (!aPoll) {
    if (this->configReachable.exchange(false)) {
      this->onStoreFailure("config", aPoll.error());
    }
    return;
  }
  if (!this->configReachable.exchange(true)) {
    this->onStoreAnswer("config");
  }
  this->onConfig(aPoll.value());
}

template<FleetStoreLike Store>
void
FleetControl<Store>::onConfig(const ConfigPoll& aPoll)
{
  for (const std::string& problem : aPoll.unreadable) {
    this->shared.log.write(
      LogLine{ LogPart::Config, "unreadable" }.with("reason", problem));
  }
  const std::scoped_lock lock{ this->configGuard };
  const auto current = this->shared.config.read();
  // An older version than the one in force is never taken: it would bring
  // back a key or a route that had been taken away.
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
  const bool known = current != nullptr || aPoll.config != nullptr;
  if (aPoll.unreadable.empty() && known) {
    this->shared.freshness.prove(aPoll.asOf);
  }
}

template<FleetStoreLike Store>
void
FleetControl<Store>::publishReplicas()
{
  auto view = std::make_shared<const ReplicaView>(this->list.view());
  this->shared.metrics.set("replicas_listed",
                           static_cast<std::int64_t>(view->replicas.size()));
  this->shared.replicas.replace(std::move(view));
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::followReplicas()
{
  std::uint64_t after = 0;
  {
    const std::scoped_lock lock{ this->listGuard };
    after = this->list.known();
  }
  if (after > 0 && !this->shared.polls) {
    return this->applyPeerDeltas();
  }
  const Result<ReplicaPoll> poll =
    this->replicasStarted
      ? this->store.awaitReplicas(
          after,
          this->pace().replicasWait(this->uncertain, fleet_control::draw()))
      : this->store.readReplicas(fleet_control::kFirstRead);
  const TimePoint now = this->clock.now();
  const std::scoped_lock lock{ this->listGuard };
  this->shared.pollsFail = !poll && poll.error().kind != ErrorKind::NotFound;
  this->polledAt = now;
  if (!poll) {
    const bool read = std::exchange(this->replicasStarted, false);
    if (poll.error().kind == ErrorKind::NotFound && read) {
      return Duration{ 0 };
    }
    this->list.onUnreachable(now);
    if (this->replicasReachable.exchange(false)) {
      this->onStoreFailure("replicas", poll.error());
    }
    return this->pace().retryPause(this->replicasFailures++,
                                   fleet_control::draw());
  }
  this->replicasFailures = 0;
  if (!this->replicasReachable.exchange(true)) {
    this->onStoreAnswer("replicas");
  }
  this->replicasStarted = true;
  this->shared.listInbox.take();
  this->onReplicas(poll.value(), now);
  const bool quiet =
    poll.value().present.empty() && poll.value().removed.empty();
  if (!quiet && !poll.value().whole && this->shared.sendListDelta) {
    this->shared.sendListDelta(ReplicaListDelta{ after, poll.value() });
  }
  return quiet ? Duration{ 0 } : this->gatherPause();
}

/** Takes over what relays that look at the store tell of the list. News that do
 * not join what is known are left: the list is read when their version is heard
 * of for a while. */
template<FleetStoreLike Store>
Duration
FleetControl<Store>::applyPeerDeltas()
{
  const TimePoint now = this->clock.now();
  const std::scoped_lock lock{ this->listGuard };
  if (now - this->polledAt >= fleet_control::kFailureCounts) {
    this->shared.pollsFail = false;
  }
  const TimePoint outage{ Duration{ this->shared.peersSawOutageAt.load() } };
  if (outage > this->outageSeen) {
    // Entries lapse while the store is away: what vanishes now may come back.
    this->outageSeen = outage;
    this->outageOpen = true;
    this->list.onUnreachable(outage);
  } else if (this->outageOpen && now - outage >= fleet_control::kOutageLasts) {
    // It is over: what vanishes from now on leaves, and takes no more work.
    this->outageOpen = false;
    ReplicaPoll nothing;
    nothing.next = this->list.known();
    this->list.onPoll(nothing, now);
  }
  for (const ReplicaListDelta& delta : this->shared.listInbox.take()) {
    const bool joins = delta.after <= this->list.known();
    if (joins && delta.poll.next > this->list.known()) {
      this->onReplicas(delta.poll, now);
    }
  }
  return fleet_control::kHearPause;
}

/** Takes an answer about the replicas over; the list's guard is held. */
template<FleetStoreLike Store>
void
FleetControl<Store>::onReplicas(const ReplicaPoll& aPoll, TimePoint aNow)
{
  this->logUnreadable(aPoll.unreadable);
  this->list.onPoll(aPoll, aNow);
  const bool expired = this->list.expire(aNow);
  this->uncertain = this->list.uncertain();
  const bool changed = !aPoll.present.empty() || !aPoll.removed.empty() ||
                       !aPoll.unreadable.empty() || aPoll.whole;
  if (changed) {
    this->shared.log.write(
      LogLine{ LogPart::Replicas, "listed" }
        .with("version", static_cast<std::int64_t>(aPoll.next))
        .with("changed", static_cast<std::int64_t>(aPoll.present.size()))
        .with("gone", static_cast<std::int64_t>(aPoll.removed.size()))
        .with("all", static_cast<std::int64_t>(this->list.size())));
  }
  if (changed || expired) {
    this->publishReplicas();
  }
}

/** Says once of each entry that it names no replica to use, and why. A whole
 * read brings all of them again. */
template<FleetStoreLike Store>
void
FleetControl<Store>::logUnreadable(const std::vector<UnreadableEntry>& aEntries)
{
  for (const UnreadableEntry& entry : aEntries) {
    std::string& known = this->unreadable[entry.name];
    if (known == entry.reason) {
      continue;
    }
    known = entry.reason;
    this->shared.metrics.count("replica_entries_unreadable_total");
    this->shared.log.write(LogLine{ LogPart::Replicas, "unreadable" }
                             .with("entry", entry.name)
                             .with("reason", entry.reason));
  }
}

/** Contends for the lease, or renews it. While its holder is heard there is
 * nothing to contend for; one that says that it gave up is not waited for. */
template<FleetStoreLike Store>
void
FleetControl<Store>::pollLease()
{
  const TimePoint now = this->clock.now();
  const TimePoint heard{ Duration{ this->shared.leaderSeenAt.load() } };
  const bool led = now - heard < fleet_control::kLeaderSilence;
  // The two other threads look again soon; asked by each relay too, the lease
  // was 200 calls for nothing in 8 s without the store, 24 relays.
  const bool away = !this->configReachable && !this->replicasReachable;
  if ((away || !this->shared.polls) && this->leading == 0) {
    return;
  }
  if (led && this->leading == 0 &&
      now - this->leasePolledAt < fleet_control::kLeasePollInterval) {
    return;
  }
  this->lease.onReleased(this->shared.peerReleasedFence);
  this->leasePolledAt = now;
  this->lease.poll();
}

/** Drops entries that stayed away after an outage. The look that is under way
 * may wait for ten seconds more before it decides on those that another thread
 * found missing. */
template<FleetStoreLike Store>
void
FleetControl<Store>::dropLapsed()
{
  const std::scoped_lock lock{ this->listGuard };
  if (this->uncertain && this->list.expire(this->clock.now())) {
    this->uncertain = this->list.uncertain();
    this->publishReplicas();
  }
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::runLease()
{
  if (!this->leaving) {
    this->dropLapsed();
    this->pollLease();
    this->directory.refresh(this->clock.now());
    this->quarantine.refresh(this->clock.now());
  }
  return fleet_control::kLeaseThreadPause;
}

/** Places layers while the lease is held; tells the others when it no longer
 * is. A store that turns only this relay away would else keep all of them from
 * placing until the row's time is up for them too: 3 s in which what is lost
 * stays lost. */
template<FleetStoreLike Store>
Duration
FleetControl<Store>::place()
{
  if (this->leaving) {
    this->shared.holdsLease = false;
    return fleet_control::kPlacePause;
  }
  const std::optional<HeldLease> held = this->lease.held();
  if (held) {
    if (this->leading.exchange(held->fence) != held->fence) {
      this->shared.metrics.set("placement_lease_held", 1);
      this->shared.log.write(LogLine{ LogPart::Lease, "taken" }.with(
        "fence", static_cast<std::int64_t>(held->fence)));
    }
    this->shared.holdsLease = true;
    this->placement.run(held->fence, this->clock.now());
    return fleet_control::kPlacePause;
  }
  this->shared.holdsLease = false;
  const std::uint64_t lost = this->leading.exchange(0);
  if (lost != 0) {
    this->shared.releasedFence = this->lease.releaseLocally().value_or(lost);
    this->shared.metrics.set("placement_lease_held", 0);
    this->shared.log.write(LogLine{ LogPart::Lease, "lost" }.with(
      "fence", static_cast<std::int64_t>(lost)));
  }
  return fleet_control::kPlacePause;
}

} // namespace poplartrack
