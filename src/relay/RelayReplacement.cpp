// When a running attempt gives way to another one.

#include <algorithm>
#include <utility>

#include "HttpStatus.h"
#include "RelayLoopImpl.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** An attempt is set aside for this long at least: the one in its place is not
 * doubted before, so that no third one ends it. */
constexpr Duration kMinSetAside = std::chrono::milliseconds{ 150 };

} // namespace

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
  const bool isNew =
    aExchange.replaced && this->now < aExchange.sentAt + kMinSetAside;
  if (aExchange.next || isNew ||
      (!planned && this->hasUnreadAnswer(aExchange))) {
    this->armExchange(aExchange);
    return;
  }
  const bool triesAgain = this->mayTryAgain(aExchange);
  if (!aExchange.doubt) {
    aExchange.doubt = AttemptDoubt{ .cause = aCause,
                                    .replicaLost = replicaLost,
                                    .planned = planned,
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

/** Returns whether bytes of an answer have arrived that were not read yet: this
 * relay is behind, and the replica is not silent. */
bool
RelayLoop::Impl::hasUnreadAnswer(const Exchange& aExchange) const
{
  return this->hasUnreadBytes(aExchange.connection) ||
         (aExchange.replaced &&
          this->hasUnreadBytes(aExchange.replaced->attempt.connection));
}

/** Returns whether bytes of the answer on a connection wait to be read. */
bool
RelayLoop::Impl::hasUnreadBytes(std::uint64_t aConnection) const
{
  const auto found = this->connections.find(aConnection);
  return found != this->connections.end() &&
         found->second->state == ReplicaConnection::State::Busy &&
         found->second->pause != ReadPause::Replaced &&
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
RelayLoop::Impl::onNextUnreachable(Exchange& aExchange, ReplicaFailure aFailure)
{
  const std::string replica = aExchange.next->target.replica;
  this->dropNext(aExchange);
  this->health.onFailure(replica, aFailure, this->now);
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

/** Sets the current attempt aside, if there is one, since another one begins.
 * It goes on until the answer of that one begins: its work would be lost if the
 * other replica refused or broke off. One that was set aside before ends. */
void
RelayLoop::Impl::setAttemptAside(Exchange& aExchange)
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
  if (!this->mayHaveRun(aExchange)) {
    this->dropAttempt(aExchange, false);
    return;
  }
  this->dropReplaced(aExchange);
  ReplacedAttempt replaced{ aExchange,
                            this->cachedParts(aExchange),
                            aExchange.hasLostPartialEvent };
  aExchange.connection = 0;
  this->endAttempt(aExchange, true);
  aExchange.replaced = std::move(replaced);
  if (doubt.planned) {
    this->pauseReplaced(aExchange);
  }
  this->shared.metrics.count("attempts_replaced_total");
}

/** Stops reading the replaced attempt, whose replica drains and still runs it:
 * its next event would end the attempt in its place, each time. */
void
RelayLoop::Impl::pauseReplaced(Exchange& aExchange)
{
  const auto found =
    this->connections.find(aExchange.replaced->attempt.connection);
  if (found != this->connections.end()) {
    found->second->pause = ReadPause::Replaced;
    this->updateReplicaInterest(*found->second);
  }
}

/** Returns whether the replaced attempt is not read and has gone on. */
bool
RelayLoop::Impl::hasPausedAnswer(const Exchange& aExchange) const
{
  const auto found =
    this->connections.find(aExchange.replaced->attempt.connection);
  return found != this->connections.end() &&
         found->second->pause == ReadPause::Replaced &&
         hasUnread(found->second->fd.get());
}

/** Returns whether the connection is that of the replaced attempt. */
bool
RelayLoop::Impl::isReplaced(const Exchange& aExchange,
                            std::uint64_t aConnection)
{
  return aExchange.replaced &&
         aExchange.replaced->attempt.connection == aConnection;
}

/** Makes the replaced attempt the current one again, if there is one, after the
 * one that took its place has ended. Looks for another one if it is doubted. */
bool
RelayLoop::Impl::returnToReplaced(Exchange& aExchange, std::string_view aCause)
{
  if (!aExchange.replaced) {
    return false;
  }
  this->restoreReplaced(aExchange, aCause);
  if (aExchange.doubt && this->mayTryAgain(aExchange)) {
    aExchange.needsRetryBudget = true;
    this->dispatch(aExchange);
  } else {
    this->keepAttempt(aExchange);
  }
  return true;
}

/** Makes the replaced attempt the current one. */
void
RelayLoop::Impl::restoreReplaced(Exchange& aExchange, std::string_view aCause)
{
  ReplacedAttempt replaced = std::move(*aExchange.replaced);
  aExchange.replaced.reset();
  static_cast<Attempt&>(aExchange) = std::move(replaced.attempt);
  aExchange.hasLostPartialEvent = replaced.hadLostPartialEvent;
  --aExchange.runs;
  this->addLoad(aExchange, &replaced.cached);
  const auto connection = this->connections.find(aExchange.connection);
  if (connection != this->connections.end() &&
      (connection->second->pause == ReadPause::Caller ||
       connection->second->pause == ReadPause::Replaced)) {
    // Its caller may have caught up meanwhile. The next read pauses it if not.
    this->resumeReading(*connection->second);
  }
  this->shared.metrics.count("attempts_restored_total");
  this->shared.log.write(LogLine{ LogPart::Path, "attempt_restored" }
                           .with("id", aExchange.requestId)
                           .with("replica", aExchange.replica)
                           .with("cause", aCause)
                           .with("late_ms", this->lateMs(aExchange)));
}

/** Makes the replaced attempt, which has gone on, the current one, and ends the
 * one that took its place. */
void
RelayLoop::Impl::goOnWithReplaced(Exchange& aExchange)
{
  this->dropAttempt(aExchange, this->mayHaveRun(aExchange));
  this->restoreReplaced(aExchange, "goes on");
  this->armExchange(aExchange);
}

/** Handles bytes of the replaced attempt's answer. Returns whether it has gone
 * on and is the current one again. If they are no part of a successful answer,
 * it ends. */
bool
RelayLoop::Impl::onReplacedAnswer(Exchange& aExchange,
                                  const ReplicaConnection& aConnection)
{
  const MessageHead& head = aConnection.parser->head();
  const auto echo = head.headers.find(this->names.requestId);
  const bool isOwn = !echo || *echo == aExchange.requestId;
  const bool isStamped = head.headers.find(this->names.stamp).has_value();
  if (!isOwn || !isStamped || !isSuccess(head.status)) {
    this->dropReplaced(aExchange);
    return false;
  }
  this->goOnWithReplaced(aExchange);
  return true;
}

/** Handles the end of the replaced attempt's connection. Returns whether that
 * is the regular end of its answer, and it is the current one again. */
bool
RelayLoop::Impl::onReplacedDisconnected(Exchange& aExchange,
                                        const ReplicaConnection& aConnection,
                                        bool aIsFinished)
{
  const Attempt& attempt = aExchange.replaced->attempt;
  const bool isEnd =
    aIsFinished && aConnection.headHandled && aConnection.parser->need_eof() &&
    attempt.attemptEvents > 0 && attempt.splitter.endsBetweenEvents();
  if (!isEnd) {
    this->dropReplaced(aExchange);
    return false;
  }
  this->goOnWithReplaced(aExchange);
  return true;
}

/** Handles the outcome of an order to move the replaced attempt to another
 * path, as it counts if that attempt is the current one again. */
void
RelayLoop::Impl::onReplacedRepath(ReplacedAttempt& aReplaced,
                                  const RepathOrder& aOrder,
                                  RepathOutcome aOutcome)
{
  Attempt& attempt = aReplaced.attempt;
  if (aOutcome == RepathOutcome::Moved) {
    attempt.lastProgress = std::max(attempt.lastProgress, this->now);
    attempt.overdue = false;
    attempt.doubt.reset();
    return;
  }
  attempt.path = aOrder.before;
  attempt.repairedAt.reset();
  aReplaced.cached = attempt.runningSince ? aOrder.before : LayerPath{};
}

/** Ends the replaced attempt, if there is one. */
void
RelayLoop::Impl::dropReplaced(Exchange& aExchange)
{
  if (!aExchange.replaced) {
    return;
  }
  const Attempt& attempt = aExchange.replaced->attempt;
  this->logDropped(aExchange, attempt);
  this->abortReplica(attempt.connection);
  aExchange.replaced.reset();
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
  const bool isMoving =
    aExchange.next && aExchange.doubt && aExchange.doubt->planned;
  if (!isMoving) {
    this->endDoubt(aExchange);
  }
  if (anyAlive) {
    this->publishLostReplicas();
  }
}

} // namespace poplartrack
