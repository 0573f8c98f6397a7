// Loss probes: which replicas on the paths of late streams are asked whether
// they are alive.

#include <algorithm>

#include "ExchangeProgress.h"
#include "LoopKeys.h"
#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Minimum time between two checks of all streams. Streams that become late one
 * after the other share a check. */
constexpr Duration kMinCheckInterval = std::chrono::milliseconds{ 5 };

} // namespace

/** Returns when the stream is late unless an event arrives before; nothing if
 * that has led to a check already, or if there are no loss probes. */
std::optional<TimePoint>
RelayLoop::Impl::lateAt(const Exchange& aExchange) const
{
  if (!this->settings.load.lossProbes || aExchange.path.parts.empty()) {
    return std::nullopt;
  }
  const StreamProgress progress = progressOf(aExchange);
  if (aExchange.checkedFor == progress.lastEvent) {
    return std::nullopt;
  }
  return progress.lastEvent + StallSuspects::lateAfter(progress.expectedGap);
}

/** Schedules a check of all streams if the stream is late. */
void
RelayLoop::Impl::checkIfLate(Exchange& aExchange)
{
  const std::optional<TimePoint> late = this->lateAt(aExchange);
  if (late && this->now >= *late) {
    aExchange.checkedFor = progressOf(aExchange).lastEvent;
    this->scheduleLossCheck(this->now);
  }
}

/** Schedules a check of all streams, unless one is due before. */
void
RelayLoop::Impl::scheduleLossCheck(TimePoint aAt)
{
  if (!this->settings.load.lossProbes) {
    return;
  }
  const TimePoint at =
    std::max(aAt, this->lossProbeState.checkedAt + kMinCheckInterval);
  if (!this->lossProbeState.checkDue || at < *this->lossProbeState.checkDue) {
    this->lossProbeState.checkDue = at;
    this->timers.arm(kLossCheckTimerKey, at);
  }
}

/** Returns the progress of the streams whose path has no replica that is known
 * to be lost. The others are being moved already. */
std::vector<StreamProgress>
RelayLoop::Impl::streamsToCheck() const
{
  const std::set<std::string> dead = this->health.deadReplicas(this->now);
  std::vector<StreamProgress> streams;
  streams.reserve(this->exchanges.size());
  for (const auto& [id, exchange] : this->exchanges) {
    const auto& parts = exchange->path.parts;
    const auto connection = this->connections.find(exchange->connection);
    const bool isRead =
      connection != this->connections.end() &&
      connection->second->state != ReplicaConnection::State::Connecting &&
      connection->second->pause == ReadPause::None;
    const bool moving =
      !dead.empty() &&
      std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
        return dead.contains(aPart.replica);
      });
    if (isRead && !moving && !parts.empty()) {
      streams.push_back(progressOf(*exchange));
    }
  }
  return streams;
}

/** Checks all streams: asks the replicas that may be lost for a report, and
 * moves the streams off those that are. */
void
RelayLoop::Impl::checkLosses()
{
  this->lossProbeState.checkDue.reset();
  this->lossProbeState.checkedAt = this->now;
  if (this->ownLink.isSlow(this->now)) {
    // All streams are late, and questions would make the queue longer.
    this->scheduleLossCheck(this->now + OwnLink::kMaxRoundTrip);
    return;
  }
  const SuspectCheck result = this->lossProbeState.suspects.check(
    this->streamsToCheck(), this->reports.suspects(), this->now);
  std::string probed;
  for (const PathPart& part : result.toProbe) {
    if (!this->requestReport(part, Duration{ 0 })) {
      this->lossProbeState.suspects.onNotProbed(part.replica);
      continue;
    }
    this->shared.metrics.count("loss_probes_total");
    this->outageProbeState.unanswered.erase(part.replica);
    probed.append(probed.empty() ? "" : ",").append(part.replica);
  }
  const auto late = static_cast<std::int64_t>(result.late);
  if (!probed.empty()) {
    this->shared.log.write(LogLine{ LogPart::Replicas, "probed" }
                             .with("replicas", probed)
                             .with("late", late));
  }
  for (const std::string& replica : result.lost) {
    if (!this->isSilenceEvidence(replica)) {
      continue;
    }
    this->shared.metrics.count("loss_probes_unanswered_total");
    this->shared.log.write(LogLine{ LogPart::Replicas, "unanswered" }
                             .with("replica", replica)
                             .with("late", late));
    this->onUnreachableReplica(replica, ReplicaFailure::Unreachable);
  }
  if (result.late > 0) {
    this->scheduleLossCheck(this->now + StallSuspects::kRecheckInterval);
  }
}

/** Handles a replica's answer to a status query. */
void
RelayLoop::Impl::recordReportAnswer(const std::string& aReplica)
{
  this->lossProbeState.suspects.onAnswer(aReplica, this->now);
  // Another replica may have refused the connection before it was clear that
  // this relay is not cut off.
  if (this->lossProbeState.checkDue) {
    this->scheduleLossCheck(this->now);
  }
}

/** Returns whether the silence of a replica shows anything about it: packets do
 * not wait at the link of this instance, and not so many replicas are silent
 * that this relay is the likelier fault. */
bool
RelayLoop::Impl::isSilenceEvidence(const std::string& aReplica)
{
  const bool slow = this->ownLink.isSlow(this->now);
  if (slow || !this->health.mayName(aReplica, this->now)) {
    this->shared.metrics.count("losses_not_declared_total");
    this->shared.log.write(LogLine{ LogPart::Replicas, "not_declared" }
                             .with("replica", aReplica)
                             .with("own_link_slow", slow ? 1 : 0));
    return false;
  }
  return true;
}

/** Returns whether a replica that has not answered a status query counts as
 * lost. With loss probes and in an outage of the store, StallSuspects decides:
 * a relay that is itself cut off would otherwise declare every replica lost. */
bool
RelayLoop::Impl::mayDeclareLost(const std::string& aReplica, bool aOutageProbe)
{
  if (!this->isSilenceEvidence(aReplica)) {
    return false;
  }
  const bool guarded = this->settings.load.lossProbes || aOutageProbe;
  return !guarded ||
         this->lossProbeState.suspects.onUnreached(aReplica, this->now);
}

} // namespace poplartrack
