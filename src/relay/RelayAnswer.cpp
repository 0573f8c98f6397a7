// What replicas answer, and how it reaches the caller.

#include <algorithm>
#include <array>
#include <cstdio>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

constexpr int kOk = 200;
constexpr int kMultiple = 300;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;

/** Attempts for one request, those that were refused included. */
constexpr int kMostSends = 4;

/** ... and for a stream of which the caller has part. When a zone is lost,
 * several copies are short of memory at once, and each refuses. */
constexpr int kMostStreamSends = 8;

bool
maySendAgain(const Exchange& aExchange)
{
  return aExchange.sends <
         (aExchange.answering ? kMostStreamSends : kMostSends);
}

bool
isSuccess(int aStatus)
{
  return aStatus >= kOk && aStatus < kMultiple;
}

/** One chunk of a body of unknown length. */
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

} // namespace

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

void
RelayLoop::Impl::onAnswerHead(Exchange& aExchange,
                              ReplicaConnection& aConnection)
{
  const MessageHead& head = aConnection.parser->head();
  this->noteLimit(aExchange, head);
  const bool notRun = head.headers.find(this->names.notRun).has_value() ||
                      head.status == kMisdirected;
  if (notRun) {
    this->onNotRun(aExchange, head);
    return;
  }
  const bool stamped = head.headers.find(this->names.stamp).has_value();
  if (isSuccess(head.status) && !stamped) {
    this->onBroken(aExchange, ReplicaFailure::Faulty, "no stamp");
    return;
  }
  if (isSuccess(head.status) && aExchange.route->rule == RetryRule::Stream) {
    aExchange.streaming = true;
  }
}

void
RelayLoop::Impl::onAnswerBody(Exchange& aExchange,
                              ReplicaConnection& aConnection)
{
  const int status = aConnection.parser->head().status;
  if (aExchange.streaming && isSuccess(status)) {
    this->passEvents(aExchange, aConnection.parser->takeBody(), false);
  }
}

void
RelayLoop::Impl::passEvents(Exchange& aExchange,
                            const std::string& aBytes,
                            bool aEnd)
{
  std::string out;
  for (const StreamEvent& event : aExchange.splitter.feed(aBytes)) {
    // A run that goes on elsewhere may begin with what the caller has.
    if (event.id && aExchange.lastEvent && *event.id <= *aExchange.lastEvent) {
      continue;
    }
    if (event.id) {
      aExchange.lastEvent = event.id;
    }
    ++aExchange.events;
    out.append(event.bytes);
  }
  const auto caller = this->callers.find(aExchange.caller);
  if (caller == this->callers.end()) {
    return;
  }
  std::string text;
  const bool first = !aExchange.answering;
  if (first && (!out.empty() || aEnd)) {
    aExchange.answering = true;
    aExchange.firstEvent = this->now - aExchange.arrived;
    this->shared.metrics.observe("first_event_seconds", aExchange.firstEvent);
    const auto connection = this->connections.find(aExchange.connection);
    text = this->answerHead(aExchange,
                            connection->second->parser->head(),
                            "Transfer-Encoding: chunked\r\n");
  } else if (!out.empty()) {
    aExchange.longestPause =
      std::max(aExchange.longestPause, this->now - aExchange.lastProgress);
  }
  if (!out.empty()) {
    if (!aExchange.runningSince) {
      aExchange.runningSince = this->now;
    }
    this->endPrefill(aExchange);
    this->noteRepaired(aExchange);
    text.append(chunkOf(out));
    aExchange.lastProgress = this->now;
    aExchange.overdue = false;
  }
  if (aEnd) {
    text.append(kLastChunk);
  }
  if (!text.empty()) {
    this->sendToCaller(*caller->second, text);
  }
}

/** The first event after a repair tells how long it took. */
void
RelayLoop::Impl::noteRepaired(Exchange& aExchange)
{
  if (!aExchange.repairedAt) {
    return;
  }
  const Duration took = this->now - *aExchange.repairedAt;
  aExchange.repairedAt.reset();
  constexpr std::int64_t kMicrosPerMs = 1000;
  this->shared.metrics.observe("repair_seconds", took);
  this->shared.log.write(LogLine{ LogPart::Path, "moves_again" }
                           .with("id", aExchange.requestId)
                           .with("after_ms", took.count() / kMicrosPerMs));
}

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
  const bool stream = exchange.streaming && isSuccess(head.status);
  if (!isSuccess(head.status) && head.status >= kInternalError) {
    this->health.onFailure(exchange.replica, ReplicaFailure::Faulty, this->now);
    const bool again =
      exchange.route->rule == RetryRule::Idempotent &&
      exchange.runs + 1 < exchange.route->attempts &&
      exchange.sends < kMostSends &&
      this->budgetOf(exchange).tryRetry(retryNeedOf(exchange), this->now);
    if (again) {
      this->shared.metrics.countRetry(RetryReason::ReplicaFailed);
      exchange.avoid.insert(exchange.replica);
      exchange.connection = 0;
      this->removeLoad(exchange);
      ++exchange.runs;
      this->releaseReplica(connection);
      this->dispatch(exchange);
      return;
    }
  } else {
    this->health.onSuccess(exchange.replica);
  }
  if (exchange.answering && !stream) {
    // A resumed attempt failed after the stream's head had gone out.
    this->onBroken(exchange, ReplicaFailure::Faulty, "resume refused");
    return;
  }
  const std::string body = connection.parser->takeBody();
  if (stream) {
    this->passEvents(exchange, body, true);
  }
  if (isSuccess(head.status)) {
    this->noteServed(exchange);
  }
  exchange.connection = 0;
  this->releaseReplica(connection);
  if (!stream) {
    this->passWhole(exchange, head, body);
  }
  this->shared.metrics.count("answers_total");
  this->shared.metrics.observe("answer_seconds", this->now - exchange.arrived);
  this->logRequest(
    exchange, "answered", "status " + std::to_string(head.status));
  const auto caller = this->callers.find(exchange.caller);
  this->endExchange(exchange);
  if (caller != this->callers.end()) {
    this->onAnswerWritten(*caller->second);
  }
}

void
RelayLoop::Impl::passWhole(Exchange& aExchange,
                           const MessageHead& aHead,
                           const std::string& aBody)
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
  this->sendToCaller(*caller->second,
                     this->answerHead(aExchange, aHead, framing) + aBody);
}

/** The replica, or one on its path, says that the request did not run. */
void
RelayLoop::Impl::onNotRun(Exchange& aExchange, const MessageHead& aHead)
{
  std::string faulty = aExchange.replica;
  if (const auto at = aHead.headers.find(this->names.faultyReplica)) {
    const Result<Address> address = addressFromText(*at);
    const Replica* named = address ? this->replicaAt(address.value()) : nullptr;
    faulty = named != nullptr ? named->id : faulty;
  }
  const bool path = !aExchange.path.parts.empty();
  // Work that found no replica at a part of its path for the whole stall time
  // comes back as refused: that part is dead, not full.
  const bool stalled =
    path && this->now - aExchange.sentAt >= this->settings.stall * 3 / 4;
  this->health.onFailure(faulty,
                         stalled ? ReplicaFailure::Stalled
                                 : ReplicaFailure::Refused,
                         this->now);
  this->shared.log.write(LogLine{ LogPart::Path, "replica_refused" }
                           .with("id", aExchange.requestId)
                           .with("replica", faulty)
                           .with("status", aHead.status)
                           .with("stalled", stalled ? 1 : 0));
  aExchange.avoid.insert(faulty);
  this->dropAttempt(aExchange, false);
  // A started stream waits for the budget, and for a path, before it is cut.
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

/** The present attempt has ended without a whole answer. */
void
RelayLoop::Impl::onBroken(Exchange& aExchange,
                          ReplicaFailure aFailure,
                          std::string_view aCause)
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const bool ran = this->mayHaveRun(aExchange);
  this->health.onFailure(aExchange.replica, aFailure, this->now);
  this->shared.log.write(
    LogLine{ LogPart::Path, "attempt_broken" }
      .with("id", aExchange.requestId)
      .with("replica", aExchange.replica)
      .with("cause", aCause)
      .with("sent", ran ? 1 : 0)
      .with("events", aExchange.events)
      .with("content", toText(contentOf(aExchange)))
      .with("there_ms", (this->now - aExchange.sentAt).count() / kMicrosPerMs));
  aExchange.avoid.insert(aExchange.replica);
  this->dropAttempt(aExchange, ran);
  const RelayRoute& route = *aExchange.route;
  const bool repeatable = route.rule == RetryRule::Idempotent ||
                          (route.rule == RetryRule::Stream && route.resumable);
  const bool allowed = !ran || (repeatable && aExchange.runs < route.attempts);
  if (aFailure == ReplicaFailure::Unreachable) {
    this->publishLostReplicas();
    this->confirmCrashes();
  }
  if (allowed && maySendAgain(aExchange)) {
    this->shared.metrics.countRetry(aExchange.answering
                                      ? RetryReason::StreamBroken
                                      : RetryReason::ReplicaFailed);
    aExchange.needsRetryBudget = true;
    this->dispatch(aExchange);
    return;
  }
  this->refuse(aExchange,
               Error{ ran || aExchange.runs > 0 ? ErrorKind::OutcomeUnknown
                                                : ErrorKind::NoRoute,
                      "the replica was lost" },
               aExchange.runs == 0);
}

} // namespace poplartrack
