// The course of an admitted request: its attempts, its timers and its end.

#include <algorithm>

#include "RelayLoopImpl.h"
#include "RetryAdvice.h"

namespace poplartrack {
namespace {

/** A connection that is not open by then leads to a replica that is dead or
 * cut off; inside a region it takes some ms, or a second when the opening
 * packet is lost. */
constexpr Duration kConnectPatience = std::chrono::milliseconds{ 400 };

/** A relay that was heard this lately still serves. */
constexpr Duration kPeerServes = std::chrono::milliseconds{ 1'000 };

/** The same spread for the same request, and no random source to share. */
std::uint64_t
hashOf(std::string_view aText)
{
  return std::hash<std::string_view>{}(aText);
}

} // namespace

RetryPriority
retryNeedOf(const Exchange& aExchange)
{
  return aExchange.answering ? RetryPriority::Started
                             : RetryPriority::Unanswered;
}

void
RelayLoop::Impl::logRequest(const Exchange& aExchange,
                            std::string_view aEvent,
                            std::string_view aReason)
{
  LogLine line{ LogPart::Request, aEvent };
  line.with("id", aExchange.requestId);
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
  constexpr std::int64_t kMicrosPerMs = 1000;
  line.with("config_age_ms",
            this->shared.freshness.age().count() / kMicrosPerMs);
  line.with("list", static_cast<std::int64_t>(this->view->version));
  line.with("runs", aExchange.runs);
  line.with("sends", aExchange.sends);
  line.with("ms", (this->now - aExchange.arrived).count() / kMicrosPerMs);
  if (!aExchange.path.parts.empty()) {
    line.with("parts", static_cast<std::int64_t>(aExchange.path.parts.size()));
    line.with("crossings",
              static_cast<std::int64_t>(aExchange.path.crossings.size()));
  }
  if (aExchange.namedLimit) {
    line.with("limit_milli", milliOf(*aExchange.namedLimit));
  }
  if (aExchange.streaming) {
    line.with("events", aExchange.events);
    line.with("first_ms", aExchange.firstEvent.count() / kMicrosPerMs);
    line.with("pause_ms", aExchange.longestPause.count() / kMicrosPerMs);
    line.with("repairs", aExchange.repairs);
  }
  this->shared.log.write(line);
}

/** Starts the next attempt, or ends the request when there is none. */
void
RelayLoop::Impl::dispatch(Exchange& aExchange)
{
  if (this->now >= aExchange.giveUpAt) {
    this->refuse(aExchange,
                 Error{ ErrorKind::DeadlineExceeded, "no time is left" },
                 aExchange.runs == 0);
    return;
  }
  if (!this->fresh(aExchange)) {
    this->refuse(
      aExchange,
      Error{ ErrorKind::NoConfiguration, "the configuration has become old" },
      aExchange.runs == 0);
    return;
  }
  if (this->quarantineLeft(aExchange) &&
      !this->crashes.takeTrial(contentOf(aExchange), this->now)) {
    this->refuseQuarantined(aExchange);
    return;
  }
  Result<AttemptTarget> target = this->chooseQueued(aExchange);
  if (target && this->callerLeft(aExchange)) {
    this->onCallerGone(aExchange.id);
    return;
  }
  if (target && aExchange.owesRetry &&
      !this->budgetOf(aExchange).tryRetry(retryNeedOf(aExchange), this->now)) {
    target = fail(ErrorKind::Overloaded, "the retry budget is used up");
  }
  if (target) {
    aExchange.owesRetry = false;
    aExchange.waitingSince.reset();
    this->send(aExchange, target.value());
    return;
  }
  if (this->mayWait(aExchange, target.error().kind)) {
    if (this->waiting.empty()) {
      this->timers.arm(kWaitingKey, this->now + kWaitPause);
    }
    this->waiting.join(this->waiterOf(aExchange));
    return;
  }
  this->refuse(aExchange, target.error(), aExchange.runs == 0);
}

void
RelayLoop::Impl::send(Exchange& aExchange, const AttemptTarget& aTarget)
{
  const bool recentOnly = aExchange.route->rule == RetryRule::AtMostOnce;
  Result<ReplicaConnection*> opened = this->connectionTo(aTarget, recentOnly);
  if (!opened) {
    this->health.onFailure(
      aTarget.replica, ReplicaFailure::Unreachable, this->now);
    this->refuse(aExchange, opened.error(), aExchange.runs == 0);
    return;
  }
  ReplicaConnection& connection = *opened.value();
  connection.exchange = aExchange.id;
  aExchange.connection = connection.id;
  aExchange.replica = aTarget.replica;
  aExchange.path = aTarget.path;
  aExchange.sentAt = this->now;
  aExchange.runningSince.reset();
  aExchange.namedLimit.reset();
  aExchange.lastProgress = this->now;
  aExchange.asking = false;
  ++aExchange.sends;
  this->waiting.leave(aExchange.id);
  this->replicaLimits.onSent(aTarget.replica, this->now);
  this->addLoad(aExchange);
  this->payCrossings(aExchange, aTarget.path);
  this->armExchange(aExchange);
  // The answer to HEAD names a length and has no body.
  connection.parser->skip(aExchange.head.method == "HEAD");
  connection.out = this->requestHead(aExchange, aTarget) + aExchange.body;
  if (connection.state == ReplicaConnection::State::Busy) {
    this->flushReplica(connection);
  }
}

void
RelayLoop::Impl::armExchange(Exchange& aExchange)
{
  TimePoint next = aExchange.giveUpAt;
  const auto connection = this->connections.find(aExchange.connection);
  const bool connecting =
    connection != this->connections.end() &&
    connection->second->state == ReplicaConnection::State::Connecting;
  if (connecting) {
    next = std::min(next, aExchange.sentAt + kConnectPatience);
  } else if (!aExchange.path.parts.empty()) {
    const TimePoint since =
      aExchange.asking ? aExchange.askedAt : aExchange.lastProgress;
    next = std::min(next, since + this->stallTimeoutOf(aExchange));
  }
  this->timers.arm(aExchange.id, next);
}

void
RelayLoop::Impl::onExchangeTimer(Exchange& aExchange)
{
  if (aExchange.route != nullptr && this->now >= aExchange.giveUpAt) {
    const bool ran = this->mayHaveRun(aExchange) || aExchange.runs > 0;
    this->dropAttempt(aExchange, ran);
    this->refuse(
      aExchange, Error{ ErrorKind::DeadlineExceeded, "time is up" }, !ran);
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
  if (connection->second->state == ReplicaConnection::State::Connecting) {
    if (this->now - aExchange.sentAt >= kConnectPatience) {
      this->onBroken(aExchange, ReplicaFailure::Unreachable, "connect timeout");
      return;
    }
  } else if (!aExchange.path.parts.empty()) {
    const TimePoint since =
      aExchange.asking ? aExchange.askedAt : aExchange.lastProgress;
    if (this->now - since >= this->stallTimeoutOf(aExchange)) {
      this->onOverdue(aExchange);
      return;
    }
  }
  this->armExchange(aExchange);
}

/** Whether the present attempt may have reached its replica. */
bool
RelayLoop::Impl::mayHaveRun(const Exchange& aExchange) const
{
  const auto found = this->connections.find(aExchange.connection);
  return found != this->connections.end() && found->second->anySent;
}

/** Ends the present attempt. Closing its connection stops the work there. */
void
RelayLoop::Impl::dropAttempt(Exchange& aExchange, bool aMayHaveRun)
{
  if (aExchange.connection != 0) {
    this->closeReplica(aExchange.connection);
    aExchange.connection = 0;
  }
  this->removeLoad(aExchange);
  if (aMayHaveRun) {
    ++aExchange.runs;
  }
  aExchange.splitter.reset();
}

void
RelayLoop::Impl::endExchange(Exchange& aExchange)
{
  this->removeLoad(aExchange);
  this->waiting.leave(aExchange.id);
  this->timers.cancel(aExchange.id);
  this->exchanges.erase(aExchange.id);
  --this->openCount;
}

/** The caller has closed its connection: the replica's work stops now. */
void
RelayLoop::Impl::onCallerGone(std::uint64_t aExchange)
{
  const auto found = this->exchanges.find(aExchange);
  if (found == this->exchanges.end()) {
    return;
  }
  Exchange& exchange = *found->second;
  this->shared.metrics.countRefusal(ErrorKind::Cancelled);
  this->logRequest(exchange, "caller_left", "");
  this->dropAttempt(exchange, false);
  this->endExchange(exchange);
}

/**
 * Ends a request without an answer of a replica. aNotRun: it is proved that it
 * has not run and never will; only then the answer may say so.
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
  this->shared.metrics.countRefusal(error.kind);
  this->logRequest(aExchange,
                   "refused",
                   std::string{ nameOf(error.kind) } + ": " + error.detail);
  const auto found = this->callers.find(aExchange.caller);
  const std::string requestId = aExchange.requestId;
  const bool answering = aExchange.answering;
  RefusalState state;
  state.kind = error.kind;
  state.othersServe = this->now - this->peerFreshAt <= kPeerServes;
  state.timeLeft = aExchange.giveUpAt - this->now;
  state.spread = hashOf(requestId);
  if (state.kind == ErrorKind::Quarantined) {
    state.lasts = this->quarantineLeft(aExchange).value_or(Duration{ 0 });
  }
  this->endExchange(aExchange);
  if (found == this->callers.end()) {
    return;
  }
  CallerConnection& caller = *found->second;
  if (answering) {
    // Part of the answer is with the caller: only a cut tells that the rest
    // will not come.
    this->closeCaller(caller.id);
    return;
  }
  const int status = rowOf(error.kind).httpStatus;
  constexpr int kUnavailable = 503;
  const Duration retryAfter =
    status == kUnavailable ? retryAdvice(state) : Duration{ 0 };
  this->answerError(caller, error, requestId, retryAfter, caller.closeAfterOut);
  this->afterAnswer(caller);
}

} // namespace poplartrack
