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

/** Logs that the current attempt ends before its answer does. unwritten: bytes
 * of the request that the socket has not accepted. */
void
RelayLoop::Impl::logDropped(const Exchange& aExchange)
{
  const auto found = this->connections.find(aExchange.connection);
  if (found == this->connections.end()) {
    return;
  }
  constexpr std::int64_t kMicrosPerMs = 1000;
  const ReplicaConnection& connection = *found->second;
  this->shared.log.write(
    LogLine{ LogPart::Path, "dropped" }
      .with("id", aExchange.requestId)
      .with("replica", aExchange.replica)
      .with("sends", aExchange.sends)
      .with("connecting",
            connection.state == ReplicaConnection::State::Connecting ? 1 : 0)
      .with("unwritten",
            static_cast<std::int64_t>(connection.output.size() +
                                      connection.bodyLeft))
      .with("there_ms", (this->now - aExchange.sentAt).count() / kMicrosPerMs)
      .with("read_delay_ms", this->readDelay.count() / kMicrosPerMs));
}

/** Ends the current attempt. The reset of its connection stops the work at the
 * replica, and takes back what waits to be sent. */
void
RelayLoop::Impl::dropAttempt(Exchange& aExchange, bool aMayHaveRun)
{
  if (aExchange.connection != 0) {
    this->logDropped(aExchange);
    this->abortReplica(aExchange.connection);
    aExchange.connection = 0;
  }
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
  if (aFailure == ReplicaFailure::Unreachable) {
    this->publishLostReplicas();
    this->confirmCrashes();
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

/**
 * Handles an attempt that seems to make no progress, by the silence of a
 * replica or because a replica of its path is lost or drains. Silence does not
 * show that work is lost: a sound replica may pause for a second and go on. So
 * the connection stays open until another attempt begins, and the attempt goes
 * on if none can: it was the last one, the retry budget is used up, or no path
 * is free. aExchange is destroyed if its time is up or its caller has left.
 */
void
RelayLoop::Impl::onAttemptDoubtful(Exchange& aExchange,
                                   ReplicaFailure aFailure,
                                   std::string_view aCause)
{
  const bool replicaLost = aFailure == ReplicaFailure::Unreachable;
  const bool planned =
    !replicaLost && this->drainState.since.contains(aExchange.replica);
  if (aExchange.next || (!planned && this->hasUnreadAnswer(aExchange))) {
    return;
  }
  const bool triesAgain = this->mayTryAgain(aExchange);
  if (!aExchange.doubt) {
    aExchange.doubt = AttemptDoubt{ .cause = aCause,
                                    .replicaLost = replicaLost,
                                    .since = this->now };
    aExchange.disturbedByLoss = aExchange.disturbedByLoss || !planned;
    if (!replicaLost) {
      this->health.onFailure(aExchange.replica, aFailure, this->now);
    }
    this->shared.metrics.count("attempts_doubted_total");
    this->shared.log.write(LogLine{ LogPart::Path, "attempt_doubted" }
                             .with("id", aExchange.requestId)
                             .with("replica", aExchange.replica)
                             .with("cause", aCause)
                             .with("may_move", triesAgain ? 1 : 0)
                             .with("events", aExchange.events)
                             .with("late_ms", this->lateMs(aExchange)));
  }
  if (!triesAgain) {
    this->keepAttempt(aExchange);
    return;
  }
  aExchange.avoid.insert(aExchange.replica);
  aExchange.needsRetryBudget = true;
  this->dispatch(aExchange);
}

/** Returns whether bytes of the current attempt's answer have arrived that were
 * not read yet: this relay is behind, and the replica is not silent. */
bool
RelayLoop::Impl::hasUnreadAnswer(const Exchange& aExchange) const
{
  const auto found = this->connections.find(aExchange.connection);
  return found != this->connections.end() &&
         found->second->state == ReplicaConnection::State::Busy &&
         (found->second->pause != ReadPause::None ||
          hasUnread(found->second->fd.get()));
}

/** Begins the attempt whose connection is established now, unless the one that
 * it replaces has gone on meanwhile or it may no longer be sent. */
void
RelayLoop::Impl::onNextConnected(Exchange& aExchange,
                                 ReplicaConnection& aConnection)
{
  const AttemptTarget target = aExchange.next->target;
  const bool maySend = this->isConfigFresh(aExchange) &&
                       !this->targetTakesNoWork(target.replica, target.path);
  if (!maySend || this->hasUnreadAnswer(aExchange)) {
    this->dropNext(aExchange);
    return;
  }
  aConnection.state = ReplicaConnection::State::Busy;
  this->beginAttempt(aExchange, aConnection, target);
}

/** Handles a replica that does not accept the connection of the next attempt.
 * The current one goes on. */
void
RelayLoop::Impl::onNextUnreachable(Exchange& aExchange)
{
  const std::string replica = aExchange.next->target.replica;
  this->dropNext(aExchange);
  this->health.onFailure(replica, ReplicaFailure::Unreachable, this->now);
  this->publishLostReplicas();
}

/** Gives up the attempt whose connection is being established. */
void
RelayLoop::Impl::dropNext(Exchange& aExchange)
{
  if (aExchange.next) {
    const std::uint64_t connection = aExchange.next->connection;
    aExchange.next.reset();
    this->closeReplica(connection);
  }
}

/** Chooses the target of an attempt that takes the place of the current one,
 * whose own memory counts as free. */
Result<AttemptTarget>
RelayLoop::Impl::chooseReplacement(Exchange& aExchange)
{
  const LayerPath kept = this->cachedParts(aExchange);
  this->removeLoad(aExchange);
  Result<AttemptTarget> target = this->chooseQueued(aExchange);
  this->addLoad(aExchange, &kept);
  return target;
}

/** Stops looking for another attempt. */
void
RelayLoop::Impl::stopSearch(Exchange& aExchange)
{
  this->waiting.remove(aExchange.id);
  this->uncountWaiting(aExchange);
  aExchange.needsRetryBudget = false;
  aExchange.waitingSince.reset();
}

/** Lets the current attempt go on. While it makes no progress, its timer begins
 * the search for another one again. */
void
RelayLoop::Impl::keepAttempt(Exchange& aExchange)
{
  this->stopSearch(aExchange);
  this->armExchange(aExchange);
}

/** Ends the current attempt, if there is one, since another one begins. */
void
RelayLoop::Impl::dropReplacedAttempt(Exchange& aExchange)
{
  if (aExchange.connection == 0) {
    return;
  }
  const AttemptDoubt doubt = aExchange.doubt.value_or(AttemptDoubt{});
  if (doubt.replicaLost) {
    this->recordPossibleCrash(aExchange, ConnectionEnd::Silent);
  }
  this->shared.metrics.countRetry(aExchange.answering
                                    ? RetryReason::StreamBroken
                                    : RetryReason::ReplicaFailed);
  constexpr std::int64_t kMicrosPerMs = 1000;
  this->shared.log.write(
    LogLine{ LogPart::Path, "attempt_replaced" }
      .with("id", aExchange.requestId)
      .with("replica", aExchange.replica)
      .with("cause", doubt.cause)
      .with("doubted_ms", (this->now - doubt.since).count() / kMicrosPerMs));
  this->dropAttempt(aExchange, this->mayHaveRun(aExchange));
}

/** Ends the doubt in an attempt that goes on. */
void
RelayLoop::Impl::endDoubt(Exchange& aExchange)
{
  if (!aExchange.doubt) {
    return;
  }
  constexpr std::int64_t kMicrosPerMs = 1000;
  const Duration doubted = this->now - aExchange.doubt->since;
  this->shared.log.write(LogLine{ LogPart::Path, "attempt_goes_on" }
                           .with("id", aExchange.requestId)
                           .with("replica", aExchange.replica)
                           .with("cause", aExchange.doubt->cause)
                           .with("doubted_ms", doubted.count() / kMicrosPerMs));
  aExchange.doubt.reset();
  this->dropNext(aExchange);
  this->keepAttempt(aExchange);
}

/** Records that bytes of the answer have arrived. An attempt that was doubted
 * goes on, and its replicas are alive unless the bytes may have been on their
 * way before they were taken for lost. */
void
RelayLoop::Impl::recordProgress(Exchange& aExchange)
{
  aExchange.lastProgress = this->now;
  aExchange.progressDelay = this->clock() - this->now;
  aExchange.overdue = false;
  const TimePoint sentAfter = this->now - this->readDelay;
  bool anyAlive = false;
  for (const PathPart& part : aExchange.path.parts) {
    anyAlive = this->health.onProgress(part.replica, sentAfter) || anyAlive;
    if (!this->crashState.exited.empty()) {
      this->crashState.exited.erase(part.replica);
    }
  }
  this->endDoubt(aExchange);
  if (anyAlive) {
    this->publishLostReplicas();
  }
}

} // namespace poplartrack
