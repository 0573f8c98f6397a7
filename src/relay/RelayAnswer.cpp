// Answers of replicas: their head, and the end of those that are no streams.

#include <utility>

#include "HttpStatus.h"
#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

constexpr int kMisdirectedRequest = 421;
constexpr int kInternalError = 500;

} // namespace

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
  this->endDoubt(aExchange);
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
  const bool isFailure = head.status >= kInternalError ||
                         (aExchange.answering && !isSuccess(head.status));
  if (isFailure && aExchange.replaced) {
    this->onAttemptFailed(aExchange, ReplicaFailure::Faulty, "failed");
    return;
  }
  if (isSuccess(head.status) && aExchange.route->rule == RetryRule::Stream &&
      aExchange.head.method != "HEAD") {
    // A replaced attempt goes on until the first event.
    aExchange.streaming = true;
    return;
  }
  this->dropReplaced(aExchange);
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
  this->endAttempt(aExchange, true);
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

} // namespace poplartrack
