// Requests that crash replicas: detecting them, reporting them to the other
// relays, and keeping them in quarantine.

#include <algorithm>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** A crash up to this time after the request's first event counts as early, and
 * so does a crash before that event. */
constexpr Duration kEarlyCrashTime = std::chrono::milliseconds{ 1'000 };

/** Delay until a request in quarantine that was served before is tried once
 * more: by then crashed replicas have restarted. */
constexpr Duration kTrialDelay = std::chrono::seconds{ 5 };

/** Time between the trials of two relays for the same request. They take turns,
 * so that few replicas crash if the request is responsible. */
constexpr Duration kTrialInterval = std::chrono::seconds{ 5 };

/** Maximum number of crashes that a status message reports. */
constexpr std::size_t kMaxCrashRows = 64;

/** Maximum number of quarantine records that a status message reports, the
 * latest first. Older ones have been reported before, and the store keeps them.
 */
constexpr std::size_t kMaxQuarantineRows = 64;

} // namespace

/**
 * Records that the connection of the current attempt has ended. If the replica
 * turns out to have crashed, the request may be responsible. A draining replica
 * exits as planned and is left out. A replica that falls silent has more likely
 * lost its network, so its crash does not count as early.
 */
void
RelayLoop::Impl::recordPossibleCrash(Exchange& aExchange, ConnectionEnd aEnd)
{
  const bool draining = this->drainingSince.contains(aExchange.replica);
  if (draining || !this->mayHaveRun(aExchange)) {
    return;
  }
  const bool atStart = !aExchange.runningSince ||
                       this->now - *aExchange.runningSince < kEarlyCrashTime;
  const bool early = atStart && aEnd == ConnectionEnd::Closed;
  this->crashWatch.onBroken(
    CrashReport{ contentFingerprint(aExchange), aExchange.replica, early },
    this->now);
}

/**
 * Returns whether a replica has certainly exited or restarted: its restart has
 * been detected, it is not in the replica list, or two relays cannot reach it.
 * One relay is not enough, since it may be cut off itself, and requests that
 * break off then are not responsible.
 */
bool
RelayLoop::Impl::hasExited(const std::string& aReplica) const
{
  // With a count of 1, two reports are enough however many relays there are.
  constexpr std::size_t kRelayCount = 1;
  return this->restartedReplicas.contains(aReplica) ||
         this->replicaById(aReplica) == nullptr ||
         this->reports.lost(
           aReplica, this->health.dead(aReplica, this->now), kRelayCount);
}

/** Enters the crashes that are certain by now into the crash ledger. */
void
RelayLoop::Impl::confirmCrashes()
{
  for (const std::string& replica : this->crashWatch.replicas()) {
    const Replica* listed = this->replicaById(replica);
    if (listed != nullptr && listed->draining) {
      // A draining replica exits as planned.
      this->crashWatch.forget(replica);
      continue;
    }
    if (!this->hasExited(replica)) {
      continue;
    }
    for (const CrashReport& report :
         this->crashWatch.onCrashed(replica, this->recentlyServed, this->now)) {
      this->shared.metrics.count("requests_at_ended_replicas_total");
      if (this->crashes.onCrash(report, CrashSource::Own, this->now)) {
        this->beginQuarantine(report.request, true);
      }
    }
  }
  this->crashWatch.expire(this->now);
}

/** Handles that a request has been put into quarantine. aOwn: this relay itself
 * saw the crash that led to it. */
void
RelayLoop::Impl::beginQuarantine(const Fingerprint& aRequest, bool aOwn)
{
  this->shared.log.write(LogLine{ LogPart::Quarantine, "began" }
                           .with("content", toText(aRequest))
                           .with("own", aOwn ? 1 : 0));
  if (this->recentlyServed.lastServed(aRequest, this->now)) {
    const std::size_t earlier = this->trialRank(aRequest);
    this->crashes.allowTrial(aRequest,
                             this->now + kTrialDelay +
                               kTrialInterval * static_cast<int>(earlier));
  }
  this->publishQuarantine();
  // Deferred, because the caller may be a request that is choosing its path.
  this->post([this, aRequest, aOwn] {
    if (aOwn) {
      this->broadcastStatus(true);
    }
    this->stopQuarantined(aRequest);
  });
}

/** Returns this relay's position in the order of trials for the request. All
 * relays compute the same order. */
std::size_t
RelayLoop::Impl::trialRank(const Fingerprint& aRequest) const
{
  const auto rank = [&](const Address& aRelay) {
    return std::hash<std::string>{}(toText(aRelay) + toText(aRequest));
  };
  const std::size_t own = rank(this->localPeers);
  return static_cast<std::size_t>(std::count_if(
    this->knownPeers.begin(), this->knownPeers.end(), [&](const auto& aEntry) {
      return rank(aEntry.first) < own;
    }));
}

/** Ends the attempts of a request in quarantine that have no event yet. Those
 * with events have begun to run and continue. */
void
RelayLoop::Impl::stopQuarantined(const Fingerprint& aRequest)
{
  std::vector<std::uint64_t> pending;
  for (const auto& [id, exchange] : this->exchanges) {
    const bool running = exchange->runningSince.has_value();
    if (exchange->connection != 0 && !running &&
        contentFingerprint(*exchange) == aRequest) {
      pending.push_back(id);
    }
  }
  for (const std::uint64_t id : pending) {
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
      // It ended while an earlier request of this list was handled.
      continue;
    }
    Exchange& exchange = *found->second;
    this->dropAttempt(exchange, this->mayHaveRun(exchange));
    this->refuseQuarantined(exchange);
  }
}

/** Returns how long the request stays in quarantine, or nullopt if it is not in
 * quarantine. */
std::optional<Duration>
RelayLoop::Impl::quarantineLeft(Exchange& aExchange) const
{
  if (this->crashes.empty()) {
    return std::nullopt;
  }
  return this->crashes.quarantineLeft(contentFingerprint(aExchange), this->now);
}

/** Answers a request in quarantine with an error. */
void
RelayLoop::Impl::refuseQuarantined(Exchange& aExchange)
{
  this->refuse(
    aExchange,
    Error{ ErrorKind::Quarantined, toText(contentFingerprint(aExchange)) },
    aExchange.runs == 0);
}

/** Records that a replica completed the request, which ends its quarantine. */
void
RelayLoop::Impl::recordServed(Exchange& aExchange)
{
  const Fingerprint& request = contentFingerprint(aExchange);
  this->recentlyServed.onServed(request, this->now);
  if (this->crashes.onServed(request, this->now)) {
    this->endQuarantine(request);
  }
}

/** Handles that a request has been released from quarantine. */
void
RelayLoop::Impl::endQuarantine(const Fingerprint& aRequest)
{
  this->shared.log.write(LogLine{ LogPart::Quarantine, "released" }.with(
    "content", toText(aRequest)));
  this->publishQuarantine();
}

/** Passes the quarantine to the thread that keeps it in the store. */
void
RelayLoop::Impl::publishQuarantine()
{
  auto records = std::make_shared<const std::vector<QuarantineRecord>>(
    this->crashes.quarantine(this->now));
  this->shared.metrics.set("requests_quarantined",
                           static_cast<std::int64_t>(records->size()));
  this->shared.quarantine.replace(std::move(records));
}

/** Takes over the quarantine in the store, enters certain crashes and drops
 * expired records. */
void
RelayLoop::Impl::refreshQuarantine()
{
  const auto stored = this->shared.storedQuarantine.read();
  if (stored != this->lastStoredQuarantine) {
    this->lastStoredQuarantine = stored;
    for (const Fingerprint& request : *stored) {
      if (this->crashes.onQuarantined(request, Duration{ 0 }, this->now)) {
        this->beginQuarantine(request, false);
      }
    }
  }
  this->confirmCrashes();
  const std::size_t before = this->shared.quarantine.read()->size();
  this->crashes.expire(this->now);
  if (this->crashes.quarantine(this->now).size() != before) {
    this->publishQuarantine();
  }
}

/** Adds the crashes, the quarantine and the released requests to a status
 * message. */
void
RelayLoop::Impl::addCrashes(PeerStatus& aStatus) const
{
  for (CrashReport& report :
       this->crashes.latestCrashes(this->now, kMaxCrashRows)) {
    aStatus.crashes.push_back(
      CrashRow{ report.request, std::move(report.replica), report.early });
  }
  std::vector<QuarantineRecord> records = this->crashes.quarantine(this->now);
  std::sort(records.begin(),
            records.end(),
            [](const QuarantineRecord& aLeft, const QuarantineRecord& aRight) {
              return aLeft.age < aRight.age;
            });
  records.resize(std::min(records.size(), kMaxQuarantineRows));
  for (const QuarantineRecord& record : records) {
    aStatus.quarantine.push_back(
      QuarantineRow{ record.request, record.age.count() });
  }
  aStatus.served = this->crashes.latestServed(this->now);
}

/** Takes over the crashes, the quarantine and the released requests of another
 * relay. */
void
RelayLoop::Impl::onPeerCrashes(const PeerStatus& aStatus)
{
  for (const Fingerprint& request : aStatus.served) {
    if (this->crashes.onServed(request, this->now)) {
      this->endQuarantine(request);
    }
  }
  for (const CrashRow& row : aStatus.crashes) {
    const CrashReport report{ row.request, row.replica, row.early };
    if (this->crashes.onCrash(report, CrashSource::Peer, this->now)) {
      this->beginQuarantine(row.request, false);
    }
  }
  for (const QuarantineRow& row : aStatus.quarantine) {
    if (this->crashes.onQuarantined(
          row.request, Duration{ row.age }, this->now)) {
      this->beginQuarantine(row.request, false);
    }
  }
}

} // namespace poplartrack
