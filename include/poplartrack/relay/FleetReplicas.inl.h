#pragma once

// Follows the replica list: polls of the store, or updates of the relays that
// poll it.

#include <utility>
#include <vector>

namespace poplartrack {

template<FleetStoreLike Store>
void
FleetControl<Store>::publishReplicas()
{
  auto view = std::make_shared<const ReplicaView>(this->replicaList.view());
  this->shared.metrics.set("replicas_listed",
                           static_cast<std::int64_t>(view->replicas.size()));
  this->shared.replicas.replace(std::move(view));
}

template<FleetStoreLike Store>
void
FleetControl<Store>::publishListVersion()
{
  this->shared.listUncertain = this->entriesUncertain.load();
  this->shared.listVersion = this->replicaList.knownVersion();
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::followReplicas()
{
  if (!this->mayReadStore()) {
    return fleet_control::kJoinInterval;
  }
  std::uint64_t after = 0;
  {
    const std::scoped_lock lock{ this->listGuard };
    after = this->replicaList.knownVersion();
  }
  if (after > 0 && !this->shared.polls) {
    return this->applyPeerUpdates();
  }
  const Result<ReplicaPoll> poll =
    this->awaitsReplicaChanges
      ? this->store.awaitReplicas(
          after,
          this->pollSchedule().replicasWait(this->entriesUncertain,
                                            fleet_control::randomUnitValue()))
      : this->store.readReplicas(fleet_control::kInitialReadTimeout);
  this->shared.metrics.countStoreCall(this->awaitsReplicaChanges
                                        ? StoreCall::ReplicasPoll
                                        : StoreCall::ReplicasRead,
                                      poll ? poll.value().calls : 1);
  const TimePoint now = this->clock.now();
  const std::scoped_lock lock{ this->listGuard };
  this->shared.pollsFail = !poll && poll.error().kind != ErrorKind::NotFound;
  this->listPolledAt = now;
  if (!poll) {
    const bool wasAwaiting = std::exchange(this->awaitsReplicaChanges, false);
    if (poll.error().kind == ErrorKind::NotFound && wasAwaiting) {
      return Duration{ 0 };
    }
    this->replicaList.onUnreachable(now);
    if (this->replicasReachable.exchange(false)) {
      this->onStoreUnavailable("replicas", poll.error());
    }
    return this->pollSchedule().retryPause(this->replicasFailures++,
                                           fleet_control::randomUnitValue());
  }
  this->replicasFailures = 0;
  if (!this->replicasReachable.exchange(true)) {
    this->onStoreAvailable("replicas");
  }
  this->awaitsReplicaChanges = true;
  // A store reader does not need the updates of its peers.
  this->shared.listInbox.take();
  // Peers know only the versions of polls with changes. If a delta began where
  // the latest poll ended, each one after a poll without changes would look as
  // if one before it were missing, and all relays of the zone would read the
  // whole list.
  const std::uint64_t unchangedSince =
    std::min(after, this->replicaList.unchangedSince());
  this->applyReplicaPoll(poll.value(), now);
  const bool unchanged = poll.value().present.empty() &&
                         poll.value().removed.empty() &&
                         poll.value().unreadable.empty();
  if (!unchanged && !poll.value().fullSnapshot && this->shared.sendListDelta) {
    this->shared.sendListDelta(
      ReplicaListDelta{ unchangedSince, poll.value() });
  }
  return unchanged ? Duration{ 0 } : this->batchDelay();
}

// Updates with a gap to the known version are ignored: catchUpReplicas() reads
// the list when peers have reported their version for a while.
template<FleetStoreLike Store>
Duration
FleetControl<Store>::applyPeerUpdates()
{
  const TimePoint now = this->clock.now();
  const std::scoped_lock lock{ this->listGuard };
  if (now - this->listPolledAt >= fleet_control::kPollFailureCooldown) {
    this->shared.pollsFail = false;
  }
  const TimePoint outage{ Duration{ this->shared.peersSawOutageAt.load() } };
  if (outage > this->peerOutageAt) {
    // During an outage, entries expire in the store although their replicas
    // still run. Entries that vanish now may come back.
    this->peerOutageAt = outage;
    this->inPeerOutage = true;
    this->replicaList.onUnreachable(outage);
  } else if (this->inPeerOutage &&
             now - outage >= fleet_control::kOutageTimeout) {
    // The outage is over. Entries that vanish from now on belong to replicas
    // that drain and take no more work.
    this->inPeerOutage = false;
    ReplicaPoll emptyPoll;
    emptyPoll.next = this->replicaList.knownVersion();
    this->replicaList.onPoll(emptyPoll, now);
  }
  for (const ReplicaListDelta& delta : this->shared.listInbox.take()) {
    const bool contiguous = delta.after <= this->replicaList.knownVersion();
    if (contiguous && delta.poll.next > this->replicaList.knownVersion()) {
      this->applyReplicaPoll(delta.poll, now);
    }
  }
  return fleet_control::kPeerUpdateInterval;
}

template<FleetStoreLike Store>
void
FleetControl<Store>::applyReplicaPoll(const ReplicaPoll& aPoll, TimePoint aNow)
{
  this->logUnreadable(aPoll.unreadable);
  const std::uint64_t known = this->replicaList.knownVersion();
  if (known != 0 && epochOf(aPoll.next) > epochOf(known)) {
    this->shared.metrics.count("store_restores_total");
    this->shared.log.write(
      LogLine{ LogPart::Store, "restored" }
        .with("epoch", static_cast<std::int64_t>(epochOf(aPoll.next)))
        .with("version", static_cast<std::int64_t>(countOf(aPoll.next)))
        .with("before", static_cast<std::int64_t>(countOf(known))));
  }
  this->replicaList.onPoll(aPoll, aNow);
  const bool expired = this->replicaList.expire(aNow);
  this->entriesUncertain = this->replicaList.uncertain();
  const bool changed = !aPoll.present.empty() || !aPoll.removed.empty() ||
                       !aPoll.unreadable.empty() || aPoll.fullSnapshot;
  if (changed) {
    this->shared.log.write(
      LogLine{ LogPart::Replicas, "listed" }
        .with("version", static_cast<std::int64_t>(countOf(aPoll.next)))
        .with("changed", static_cast<std::int64_t>(aPoll.present.size()))
        .with("gone", static_cast<std::int64_t>(aPoll.removed.size()))
        .with("all", static_cast<std::int64_t>(this->replicaList.size())));
  }
  if (changed || expired) {
    this->publishReplicas();
  }
  this->publishListVersion();
}

// Logs each entry once for each reason, since a whole read returns all unusable
// entries again.
template<FleetStoreLike Store>
void
FleetControl<Store>::logUnreadable(const std::vector<UnreadableEntry>& aEntries)
{
  for (const UnreadableEntry& entry : aEntries) {
    std::string& loggedReason = this->loggedUnreadable[entry.name];
    if (loggedReason == entry.reason) {
      continue;
    }
    loggedReason = entry.reason;
    this->shared.metrics.count("replica_entries_unreadable_total");
    this->shared.log.write(LogLine{ LogPart::Replicas, "unreadable" }
                             .with("entry", entry.name)
                             .with("reason", entry.reason));
  }
}

// A poll of the list drops expired entries when it ends, but it may take up to
// ten seconds. Entries that another thread found missing meanwhile are dropped
// here in time.
template<FleetStoreLike Store>
void
FleetControl<Store>::removeExpiredReplicas()
{
  const std::scoped_lock lock{ this->listGuard };
  if (this->entriesUncertain && this->replicaList.expire(this->clock.now())) {
    this->entriesUncertain = this->replicaList.uncertain();
    this->publishReplicas();
    this->publishListVersion();
  }
}

} // namespace poplartrack
