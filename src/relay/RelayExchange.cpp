// An admitted request: its attempts, its timers and its end.

#include <algorithm>

#include "LoopKeys.h"
#include "QueueWait.h"
#include "RelayLoopImpl.h"
#include "RetryAdvice.h"
#include "poplartrack/store/StoreVersion.h"

namespace poplartrack {
namespace {

/** A replica that has not accepted a connection within this time is taken to be
 * unreachable. Within a region, connecting takes a few milliseconds, or a
 * second when the SYN packet is lost. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds{ 400 };

/** Callers that this relay refuses are expected to be served by another one if
 * another relay has reported a recent freshness proof within this time. */
constexpr Duration kMaxPeerProofAge = std::chrono::milliseconds{ 1'000 };

/** Hash of a request id, used as jitter for the retry advice: it needs no
 * random generator and is the same for repeats of a request. */
std::uint64_t
hashOf(std::string_view aText)
{
  return std::hash<std::string_view>{}(aText);
}

} // namespace

/** Logs an event of a request with the state of the request. */
void
RelayLoop::Impl::logRequest(const Exchange& aExchange,
                            std::string_view aEvent,
                            std::string_view aReason)
{
  LogLine line{ LogPart::Request, aEvent };
  line.with("id", aExchange.requestId);
  line.with("channel", static_cast<std::int64_t>(aExchange.caller));
  if (aExchange.route != nullptr) {
    line.with("route", aExchange.route->name);
  }
  if (aExchange.account != nullptr) {
    line.with("account", aExchange.account->name);
  }
  if (!aReason.empty()) {
    line.with("reason", aReason);
  }
  if (!aExchange.replica.empty()) {
    line.with("replica", aExchange.replica);
  }
  line.with("config",
            static_cast<std::int64_t>(
              aExchange.config ? aExchange.config->version : 0));
  const auto latest = this->shared.config.read();
  line.with("config_now",
            static_cast<std::int64_t>(latest ? latest->version : 0));
  constexpr std::int64_t kMicrosPerMs = 1000;
  line.with("config_age_ms",
            this->shared.freshness.age().count() / kMicrosPerMs);
  line.with("list", static_cast<std::int64_t>(countOf(this->view->version)));
  line.with("runs", aExchange.runs);
  line.with("sends", aExchange.sends);
  line.with("ms", (this->now - aExchange.arrived).count() / kMicrosPerMs);
  line.with("limit_ms",
            (aExchange.giveUpAt - aExchange.arrived).count() / kMicrosPerMs);
  if (!aExchange.path.parts.empty()) {
    line.with("parts", static_cast<std::int64_t>(aExchange.path.parts.size()));
    line.with("crossings",
              static_cast<std::int64_t>(aExchange.path.crossings.size()));
  }
  if (aExchange.reportedLimit) {
    line.with("limit_milli", toMilliRate(*aExchange.reportedLimit));
  }
  if (aExchange.retryAfter) {
    line.with("retry_after_ms", aExchange.retryAfter->count() / kMicrosPerMs);
  }
  if (aExchange.booking) {
    line.with("slot_bookings", aExchange.booking->slotBookings);
    line.with("slot_room", aExchange.booking->slotRoom);
  }
  if (aExchange.streaming) {
    line.with("events", aExchange.events);
    line.with("first_ms", aExchange.firstEvent.count() / kMicrosPerMs);
    line.with("pause_ms",
              aExchange.eventTimes.longestPause().count() / kMicrosPerMs);
    line.with("repairs", aExchange.repairs);
  }
  this->shared.log.write(line);
}

/** Ends the request if its time is up. aExchange is destroyed then. */
bool
RelayLoop::Impl::endAtDeadline(Exchange& aExchange)
{
  if (this->now < aExchange.giveUpAt) {
    return false;
  }
  const bool ran = this->mayHaveRun(aExchange) || aExchange.runs > 0;
  this->dropAttempt(aExchange, ran);
  this->refuse(
    aExchange, Error{ ErrorKind::DeadlineExceeded, "time is up" }, !ran);
  return true;
}

/** Sends the next attempt, queues the request until one is possible, or refuses
 * the request. An attempt that has not ended goes on until then, and instead of
 * a refusal. */
void
RelayLoop::Impl::dispatch(Exchange& aExchange)
{
  if (this->endAtDeadline(aExchange)) {
    return;
  }
  const bool hasAttempt = aExchange.connection != 0;
  if (!this->isConfigFresh(aExchange)) {
    this->refuseOrKeep(
      aExchange,
      Error{ ErrorKind::NoConfiguration, "the configuration has become old" });
    return;
  }
  const std::vector<Suspect> quarantined = this->quarantinedIn(aExchange);
  if (!quarantined.empty() && !this->isTrialDue(quarantined)) {
    this->refuseOrKeep(aExchange, quarantineError(quarantined.front()));
    return;
  }
  Result<AttemptTarget> target = hasAttempt ? this->chooseReplacement(aExchange)
                                            : this->chooseQueued(aExchange);
  aExchange.lacksCapacity =
    !target && target.error().kind == ErrorKind::Overloaded;
  if (target && this->callerHasDisconnected(aExchange)) {
    this->onCallerDisconnected(aExchange.id);
    return;
  }
  if (target && aExchange.needsRetryBudget &&
      !this->budgetOf(aExchange).tryRetry(retryNeedOf(aExchange), this->now)) {
    target = fail(ErrorKind::Overloaded, "the retry budget is used up");
  }
  if (target) {
    if (!quarantined.empty()) {
      this->recordTrial(aExchange, quarantined);
    }
    aExchange.needsRetryBudget = false;
    aExchange.waitingSince.reset();
    this->sendAttempt(aExchange, target.value());
    return;
  }
  if (this->mayKeepWaiting(aExchange, target.error().kind)) {
    if (this->waiting.empty()) {
      this->timers.arm(kWaitQueueTimerKey, this->now + kWaitRetryInterval);
    }
    aExchange.startRecorded = false;
    this->waiting.add(this->waiterOf(aExchange));
    this->countWaiting(aExchange);
    return;
  }
  this->refuseOrKeep(aExchange, target.error());
}

/** Refuses a request that cannot be sent, unless an attempt of it goes on. */
void
RelayLoop::Impl::refuseOrKeep(Exchange& aExchange, const Error& aError)
{
  if (aExchange.connection == 0) {
    this->refuse(aExchange, aError, aExchange.runs == 0);
    return;
  }
  if (aExchange.doubt && !aExchange.doubt->isKept) {
    aExchange.doubt->isKept = true;
    this->shared.log.write(LogLine{ LogPart::Path, "attempt_kept" }
                             .with("id", aExchange.requestId)
                             .with("replica", aExchange.replica)
                             .with("reason", describe(aError)));
  }
  this->keepAttempt(aExchange);
}

/** Sends the request to the replica on an idle or new connection. An attempt
 * that it replaces goes on until the connection is established. */
void
RelayLoop::Impl::sendAttempt(Exchange& aExchange, const AttemptTarget& aTarget)
{
  const bool recentOnly = aExchange.route->rule == RetryRule::AtMostOnce;
  Result<ReplicaConnection*> opened = this->connectionTo(aTarget, recentOnly);
  if (!opened) {
    this->health.onFailure(
      aTarget.replica, ReplicaFailure::Unreachable, this->now);
    this->refuseOrKeep(aExchange, opened.error());
    return;
  }
  ReplicaConnection& connection = *opened.value();
  connection.exchange = aExchange.id;
  const bool connecting =
    connection.state == ReplicaConnection::State::Connecting;
  if (aExchange.connection != 0 && connecting) {
    aExchange.next = NextAttempt{ connection.id, aTarget, this->now };
    this->keepAttempt(aExchange);
    return;
  }
  this->beginAttempt(aExchange, connection, aTarget);
}

/** Makes the connection that of the current attempt, records its load and
 * writes the request. The attempt that it replaces is set aside. */
void
RelayLoop::Impl::beginAttempt(Exchange& aExchange,
                              ReplicaConnection& aConnection,
                              const AttemptTarget& aTarget)
{
  aExchange.next.reset();
  this->setAttemptAside(aExchange);
  aConnection.exchange = aExchange.id;
  aExchange.connection = aConnection.id;
  aExchange.replica = aTarget.replica;
  aExchange.path = aTarget.path;
  aExchange.sentAt = this->now;
  aExchange.connectedAt = this->now;
  aExchange.runningSince.reset();
  aExchange.repairedAt.reset();
  aExchange.reportedLimit.reset();
  aExchange.lastProgress = this->now;
  aExchange.progressDelay = this->clock() - this->now;
  aExchange.overdue = false;
  aExchange.attemptEvents = 0;
  ++aExchange.sends;
  this->waiting.remove(aExchange.id);
  this->uncountWaiting(aExchange);
  this->replicaLimits.onSent(aTarget.replica, this->now);
  this->outliers.onSent(aTarget.replica, this->now);
  this->addLoad(aExchange);
  this->reserveLinkCapacity(aExchange, aTarget.path);
  this->armExchange(aExchange);
  this->resetParser(aConnection);
  aConnection.interimAnswers = 0;
  aConnection.foreignAnswers = 0;
  aConnection.foreignBytes = 0;
  aConnection.periodBytes = 0;
  aConnection.output.append(this->requestHead(aExchange, aTarget));
  aConnection.bodyLeft = aExchange.body.size();
  if (aConnection.state == ReplicaConnection::State::Busy) {
    this->flushReplica(aConnection);
  }
}

/** Logs that the whole request has been passed to the socket. */
void
RelayLoop::Impl::logWritten(const Exchange& aExchange)
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const TimePoint written = this->clock();
  this->shared.log.write(
    LogLine{ LogPart::Path, "written" }
      .with("id", aExchange.requestId)
      .with("replica", aExchange.replica)
      .with("sends", aExchange.sends)
      .with("decided_ms",
            (aExchange.sentAt - aExchange.arrived).count() / kMicrosPerMs)
      .with("connect_ms",
            (aExchange.connectedAt - aExchange.sentAt).count() / kMicrosPerMs)
      .with("write_ms",
            (written - aExchange.connectedAt).count() / kMicrosPerMs));
}

/** Returns when the attempt ends unless its connection is established before.
 * While packets wait at the link of this instance, an attempt at another
 * replica would wait there as well, behind this one. */
TimePoint
RelayLoop::Impl::connectDeadline(const Exchange& aExchange) const
{
  if (aExchange.overdue) {
    return aExchange.overdueHandledAt + kMoveRetryDelay;
  }
  const TimePoint deadline = aExchange.sentAt + kConnectTimeout;
  return this->ownLink.isSlow(this->now)
           ? std::max(deadline, this->now + OwnLink::kMaxRoundTrip)
           : deadline;
}

/** Sets the timer to the next deadline of the request: its own, the connect
 * timeout, the stall timeout or the expected end of its prefill. */
void
RelayLoop::Impl::armExchange(Exchange& aExchange)
{
  TimePoint next = aExchange.giveUpAt;
  const auto connection = this->connections.find(aExchange.connection);
  const bool connecting =
    connection != this->connections.end() &&
    connection->second->state == ReplicaConnection::State::Connecting;
  if (connecting) {
    next = std::min(next, this->connectDeadline(aExchange));
  } else if (!aExchange.path.parts.empty()) {
    const TimePoint since =
      aExchange.overdue ? aExchange.overdueHandledAt : aExchange.lastProgress;
    next = std::min(next, since + this->stallTimeoutOf(aExchange));
    next = std::min(next, this->lateAt(aExchange).value_or(next));
  }
  if (aExchange.next) {
    next = std::min(next, aExchange.next->since + kConnectTimeout);
  }
  if (aExchange.replaced) {
    next = std::min(next, aExchange.sentAt + kMaxSetAside);
  }
  if (aExchange.prefillRecorded) {
    next = std::min(next, aExchange.prefillEndsAt.value_or(next));
  }
  this->timers.arm(aExchange.id, next);
}

/** Handles a connection that is not established in time. Nothing was sent, so a
 * new request fails at once and may be told so. A started stream would be cut,
 * and a request that may have run elsewhere would have an unknown outcome; they
 * go on to wait for this connection while no other replica takes them. */
void
RelayLoop::Impl::onConnectTimeout(Exchange& aExchange)
{
  constexpr std::string_view kCause = "connect timeout";
  if (!aExchange.answering && aExchange.runs == 0) {
    this->onAttemptFailed(aExchange, ReplicaFailure::Unreachable, kCause);
    return;
  }
  aExchange.overdue = true;
  aExchange.overdueHandledAt = this->now;
  this->health.onFailure(
    aExchange.replica, ReplicaFailure::Unreachable, this->now);
  this->publishLostReplicas();
  this->onAttemptDoubtful(aExchange, ReplicaFailure::Unreachable, kCause);
}

/** Handles whichever deadline of the request has passed. Requests that have no
 * route or connection yet are tried again. */
void
RelayLoop::Impl::onExchangeTimer(Exchange& aExchange)
{
  if (aExchange.route != nullptr && this->endAtDeadline(aExchange)) {
    return;
  }
  if (aExchange.route == nullptr) {
    this->admit(aExchange);
    return;
  }
  const auto connection = this->connections.find(aExchange.connection);
  if (connection == this->connections.end()) {
    this->dispatch(aExchange);
    return;
  }
  if (aExchange.prefillEndsAt && this->now >= *aExchange.prefillEndsAt) {
    this->endPrefill(aExchange);
  }
  if (aExchange.next && this->now >= aExchange.next->since + kConnectTimeout) {
    this->onNextUnreachable(aExchange, ReplicaFailure::Unreachable);
  }
  if (aExchange.replaced && this->now >= aExchange.sentAt + kMaxSetAside) {
    if (this->hasPausedAnswer(aExchange)) {
      this->goOnWithReplaced(aExchange);
      return;
    }
    this->dropReplaced(aExchange);
  }
  if (connection->second->pause != ReadPause::None) {
    // Nothing is read, so nothing shows whether the replica makes progress.
    aExchange.lastProgress = this->now;
    aExchange.overdue = false;
  }
  if (connection->second->state == ReplicaConnection::State::Connecting) {
    if (this->now >= this->connectDeadline(aExchange)) {
      this->onConnectTimeout(aExchange);
      return;
    }
  } else if (!aExchange.path.parts.empty()) {
    this->checkIfLate(aExchange);
    const TimePoint since =
      aExchange.overdue ? aExchange.overdueHandledAt : aExchange.lastProgress;
    if (this->now - since >= this->stallTimeoutOf(aExchange)) {
      this->onStallTimeout(aExchange);
      return;
    }
  }
  this->armExchange(aExchange);
}

/** Removes the request, whose last attempt counts in its runs if it may have
 * run. aExchange is destroyed. */
void
RelayLoop::Impl::endExchange(Exchange& aExchange)
{
  if (aExchange.runs > 0) {
    this->recordServiceEnd(aExchange);
  }
  this->removeLoad(aExchange);
  this->dropNext(aExchange);
  this->dropReplaced(aExchange);
  this->waiting.remove(aExchange.id);
  this->uncountWaiting(aExchange);
  this->timers.cancel(aExchange.id);
  this->exchanges.erase(aExchange.id);
  --this->openCount;
}

/** Ends the request of a caller that has closed its connection, which also
 * stops the work at the replica. */
void
RelayLoop::Impl::onCallerDisconnected(std::uint64_t aExchange)
{
  const auto found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  Exchange& exchange = *found->second;
  this->shared.metrics.countRefusal(ErrorKind::Cancelled);
  this->logRequest(exchange, "caller_left", "");
  this->dropAttempt(exchange, this->mayHaveRun(exchange));
  this->endExchange(exchange);
}

/**
 * Ends a request with an error, or cuts its connection if part of an answer has
 * been sent. aNotRun says that the request certainly has not run and never
 * will; only then may the error say so.
 */
void
RelayLoop::Impl::refuse(Exchange& aExchange, const Error& aError, bool aNotRun)
{
  Error error = aError;
  if (!aNotRun && rowOf(error.kind).runState == RunState::NotRun) {
    error.kind = ErrorKind::OutcomeUnknown;
  }
  if (aNotRun && error.kind == ErrorKind::DeadlineExceeded) {
    error.kind = ErrorKind::DeadlineTooClose;
  }
  if (aNotRun && error.kind == ErrorKind::Network) {
    error.kind = ErrorKind::NoRoute;
  }
  const auto found = this->callers.find(aExchange.caller);
  const std::string requestId = aExchange.requestId;
  const bool answering = aExchange.answering;
  constexpr int kUnavailable = 503;
  RefusalState state;
  state.kind = error.kind;
  state.othersServe = this->now - this->peerProvedFreshAt <= kMaxPeerProofAge;
  state.replicasBackOff = this->meetsBackoff(aExchange);
  state.timeLeft = aExchange.giveUpAt - this->now;
  state.jitterSeed = hashOf(requestId);
  if (state.kind == ErrorKind::Quarantined) {
    state.quarantineLeft = this->quarantineLeft(aExchange);
  }
  if (found != this->callers.end() && !answering &&
      rowOf(error.kind).httpStatus == kUnavailable) {
    aExchange.retryAfter = this->adviseReturn(aExchange, state);
  }
  const Duration retryAfter = aExchange.retryAfter.value_or(Duration{ 0 });
  this->shared.metrics.countRefusal(error.kind);
  this->countShareRefusal(aExchange);
  this->logRequest(aExchange,
                   answering ? "cut" : "refused",
                   std::string{ nameOf(error.kind) } + ": " + error.detail);
  this->endExchange(aExchange);
  if (found == this->callers.end()) {
    return;
  }
  CallerConnection& caller = *found->second;
  if (answering) {
    // The caller has part of the answer. Only closing the connection can show
    // that the rest will not come.
    this->shared.metrics.count("answers_cut_total");
    this->closeCaller(caller.id, CallerClose::Cut);
    return;
  }
  this->answerError(caller, error, requestId, retryAfter, caller.closeAfterOut);
  this->onAnswerWritten(caller);
}

} // namespace poplartrack
