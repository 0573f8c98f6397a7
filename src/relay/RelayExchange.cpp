// The course of a request: from its last byte to its end.

#include <algorithm>
#include <array>
#include <charconv>

#include "RelayLoopImpl.h"
#include "RetryAdvice.h"

namespace poplartrack {
namespace {

/** A connection that is not open by then leads to a replica that is dead or
 * cut off; inside a region it takes some ms, or a second when the opening
 * packet is lost. */
constexpr Duration kConnectPatience = std::chrono::milliseconds{ 400 };

/** A started stream whose replica was lost waits this long for another path;
 * callers give a silent stream up after two seconds. */
constexpr Duration kResumePatience = std::chrono::milliseconds{ 1'500 };

/** A request for which no path has memory waits this long, or half of its
 * objective: reading its prompt takes the other half at most. At 75 requests a
 * second some twenty answers end in this time. */
constexpr Duration kQueuePatience = std::chrono::milliseconds{ 250 };

/** A relay that has just started lets requests wait this long for the
 * configuration and the list of replicas; reading both takes 0.2 s on the
 * smallest instance. Callers give a request up that is not read after a second.
 */
constexpr Duration kStartPatience = std::chrono::milliseconds{ 700 };

/** Pause between two looks for a path. */
constexpr Duration kWaitPause = std::chrono::milliseconds{ 25 };

/** What is taken for the time of a caller that names none, until its route is
 * known: it bounds only when a refused one is told to come back. */
constexpr Duration kUsualPatience = std::chrono::seconds{ 10 };

/** A relay that was heard this lately still serves. */
constexpr Duration kPeerServes = std::chrono::milliseconds{ 1'000 };

std::optional<std::int64_t>
numberIn(std::optional<std::string_view> aText)
{
  if (!aText) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const auto [stop, error] =
    std::from_chars(aText->data(), aText->data() + aText->size(), number);
  if (error != std::errc{} || number < 0) {
    return std::nullopt;
  }
  return number;
}

/** The same spread for the same request, and no random source to share. */
std::uint64_t
hashOf(std::string_view aText)
{
  return std::hash<std::string_view>{}(aText);
}

} // namespace

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
  if (aExchange.streaming) {
    line.with("events", aExchange.events);
    line.with("first_ms", aExchange.firstEvent.count() / kMicrosPerMs);
    line.with("pause_ms", aExchange.longestPause.count() / kMicrosPerMs);
    line.with("repairs", aExchange.repairs);
  }
  this->shared.log.write(line);
}

void
RelayLoop::Impl::beginExchange(CallerConnection& aCaller, MessageHead aHead)
{
  auto owned = std::make_unique<Exchange>();
  Exchange& exchange = *owned;
  exchange.id = this->nextId++;
  exchange.caller = aCaller.id;
  exchange.body = aCaller.parser->takeBody();
  exchange.head = std::move(aHead);
  exchange.arrived = this->now;
  exchange.lastProgress = this->now;
  const HeaderList& headers = exchange.head.headers;
  exchange.requestId =
    std::string{ headers.find(this->names.requestId).value_or("") };
  if (const auto deadline = numberIn(headers.find(this->names.deadline))) {
    exchange.deadline = std::chrono::milliseconds{ *deadline };
  }
  exchange.giveUpAt = this->now + exchange.deadline.value_or(kUsualPatience);
  aCaller.exchange = exchange.id;
  aCaller.closeWhenAnswered = !aCaller.parser->keep_alive();
  this->exchanges.emplace(exchange.id, std::move(owned));
  ++this->openCount;
  this->budget.onRequest(this->now);
  this->admit(exchange);
}

/** Whether a request that came right after the start waits for what the relay
 * needs to know. Refused, it would have spent its caller's one return: after
 * all relays died, 140 callers came back to relays that had started 0.2 s
 * before they had read the configuration. */
bool
RelayLoop::Impl::waitsForStart(const Exchange& aExchange)
{
  this->refreshReplicas();
  const bool knows =
    this->shared.config.read() != nullptr && !this->view->replicas.empty();
  return !knows && this->now - this->startedAt < kStartPatience &&
         this->now - aExchange.arrived < kStartPatience;
}

/** Decides whether the request is served, and starts its first attempt. */
void
RelayLoop::Impl::admit(Exchange& aExchange)
{
  if (this->waitsForStart(aExchange)) {
    this->timers.arm(aExchange.id, this->now + kWaitPause);
    return;
  }
  const HeaderList& headers = aExchange.head.headers;
  aExchange.config = this->shared.config.read();
  const bool proper =
    aExchange.head.version == 11 && headers.count("host") == 1 &&
    !aExchange.requestId.empty() && headers.count(this->names.requestId) == 1 &&
    aExchange.head.target.starts_with('/');
  if (!proper) {
    this->refuse(
      aExchange, Error{ ErrorKind::BadRequest, "host, id or path" }, true);
    return;
  }
  if (this->shared.refusing) {
    this->refuse(aExchange, Error{ ErrorKind::Draining, "stopping" }, true);
    return;
  }
  const GateRequest asked{ *headers.find("host"),
                           aExchange.head.target,
                           std::string{
                             headers.find(this->names.apiKey).value_or("") },
                           aExchange.deadline };
  const auto verdict = admitRequest(
    aExchange.config.get(), this->shared.freshness.age(), this->gate, asked);
  if (const Error* error = std::get_if<Error>(&verdict)) {
    this->refuse(aExchange, *error, true);
    return;
  }
  const Admitted& admitted = std::get<Admitted>(verdict);
  aExchange.route = admitted.route;
  aExchange.account = admitted.account;
  aExchange.keyed = admitted.keyed;
  aExchange.giveUpAt = aExchange.arrived + admitted.patience;
  aExchange.service = this->pickService(aExchange);
  aExchange.need = this->needOf(aExchange);
  if (const auto last = numberIn(headers.find(this->names.lastEventId))) {
    aExchange.lastEvent = static_cast<std::uint64_t>(*last);
  }
  this->dispatch(aExchange);
}

bool
RelayLoop::Impl::fresh(const Exchange& aExchange) const
{
  return !aExchange.keyed || this->shared.freshness.age() <= this->gate.keyAge;
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
  Result<AttemptTarget> target = this->choose(aExchange);
  if (target && aExchange.owesRetry && !this->budget.tryRetry(this->now)) {
    target = fail(ErrorKind::Overloaded, "the retry budget is used up");
  }
  if (target) {
    aExchange.owesRetry = false;
    aExchange.waitingSince.reset();
    this->send(aExchange, target.value());
    return;
  }
  if (this->mayWait(aExchange, target.error().kind)) {
    this->timers.arm(aExchange.id, this->now + kWaitPause);
    return;
  }
  this->refuse(aExchange, target.error(), aExchange.runs == 0);
}

/** Whether a request without a path waits for one, a little longer. */
bool
RelayLoop::Impl::mayWait(Exchange& aExchange, ErrorKind aReason)
{
  // The caller of a started stream has part of it. One that has nothing yet
  // waits for memory that other answers free, while it can still be on time.
  const bool started = aExchange.answering;
  if (!started && aReason != ErrorKind::Overloaded) {
    return false;
  }
  if (!aExchange.waitingSince) {
    aExchange.waitingSince = this->now;
  }
  const Duration patience =
    started ? kResumePatience
            : std::min(kQueuePatience, aExchange.route->objective / 2);
  return this->now - *aExchange.waitingSince < patience;
}

void
RelayLoop::Impl::send(Exchange& aExchange, const AttemptTarget& aTarget)
{
  const bool recentOnly = aExchange.route->rule == RepeatRule::AtMostOnce;
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
  aExchange.lastProgress = this->now;
  aExchange.asking = false;
  ++aExchange.sends;
  this->book(aExchange);
  this->payCrossings(aExchange, aTarget.path);
  this->armExchange(aExchange);
  // The answer to HEAD names a length and has no body.
  connection.parser->skip(aExchange.head.method == "HEAD");
  connection.out = this->requestHead(aExchange, aTarget) + aExchange.body;
  if (connection.state == ReplicaConnection::State::Busy) {
    this->flushReplica(connection);
  }
}

std::string
RelayLoop::Impl::requestHead(const Exchange& aExchange,
                             const AttemptTarget& aTarget) const
{
  const MessageHead& head = aExchange.head;
  const RelayHeaderNames& own = this->names;
  const auto replaced = [&](std::string_view aName) {
    const std::array<std::string_view, 8> kOwn{
      own.apiKey, own.account, own.deadline,     own.expectReplica,
      own.path,   own.urgency, "content-length", "expect"
    };
    return std::any_of(kOwn.begin(), kOwn.end(), [&](std::string_view aOne) {
      return sameToken(aOne, aName);
    });
  };
  const bool resumed = aExchange.lastEvent && aExchange.answering;
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto add = [&text](std::string_view aName, std::string_view aValue) {
    text.append(aName).append(": ").append(aValue).append("\r\n");
  };
  for (const auto& [name, value] : head.headers.all()) {
    if (replaced(name) || isHopByHop(head.headers, name) ||
        (resumed && sameToken(name, own.lastEventId))) {
      continue;
    }
    add(name, value);
  }
  constexpr std::int64_t kMicrosPerMs = 1000;
  add(own.deadline,
      std::to_string(
        std::max<std::int64_t>((aExchange.giveUpAt - this->now).count(), 0) /
        kMicrosPerMs));
  add(own.expectReplica, aTarget.replica);
  if (aExchange.account != nullptr) {
    add(own.account, aExchange.account->name);
  }
  if (resumed) {
    add(own.lastEventId, std::to_string(*aExchange.lastEvent));
  }
  if (!aTarget.path.parts.empty()) {
    add(own.path, own.pathText(aTarget.path));
  }
  if (aExchange.service->engine) {
    const int urgency =
      aExchange.account != nullptr && aExchange.account->priority
        ? *aExchange.account->priority
        : aExchange.route->priority;
    constexpr int kLeastUrgent = 9;
    add(own.urgency, std::to_string(std::clamp(urgency, 0, kLeastUrgent)));
  }
  if (!aExchange.body.empty() || head.headers.count("content-length") > 0 ||
      head.headers.count("transfer-encoding") > 0) {
    add("Content-Length", std::to_string(aExchange.body.size()));
  }
  text.append("\r\n");
  return text;
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
    next = std::min(next, since + this->patienceOf(aExchange));
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
    if (this->now - since >= this->patienceOf(aExchange)) {
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
  this->unbook(aExchange);
  if (aMayHaveRun) {
    ++aExchange.runs;
  }
  aExchange.splitter.reset();
}

void
RelayLoop::Impl::endExchange(Exchange& aExchange)
{
  this->unbook(aExchange);
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
