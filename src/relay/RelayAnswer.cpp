// Answers of replicas: forwarding them to the caller, and retrying attempts
// that were refused or failed.

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "HttpStatus.h"
#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

constexpr int kMisdirectedRequest = 421;
constexpr int kInternalError = 500;

/** Maximum number of attempts for one request, including refused ones. */
constexpr int kMaxSends = 4;

/** The same for a stream that the caller has received in part. When a zone is
 * lost, several copies of the model are short of memory at once, and each
 * refuses the stream. */
constexpr int kMaxStreamSends = 8;

bool
maySendAgain(const Exchange& aExchange)
{
  return aExchange.sends < (aExchange.answering ? kMaxStreamSends : kMaxSends);
}

/** Formats one chunk of a chunked body. */
std::string
chunkOf(std::string_view aBytes)
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string text{ size.data() };
  text.append(aBytes).append("\r\n");
  return text;
}

constexpr std::string_view kLastChunk = "0\r\n\r\n";

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

/** Formats the head of the answer for the caller: the replica's without
 * hop-by-hop fields, plus aFraming. The caller's connection is closed after the
 * answer if the relay drains. */
std::string
RelayLoop::Impl::answerHead(const Exchange& aExchange,
                            const MessageHead& aHead,
                            std::string_view aFraming) const
{
  std::string text = "HTTP/1.1 " + std::to_string(aHead.status) + " ";
  text.append(aHead.reason).append("\r\n");
  for (const auto& [name, value] : aHead.headers.all()) {
    if (isHopByHop(aHead.headers, name) || sameToken(name, "content-length")) {
      continue;
    }
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append(aFraming);
  const auto caller = this->callers.find(aExchange.caller);
  if (caller != this->callers.end()) {
    CallerConnection& connection = *caller->second;
    connection.closeWhenAnswered =
      connection.closeWhenAnswered || this->shared.draining;
  }
  if (caller != this->callers.end() && caller->second->closeWhenAnswered) {
    text.append("Connection: close\r\n");
  }
  text.append("\r\n");
  return text;
}

/** Handles the head of an answer. Retries a request that was not executed, and
 * one whose successful answer lacks the stamp that proves that a replica sent
 * it. */
void
RelayLoop::Impl::onAnswerHead(Exchange& aExchange,
                              ReplicaConnection& aConnection)
{
  const MessageHead& head = aConnection.parser->head();
  const bool notExecuted = head.headers.find(this->names.notRun).has_value() ||
                           head.status == kMisdirectedRequest;
  if (notExecuted) {
    this->onNotExecuted(aExchange, head);
    return;
  }
  const bool stamped = head.headers.find(this->names.stamp).has_value();
  if (isSuccess(head.status) && !stamped) {
    this->onAttemptFailed(aExchange, ReplicaFailure::Faulty, "no stamp");
    return;
  }
  if (isSuccess(head.status) && aExchange.route->rule == RetryRule::Stream &&
      aExchange.head.method != "HEAD") {
    aExchange.streaming = true;
  }
}

/** Returns whether an answer with this status is the stream of the exchange. */
bool
RelayLoop::Impl::isStream(const Exchange& aExchange, int aStatus)
{
  return aExchange.streaming && isSuccess(aStatus);
}

/** Forwards the part of a stream that has been received. Other answers are
 * forwarded whole, by onAnswerDone. */
void
RelayLoop::Impl::onAnswerBody(Exchange& aExchange,
                              ReplicaConnection& aConnection)
{
  if (isStream(aExchange, aConnection.parser->head().status)) {
    const std::string bytes = aConnection.parser->takeBody();
    this->forwardEvents(aExchange, takeNewEvents(aExchange, bytes), false);
  }
}

/** Returns the complete events among the bytes that the caller does not have
 * yet, as received. */
std::string
RelayLoop::Impl::takeNewEvents(Exchange& aExchange, std::string_view aBytes)
{
  std::string text;
  for (const StreamEvent& event : aExchange.splitter.feed(aBytes)) {
    // A resumed run may repeat events that the caller has already received.
    if (event.id && aExchange.lastEvent && *event.id <= *aExchange.lastEvent) {
      continue;
    }
    if (event.id) {
      aExchange.lastEvent = event.id;
    }
    aExchange.hasUnnumberedEvent =
      aExchange.hasUnnumberedEvent || (event.hasData && !event.id);
    if (event.hasData || event.id) {
      ++aExchange.attemptEvents;
      aExchange.hasLostPartialEvent = false;
    }
    ++aExchange.events;
    text.append(event.bytes);
  }
  return text;
}

/** Returns whether a stream whose body has ended in the regular way is
 * complete. A replica may stop inside an event, or before the first one. A run
 * that goes on after an event and brings none says that there are no more; that
 * is true if another replica says so, too. */
bool
RelayLoop::Impl::isCompleteStream(Exchange& aExchange)
{
  if (!aExchange.splitter.endsBetweenEvents()) {
    return false;
  }
  if (aExchange.attemptEvents > 0) {
    return true;
  }
  return aExchange.lastEvent && !aExchange.hasLostPartialEvent &&
         aExchange.emptyEnds++ > 0;
}

/** Returns whether the end of the connection may be the end of the answer. A
 * stream without an event cannot be told from one whose replica crashed. */
bool
RelayLoop::Impl::mayEndAtClose(const Exchange& aExchange,
                               const ResponseParser& aParser)
{
  return !isStream(aExchange, aParser.head().status) ||
         (aExchange.attemptEvents > 0 &&
          aExchange.splitter.endsBetweenEvents());
}

/** Forwards events to the caller, the first ones with the head of the answer.
 * With aEnd, also ends the chunked body. */
void
RelayLoop::Impl::forwardEvents(Exchange& aExchange,
                               const std::string& aEvents,
                               bool aEnd)
{
  const auto caller = this->callers.find(aExchange.caller);
  if (caller == this->callers.end()) {
    return;
  }
  std::string text;
  const bool first = !aExchange.answering;
  if (first && (!aEvents.empty() || aEnd)) {
    aExchange.answering = true;
    aExchange.firstEvent = this->now - aExchange.arrived;
    this->shared.metrics.observe("first_event_seconds", aExchange.firstEvent);
    const auto connection = this->connections.find(aExchange.connection);
    text = this->answerHead(aExchange,
                            connection->second->parser->head(),
                            "Transfer-Encoding: chunked\r\n");
  }
  if (!aEvents.empty()) {
    const bool firstOnPath = !aExchange.runningSince || aExchange.repairedAt;
    this->recordEventTime(aExchange);
    this->recordPace(aExchange);
    if (!aExchange.runningSince) {
      aExchange.runningSince = this->now;
      this->recordBegun(aExchange);
      this->recordAnswering(aExchange);
    }
    this->endPrefill(aExchange);
    this->recordRepairTime(aExchange);
    text.append(chunkOf(aEvents));
    aExchange.lastProgress = this->now;
    aExchange.progressDelay = this->clock() - this->now;
    aExchange.overdue = false;
    if (firstOnPath && this->settings.load.lossProbes) {
      // The timer was set by the forecast of the first event.
      this->armExchange(aExchange);
    }
  }
  if (aEnd) {
    text.append(kLastChunk);
  }
  if (!text.empty()) {
    this->sendToCaller(*caller->second, ByteBlocks{ std::move(text) });
  }
}

/** Records the arrival of events, and the pause of a stream that lost a replica
 * of its path before them. */
void
RelayLoop::Impl::recordEventTime(Exchange& aExchange)
{
  const bool lost = std::exchange(aExchange.disturbedByLoss, false);
  const bool first = !aExchange.eventTimes.last();
  const bool disturbed =
    lost || !aExchange.runningSince || aExchange.repairedAt.has_value();
  const Duration pause = aExchange.eventTimes.onEvents(this->now, disturbed);
  if (lost && !first) {
    this->shared.metrics.observe("loss_pause_seconds", pause);
  }
}

/** Returns the time since the last event of a stream, or since its attempt was
 * sent if it has none, in ms. */
std::int64_t
RelayLoop::Impl::lateMs(const Exchange& aExchange) const
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const TimePoint since =
    aExchange.eventTimes.last().value_or(aExchange.sentAt);
  return (this->now - since).count() / kMicrosPerMs;
}

/** Records the time from a repair to the first event after it. */
void
RelayLoop::Impl::recordRepairTime(Exchange& aExchange)
{
  if (!aExchange.repairedAt) {
    return;
  }
  const Duration duration = this->now - *aExchange.repairedAt;
  aExchange.repairedAt.reset();
  constexpr std::int64_t kMicrosPerMs = 1000;
  this->shared.metrics.observe("repair_seconds", duration);
  this->shared.log.write(LogLine{ LogPart::Path, "moves_again" }
                           .with("id", aExchange.requestId)
                           .with("after_ms", duration.count() / kMicrosPerMs));
}

/** Records an answer with a server error (5xx), and retries the request if it
 * may run again. Returns whether it is retried. */
bool
RelayLoop::Impl::onServerError(Exchange& aExchange,
                               ReplicaConnection& aConnection,
                               int aStatus)
{
  this->health.onFailure(aExchange.replica, ReplicaFailure::Faulty, this->now);
  // Deadlines also end at sound replicas that are overloaded.
  if (aStatus != kGatewayTimeout) {
    this->recordFailedStart(aExchange);
  }
  const bool retry =
    this->mayRunAgain(aExchange, aStatus) &&
    aExchange.runs + 1 < aExchange.route->attempts &&
    aExchange.sends < kMaxSends &&
    this->budgetOf(aExchange).tryRetry(retryNeedOf(aExchange), this->now);
  if (!retry) {
    return false;
  }
  this->shared.metrics.countRetry(RetryReason::ReplicaFailed);
  aExchange.avoid.insert(aExchange.replica);
  aExchange.connection = 0;
  this->removeLoad(aExchange);
  ++aExchange.runs;
  this->releaseReplica(aConnection);
  this->dispatch(aExchange);
  return true;
}

/** Handles the end of an answer: retries the request after a server error if it
 * may run again, else completes the answer to the caller. */
void
RelayLoop::Impl::onAnswerDone(std::uint64_t aExchange,
                              std::uint64_t aConnection)
{
  const auto found = this->exchanges.find(aExchange);
  const auto from = this->connections.find(aConnection);
  if (found == this->exchanges.end() || from == this->connections.end()) {
    return;
  }
  Exchange& exchange = *found->second;
  ReplicaConnection& connection = *from->second;
  const MessageHead head = connection.parser->head();
  const bool stream = isStream(exchange, head.status);
  if (head.status >= kInternalError) {
    if (this->onServerError(exchange, connection, head.status)) {
      return;
    }
  } else {
    this->health.onSuccess(exchange.replica);
  }
  if (exchange.answering && !stream) {
    // A resumed attempt failed after the head of the stream was sent.
    this->onAttemptFailed(exchange, ReplicaFailure::Faulty, "resume refused");
    return;
  }
  if (stream && !this->endStream(exchange, connection)) {
    return;
  }
  if (isSuccess(head.status)) {
    this->recordServed(exchange);
    if (!stream) {
      this->recordAnswering(exchange);
    }
  }
  ByteBlocks body = connection.parser->takeBodyBlocks();
  exchange.connection = 0;
  this->releaseReplica(connection);
  if (!stream) {
    this->forwardWholeAnswer(exchange, head, std::move(body));
  }
  this->shared.metrics.count("answers_total");
  this->shared.metrics.observe("answer_seconds", this->now - exchange.arrived);
  this->logRequest(
    exchange, "answered", "status " + std::to_string(head.status));
  const auto caller = this->callers.find(exchange.caller);
  ++exchange.runs;
  this->endExchange(exchange);
  if (caller != this->callers.end()) {
    this->onAnswerWritten(*caller->second);
  }
}

/** Forwards the end of a stream whose body has ended. Returns false if the
 * stream is not complete, and its attempt has failed. */
bool
RelayLoop::Impl::endStream(Exchange& aExchange, ReplicaConnection& aConnection)
{
  const std::string bytes = aConnection.parser->takeBody();
  std::string events = takeNewEvents(aExchange, bytes);
  const bool isComplete = this->isCompleteStream(aExchange);
  if (isComplete) {
    events.append(aExchange.splitter.takePartial());
  }
  this->forwardEvents(aExchange, events, isComplete);
  if (!isComplete) {
    this->onAttemptFailed(aExchange,
                          ReplicaFailure::Faulty,
                          aExchange.splitter.endsBetweenEvents()
                            ? "ended without an event"
                            : "ended inside an event");
  }
  return isComplete;
}

/** Sends an answer that is no stream to the caller. */
void
RelayLoop::Impl::forwardWholeAnswer(Exchange& aExchange,
                                    const MessageHead& aHead,
                                    ByteBlocks aBody)
{
  const auto caller = this->callers.find(aExchange.caller);
  if (caller == this->callers.end()) {
    return;
  }
  const auto length = aHead.headers.find("content-length");
  const std::string framing =
    "Content-Length: " +
    (aExchange.head.method == "HEAD" && length ? std::string{ *length }
                                               : std::to_string(aBody.size())) +
    "\r\n";
  ByteBlocks answer{ this->answerHead(aExchange, aHead, framing) };
  answer.append(std::move(aBody));
  this->sendToCaller(*caller->second, std::move(answer));
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
    this->recordPossibleCrashAt(aExchange, faulty, false);
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
  this->dropAttempt(aExchange, possiblyRan);
  const RelayRoute& route = *aExchange.route;
  const bool isRepeatable = route.rule == RetryRule::Idempotent ||
                            (route.rule == RetryRule::Stream &&
                             route.resumable && !aExchange.hasUnnumberedEvent);
  const bool retryAllowed =
    !possiblyRan || (isRepeatable && aExchange.runs < route.attempts);
  if (aFailure == ReplicaFailure::Unreachable) {
    this->publishLostReplicas();
    this->confirmCrashes();
  }
  if (retryAllowed && maySendAgain(aExchange)) {
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
