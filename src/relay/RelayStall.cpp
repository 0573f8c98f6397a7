// Stalled attempts: when to request reports from replicas, and how to act on
// the reports.

#include <algorithm>
#include <set>

#include "ExchangeProgress.h"
#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** An attempt counts as stalled after this many times the expected time without
 * progress. Prefill of other requests makes a step two or three times as long.
 */
constexpr int kStallFactor = 3;

/** Bounds of the stall timeout. A stream that continues within 200 to 250 ms of
 * its last event is still on time, and a report costs one probe: 1 in 1,400,000
 * of the value of a day's traffic. */
constexpr Duration kMinStallTimeout = std::chrono::milliseconds{ 100 };
constexpr Duration kMaxStallTimeout = std::chrono::milliseconds{ 900 };

/** Stall factor and lower bound for an attempt through a replica that is known
 * to be lost. Such an attempt is moved when it stalls. Other relays may report
 * the loss before this one notices it. */
constexpr int kLostPathStallFactor = 2;
constexpr Duration kMinLostPathStallTimeout = std::chrono::milliseconds{ 60 };

/** Minimum time between two report requests to a stalled stream's first
 * replica. One report serves all its streams. A report is 200 ms old, so the
 * next one may show a stall that the first one doesn't. */
constexpr Duration kMinReportInterval = std::chrono::milliseconds{ 90 };

/** The same for the other replicas of a stalled stream's path, and for slow
 * replicas: a replica stays slow for seconds, and each report is a call that
 * has a price. */
constexpr Duration kMinPathReportInterval = std::chrono::milliseconds{ 1'000 };

/** Reports are requested repeatedly while a replica is this many times slower
 * than declared. */
constexpr double kSlowFactor = 1.2;

} // namespace

/** Returns how long the current attempt may go without progress before the next
 * action on its stall. */
Duration
RelayLoop::Impl::stallTimeoutOf(const Exchange& aExchange) const
{
  const bool hasEvents = aExchange.streaming && aExchange.events > 0;
  const Duration expected =
    hasEvents
      ? aExchange.path.perToken * kTokensPerEvent
      : aExchange.path.firstToken + aExchange.path.perToken * kTokensPerEvent;
  if (this->usesLostReplica(aExchange)) {
    return aExchange.overdue ? kMoveRetryDelay
                             : std::clamp(expected * kLostPathStallFactor,
                                          kMinLostPathStallTimeout,
                                          kMaxStallTimeout);
  }
  if (aExchange.overdue) {
    return kMinReportInterval;
  }
  return std::clamp(
    expected * kStallFactor, kMinStallTimeout, kMaxStallTimeout);
}

/** Returns whether the path includes a replica that is certainly lost and not
 * merely slow. With loss probes, a replica that this relay cannot reach is lost
 * for its own streams. */
bool
RelayLoop::Impl::usesLostReplica(const Exchange& aExchange) const
{
  const auto lost = this->shared.lostReplicas.read();
  const auto& parts = aExchange.path.parts;
  return !lost->empty() &&
         std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
           const auto found = lost->find(aPart.replica);
           return found != lost->end() &&
                  (found->second || this->settings.load.lossProbes) &&
                  this->slowdownOf(aPart.replica) < kDegradedSlowdown;
         });
}

/** Shortens the stall timers of streams through a replica that was newly
 * reported as lost. Streams that still make progress are not moved, since only
 * the network between this replica and others may be lost. */
void
RelayLoop::Impl::rearmStallTimers(const std::string& aReplica)
{
  for (const std::uint64_t id : this->requestsThrough(aReplica)) {
    this->armExchange(*this->exchanges.at(id));
  }
}

/** Handles a stalled attempt: moves it if a replica of its path is known to be
 * lost, else requests a report from its first replica. */
void
RelayLoop::Impl::onStallTimeout(Exchange& aExchange)
{
  const std::uint64_t id = aExchange.id;
  aExchange.overdue = true;
  aExchange.overdueHandledAt = this->now;
  if (this->usesLostReplica(aExchange)) {
    this->repair(aExchange, false);
  } else {
    this->requestReport(aExchange.path.parts.front(), kMinReportInterval);
  }
  const auto entry = this->exchanges.find(id);
  if (entry != this->exchanges.end() && entry->second->connection != 0) {
    this->armExchange(*entry->second);
  }
}

/** Requests a status report from a replica, unless the last request was less
 * than aMinInterval ago or the replica takes no calls for now. Returns whether
 * the request was sent. */
bool
RelayLoop::Impl::requestReport(const PathPart& aPart, Duration aMinInterval)
{
  if (this->isBackingOff(aPart.replica)) {
    return false;
  }
  const auto lastRequest = this->reportRequestedAt.find(aPart.replica);
  if (lastRequest != this->reportRequestedAt.end() &&
      this->now - lastRequest->second < aMinInterval) {
    return false;
  }
  this->reportRequestedAt[aPart.replica] = this->now;
  this->shared.metrics.count("replica_questions_total");
  this->calls.queryStatus(aPart.address,
                          [this, replica = aPart.replica, askedAt = this->now](
                            const ReplicaReport& aReport) {
                            this->post([this, replica, aReport, askedAt] {
                              this->onReport(replica, aReport, askedAt);
                            });
                          });
  return true;
}

/** Requests reports from all replicas on the path of one stalled stream whose
 * path begins at aFirst. That replica reported no stalled work, so another
 * replica of the path may be slow, and only its own report shows this. */
void
RelayLoop::Impl::requestPathReports(const std::string& aFirst)
{
  for (const auto& [id, exchange] : this->exchanges) {
    const auto& parts = exchange->path.parts;
    if (!exchange->overdue || parts.empty() ||
        parts.front().replica != aFirst) {
      continue;
    }
    for (const PathPart& part : parts) {
      this->requestReport(part, kMinPathReportInterval);
    }
    return;
  }
}

/** Requests reports from slow replicas, to detect when they are fast again. */
void
RelayLoop::Impl::requestSlowReplicaReports()
{
  for (const Replica& replica : this->view->replicas) {
    if (this->health.slowdown(replica.id) > kSlowFactor) {
      this->requestReport(PathPart{ replica.id, replica.address, {} },
                          kMinPathReportInterval);
    }
  }
}

/** Handles a replica's report to a query that was sent at aAskedAt, or its
 * failure to report: updates the replica's health, and moves the work that is
 * blocked on a stalled or lost replica. */
void
RelayLoop::Impl::onReport(const std::string& aReplica,
                          const ReplicaReport& aReport,
                          TimePoint aAskedAt)
{
  const bool recheck = this->lossProbeState.rechecked.erase(aReplica) > 0;
  const bool outageProbe =
    this->outageProbeState.unanswered.erase(aReplica) > 0;
  if (aReport.overLimit) {
    this->countExcess(AnswerExcess::Report, aReplica, "");
  }
  if (!aReport.reached) {
    if (aReport.exited) {
      this->crashState.exited.insert(aReplica);
    }
    if (recheck && this->health.dead(aReplica, this->now)) {
      this->onMissingRecheck(aReplica, aReport, aAskedAt);
    } else {
      this->onMissingReport(aReplica, aReport, outageProbe);
    }
    return;
  }
  this->crashState.exited.erase(aReplica);
  this->recordReportAnswer(aReplica);
  if (aReport.rejected) {
    return;
  }
  const Replica* listed = this->replicaById(aReplica);
  if (listed != nullptr && listed->startedAtMs != 0 &&
      aReport.startedAtMs != 0 && listed->startedAtMs != aReport.startedAtMs) {
    // It has restarted, and the replica list does not show this yet.
    this->endIncarnation(aReplica);
    return;
  }
  this->onAlive(aReplica, aAskedAt);
  // Work at a slow replica is not moved. Moving hundreds of streams at once
  // would occupy the zone links for longer than the slow replica delays them.
  this->health.onSlowdown(aReplica, aReport.slowdown);
  if (aReport.stalled.empty()) {
    this->requestPathReports(aReplica);
    return;
  }
  this->moveBlockedWork(aReplica, aReport.stalled);
}

/** Handles a replica that has not answered a status query. aOutageProbe: it was
 * asked only because the store is unavailable. */
void
RelayLoop::Impl::onMissingReport(const std::string& aReplica,
                                 const ReplicaReport& aReport,
                                 bool aOutageProbe)
{
  if (aOutageProbe && !aReport.refused) {
    // It accepted the connection, so it is busy. Moving its layers would cost
    // more than waiting.
    return;
  }
  if (this->hasRecentProgress(aReplica) && !this->ownLink.isSlow(this->now)) {
    // The replica is too busy to report in time, but its streams make progress.
    // Treating it as dead would use up an attempt of each of them.
    this->health.onSlowdown(aReplica, kDegradedSlowdown);
    return;
  }
  if (this->mayDeclareLost(aReplica, aOutageProbe)) {
    this->shared.log.write(LogLine{ LogPart::Replicas, "unreached" }
                             .with("replica", aReplica)
                             .with("connected", aReport.refused ? 0 : 1));
    this->onUnreachableReplica(aReplica,
                               aReport.exited ? ReplicaFailure::Exited
                                              : ReplicaFailure::Unreachable);
  }
}

/** Moves the requests off the replicas that a report names as the cause of
 * stalled work. */
void
RelayLoop::Impl::moveBlockedWork(const std::string& aReporter,
                                 const std::vector<StalledWork>& aStalled)
{
  std::set<std::string> blockedOn;
  for (const StalledWork& work : aStalled) {
    if (const Replica* replica = this->replicaByAddress(work.blockedOn)) {
      blockedOn.insert(replica->id);
    }
  }
  for (const std::string& replica : blockedOn) {
    this->shared.log.write(LogLine{ LogPart::Replicas, "blocks" }
                             .with("replica", replica)
                             .with("reported_by", aReporter));
    this->health.onFailure(replica, ReplicaFailure::Stalled, this->now);
    this->onFaultyReplica(replica);
  }
}

/** Handles a replica that this relay cannot reach: moves its streams. */
void
RelayLoop::Impl::onUnreachableReplica(const std::string& aReplica,
                                      ReplicaFailure aFailure)
{
  this->health.onSlowdown(aReplica, 1);
  this->health.onFailure(aReplica, aFailure, this->now);
  this->onFaultyReplica(aReplica);
  if (this->settings.load.lossProbes) {
    // Streams that have no other path yet are moved when there is one.
    this->rearmStallTimers(aReplica);
  }
}

/** Returns whether a stream whose path begins at this replica has made progress
 * since the last report request. With loss probes, which ask every replica of a
 * path, the replica may be any part of the path. */
bool
RelayLoop::Impl::hasRecentProgress(const std::string& aReplica) const
{
  const auto lastRequest = this->reportRequestedAt.find(aReplica);
  if (lastRequest == this->reportRequestedAt.end()) {
    return false;
  }
  const TimePoint since = lastRequest->second;
  if (this->settings.load.lossProbes) {
    const std::vector<std::uint64_t> through = this->requestsThrough(aReplica);
    return std::any_of(through.begin(), through.end(), [&](std::uint64_t aId) {
      const StreamProgress progress = progressOf(*this->exchanges.at(aId));
      return progress.running && progress.lastEvent > since;
    });
  }
  return std::any_of(
    this->exchanges.begin(), this->exchanges.end(), [&](const auto& aEntry) {
      const Exchange& exchange = *aEntry.second;
      return exchange.replica == aReplica && exchange.connection != 0 &&
             exchange.events > 0 && exchange.lastProgress > since;
    });
}

} // namespace poplartrack
