// The end of an attempt without an answer, and whether another one follows.

#include <algorithm>
#include <utility>

#include "RelayLoopImpl.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Joins ids with commas. */
std::string
joined(const std::vector<std::string_view>& aIds)
{
  std::string text;
  for (const std::string_view id : aIds) {
    text.append(text.empty() ? "" : ",").append(id);
  }
  return text;
}

} // namespace

/** Whether the current attempt may have reached its replica. */
bool
RelayLoop::Impl::mayHaveRun(const Exchange& aExchange) const
{
  const auto found = this->connections.find(aExchange.connection);
  return found != this->connections.end() && found->second->anySent;
}

/** Logs that an attempt ends before its answer does. unwritten: bytes of the
 * request that the socket has not accepted. */
void
RelayLoop::Impl::logDropped(const Exchange& aExchange, const Attempt& aAttempt)
{
  const auto found = this->connections.find(aAttempt.connection);
  if (found == this->connections.end()) {
    return;
  }
  constexpr std::int64_t kMicrosPerMs = 1000;
  const ReplicaConnection& connection = *found->second;
  this->shared.log.write(
    LogLine{ LogPart::Path, "dropped" }
      .with("id", aExchange.requestId)
      .with("replica", aAttempt.replica)
      .with("sends", aExchange.sends)
      .with("connecting",
            connection.state == ReplicaConnection::State::Connecting ? 1 : 0)
      .with("unwritten",
            static_cast<std::int64_t>(connection.output.size() +
                                      connection.bodyLeft))
      .with("there_ms", (this->now - aAttempt.sentAt).count() / kMicrosPerMs)
      .with("read_delay_ms", this->readDelay.count() / kMicrosPerMs));
}

/** Ends the current attempt. The reset of its connection stops the work at the
 * replica, and takes back what waits to be sent. */
void
RelayLoop::Impl::dropAttempt(Exchange& aExchange, bool aMayHaveRun)
{
  if (aExchange.connection != 0) {
    this->logDropped(aExchange, aExchange);
    this->abortReplica(aExchange.connection);
    aExchange.connection = 0;
  }
  this->endAttempt(aExchange, aMayHaveRun);
}

/** Updates the request after an attempt that has no connection any more, or
 * keeps it as the replaced one. */
void
RelayLoop::Impl::endAttempt(Exchange& aExchange, bool aMayHaveRun)
{
  this->removeLoad(aExchange);
  if (aMayHaveRun) {
    ++aExchange.runs;
  }
  aExchange.hasLostPartialEvent =
    aExchange.hasLostPartialEvent || !aExchange.splitter.endsBetweenEvents();
  aExchange.splitter.reset();
  this->dropNext(aExchange);
  if (aExchange.doubt) {
    // It waited beside this attempt; its own time to wait begins now.
    aExchange.doubt.reset();
    this->stopSearch(aExchange);
  }
}

/** Returns the replica that is responsible for a rejection if the answer names
 * a listed one; otherwise null. */
const Replica*
RelayLoop::Impl::faultyReplica(const MessageHead& aHead) const
{
  const auto at = aHead.headers.find(this->names.faultyReplica);
  if (!at) {
    return nullptr;
  }
  const Result<Address> address = addressFromText(*at);
  return address ? this->replicaByAddress(address.value()) : nullptr;
}

/** Handles an answer by which the replica, or another one on its path, states
 * that it did not execute the request. The request is sent again
 * elsewhere, up to the maximum number of attempts. */
void
RelayLoop::Impl::onNotExecuted(Exchange& aExchange, const MessageHead& aHead)
{
  const Replica* reported = this->faultyReplica(aHead);
  const std::string faulty =
    reported != nullptr ? reported->id : aExchange.replica;
  const bool hasPath = !aExchange.path.parts.empty();
  // A request is also answered as refused if the replica of one part of its
  // path could not be reached for the whole stall timeout. That replica is
  // dead, not full.
  const bool stalled =
    hasPath && this->now - aExchange.sentAt >= this->settings.stall * 3 / 4;
  this->health.onFailure(faulty,
                         stalled ? ReplicaFailure::Stalled
                                 : ReplicaFailure::Refused,
                         this->now);
  LogLine line{ LogPart::Path, "replica_refused" };
  line.with("id", aExchange.requestId)
    .with("replica", faulty)
    .with("status", aHead.status)
    .with("stalled", stalled ? 1 : 0);
  if (const auto retryAfter = aHead.headers.find("retry-after")) {
    line.with("retry_after", *retryAfter);
  }
  this->shared.log.write(line);
  if (stalled && faulty != aExchange.replica) {
    this->recordPossibleCrashAt(aExchange, faulty, false, true);
  }
  aExchange.avoid.insert(faulty);
  this->dropAttempt(aExchange, false);
  if (this->returnToReplaced(aExchange, "replica refused")) {
    return;
  }
  // A started stream first waits for the retry budget and for a path.
  if (maySendAgain(aExchange)) {
    this->shared.metrics.countRetry(RetryReason::ReplicaRefused);
    aExchange.needsRetryBudget = true;
    this->dispatch(aExchange);
    return;
  }
  this->refuse(aExchange,
               Error{ ErrorKind::Overloaded, "replicas refused it" },
               aExchange.runs == 0);
}

/** Returns whether another attempt may follow the current one: the request did
 * not run or may be repeated, and has attempts left. */
bool
RelayLoop::Impl::mayTryAgain(const Exchange& aExchange) const
{
  const RelayRoute& route = *aExchange.route;
  const bool isRepeatable = route.rule == RetryRule::Idempotent ||
                            (route.rule == RetryRule::Stream &&
                             route.resumable && !aExchange.hasUnnumberedEvent);
  const bool mayRunAgain =
    !this->mayHaveRun(aExchange) ||
    (isRepeatable && aExchange.runs + 1 < route.attempts);
  return mayRunAgain && maySendAgain(aExchange);
}

/** Handles the end of the current attempt without a complete answer: retries
 * the request if it did not run or may be repeated, else answers with an error.
 */
void
RelayLoop::Impl::onAttemptFailed(Exchange& aExchange,
                                 ReplicaFailure aFailure,
                                 std::string_view aCause)
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const bool possiblyRan = this->mayHaveRun(aExchange);
  const bool planned = aFailure == ReplicaFailure::Refused &&
                       this->drainState.since.contains(aExchange.replica);
  aExchange.disturbedByLoss = aExchange.disturbedByLoss || !planned;
  this->health.onFailure(aExchange.replica, aFailure, this->now);
  this->shared.log.write(
    LogLine{ LogPart::Path, "attempt_broken" }
      .with("id", aExchange.requestId)
      .with("replica", aExchange.replica)
      .with("cause", aCause)
      .with("sent", possiblyRan ? 1 : 0)
      .with("events", aExchange.events)
      .with("content", toText(this->contentFingerprint(aExchange)))
      .with("parts", joined(this->sharedPartIds(aExchange)))
      .with("there_ms", (this->now - aExchange.sentAt).count() / kMicrosPerMs)
      .with("late_ms", this->lateMs(aExchange)));
  aExchange.avoid.insert(aExchange.replica);
  const bool triesAgain = this->mayTryAgain(aExchange);
  this->dropAttempt(aExchange, possiblyRan);
  if (aFailure == ReplicaFailure::Unreachable ||
      aFailure == ReplicaFailure::Exited) {
    this->publishLostReplicas();
    this->confirmCrashes();
  }
  if (this->returnToReplaced(aExchange, aCause)) {
    return;
  }
  if (triesAgain) {
    this->shared.metrics.countRetry(aExchange.answering
                                      ? RetryReason::StreamBroken
                                      : RetryReason::ReplicaFailed);
    aExchange.needsRetryBudget = true;
    this->dispatch(aExchange);
    return;
  }
  this->refuse(aExchange,
               Error{ possiblyRan || aExchange.runs > 0
                        ? ErrorKind::OutcomeUnknown
                        : ErrorKind::NoRoute,
                      "the replica was lost" },
               aExchange.runs == 0);
}

} // namespace poplartrack
