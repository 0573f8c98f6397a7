// Bytes received from replicas: matching answers to requests, and the end of
// connections.

#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "HttpStatus.h"
#include "RelayLoopImpl.h"

namespace poplartrack {

/** Reads once from a replica and parses the bytes. */
void
RelayLoop::Impl::readReplica(ReplicaConnection& aConnection)
{
  std::array<char, kReadBytes> bytes;
  const ssize_t count =
    ::recv(aConnection.fd.get(), bytes.data(), bytes.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    const ConnectionEnd end = aConnection.endJudge.endOf(count < 0 ? errno : 0);
    this->onReplicaDisconnected(aConnection.id, end, nameOf(end));
    return;
  }
  if (aConnection.state == ReplicaConnection::State::Idle) {
    // Bytes that belong to no request, such as a second answer. Later answers
    // on this connection could not be told apart from them.
    this->shared.metrics.count("replica_stray_bytes_total");
    this->closeReplica(aConnection.id);
    return;
  }
  const std::uint64_t id = aConnection.id;
  const bool isBulk =
    this->countBulk(aConnection, static_cast<std::size_t>(count));
  const TimePoint before = isBulk ? this->clock() : TimePoint{};
  aConnection.input.append(bytes.data(), static_cast<std::size_t>(count));
  this->held += static_cast<std::size_t>(count);
  this->parseReplicaInput(id);
  if (isBulk) {
    this->bulkReads.record(this->clock() - before);
  }
  const auto still = this->connections.find(id);
  if (still != this->connections.end() &&
      still->second->state == ReplicaConnection::State::Busy) {
    this->pauseIfDue(*still->second);
  }
}

/** Parses buffered bytes, answer by answer. */
void
RelayLoop::Impl::parseReplicaInput(std::uint64_t aConnection)
{
  while (true) {
    const auto found = this->connections.find(aConnection);
    if (found == this->connections.end() || found->second->input.empty() ||
        found->second->state != ReplicaConnection::State::Busy) {
      return;
    }
    if (!this->parseNextAnswer(*found->second)) {
      return;
    }
  }
}

/** Parses buffered bytes of one answer. Returns true if that answer was skipped
 * and another one may follow it. */
bool
RelayLoop::Impl::parseNextAnswer(ReplicaConnection& aConnection)
{
  const std::uint64_t id = aConnection.id;
  ResponseParser& parser = *aConnection.parser;
  aConnection.input.erase(0, parser.feed(aConnection.input));
  const auto found = this->exchanges.find(aConnection.exchange);
  if (found == this->exchanges.end()) {
    this->closeReplica(id);
    return false;
  }
  Exchange& exchange = *found->second;
  if (parser.problem() == ParseProblem::Malformed) {
    this->onUnreadableAnswer(exchange, aConnection);
    return false;
  }
  const bool hasNewHead = parser.is_header_done() && !aConnection.headHandled;
  if (hasNewHead && isInterim(parser.head().status)) {
    return this->skipInterim(exchange, aConnection);
  }
  if (isReplaced(exchange, id) &&
      (!parser.is_header_done() ||
       !this->onReplacedAnswer(exchange, aConnection))) {
    return false;
  }
  if (hasNewHead && !this->handleHead(exchange, aConnection)) {
    return false;
  }
  if (!aConnection.discardingAnswer && parser.unreadBytes() > 0) {
    this->onAnswerBody(exchange, aConnection);
    if (!this->connections.contains(id)) {
      return false;
    }
  }
  if (const auto excess = this->excessIn(exchange, aConnection)) {
    this->onExcess(exchange, *excess);
    return false;
  }
  if (aConnection.discardingAnswer) {
    return this->discardAnswer(aConnection);
  }
  if (parser.is_done()) {
    ++aConnection.answersRead;
    this->onAnswerDone(aConnection.exchange, id);
  }
  return false;
}

/** Ends the attempt whose replica has sent bytes that are no answer. */
void
RelayLoop::Impl::onUnreadableAnswer(Exchange& aExchange,
                                    const ReplicaConnection& aConnection)
{
  this->shared.metrics.count("answers_unreadable_total");
  if (isReplaced(aExchange, aConnection.id)) {
    this->health.onFailure(
      aConnection.replica, ReplicaFailure::Faulty, this->now);
    this->dropReplaced(aExchange);
    return;
  }
  this->recordPossibleCrash(aExchange, ConnectionEnd::Broken);
  this->recordFailedStart(aExchange);
  this->onAttemptFailed(aExchange, ReplicaFailure::Faulty, "unreadable");
}

/** Handles the head of an answer. Returns whether the connection is still
 * there. */
bool
RelayLoop::Impl::handleHead(Exchange& aExchange, ReplicaConnection& aConnection)
{
  const std::uint64_t id = aConnection.id;
  const MessageHead& head = aConnection.parser->head();
  aConnection.headHandled = true;
  const auto echo = head.headers.find(this->names.requestId);
  // The id of another request: a late or repeated answer to an earlier one.
  aConnection.discardingAnswer = echo && *echo != aExchange.requestId;
  aExchange.reportedLimit =
    this->readSignals(aConnection, head, !aConnection.discardingAnswer)
      .rateLimit;
  if (!echo && aConnection.answersRead > 0) {
    this->onReplicaDisconnected(id, ConnectionEnd::Broken, "answer without id");
    return false;
  }
  if (aConnection.discardingAnswer) {
    ++aConnection.foreignAnswers;
    this->shared.metrics.count("replica_foreign_answers_total");
    return true;
  }
  this->onAnswerHead(aExchange, aConnection);
  return this->connections.contains(id);
}

/** Skips an interim answer (1xx), which says nothing of the outcome. Returns
 * whether another answer may follow it. */
bool
RelayLoop::Impl::skipInterim(Exchange& aExchange,
                             ReplicaConnection& aConnection)
{
  ++aConnection.interimAnswers;
  if (const auto excess = this->excessIn(aExchange, aConnection)) {
    if (isReplaced(aExchange, aConnection.id)) {
      this->dropReplaced(aExchange);
    } else {
      this->onExcess(aExchange, *excess);
    }
    return false;
  }
  this->resetParser(aConnection);
  return true;
}

/** Drops what has arrived of an answer to another request. Returns true at its
 * end. */
bool
RelayLoop::Impl::discardAnswer(ReplicaConnection& aConnection)
{
  aConnection.parser->takeBodyBlocks();
  if (!aConnection.parser->is_done()) {
    return false;
  }
  aConnection.foreignBytes += aConnection.parser->consumedBytes();
  this->resetParser(aConnection);
  return true;
}

/** Handles the end of a connection. Unless that is also the end of its answer,
 * the attempt fails. */
void
RelayLoop::Impl::onReplicaDisconnected(std::uint64_t aConnection,
                                       ConnectionEnd aEnd,
                                       std::string_view aCause)
{
  const bool isFinished = aEnd == ConnectionEnd::Finished;
  const auto found = this->connections.find(aConnection);
  if (found == this->connections.end()) {
    return;
  }
  ReplicaConnection& connection = *found->second;
  const auto exchange = this->exchanges.find(connection.exchange);
  if (exchange == this->exchanges.end() ||
      connection.state == ReplicaConnection::State::Idle) {
    this->closeReplica(aConnection);
    return;
  }
  if (exchange->second->next &&
      exchange->second->next->connection == aConnection) {
    this->onNextUnreachable(*exchange->second,
                            aEnd == ConnectionEnd::NotListening
                              ? ReplicaFailure::Exited
                              : ReplicaFailure::Unreachable);
    return;
  }
  if (isReplaced(*exchange->second, aConnection) &&
      !this->onReplacedDisconnected(
        *exchange->second, connection, isFinished)) {
    return;
  }
  ResponseParser& parser = *connection.parser;
  const bool endsAtClose = isFinished && connection.headHandled &&
                           !connection.discardingAnswer && parser.need_eof() &&
                           parser.problem() == ParseProblem::None &&
                           this->mayEndAtClose(*exchange->second, parser);
  if (endsAtClose) {
    parser.feedEnd();
    if (parser.problem() == ParseProblem::None) {
      this->onAnswerDone(connection.exchange, aConnection);
      this->closeReplica(aConnection);
      return;
    }
  }
  const bool connecting =
    connection.state == ReplicaConnection::State::Connecting;
  this->recordPossibleCrash(*exchange->second, aEnd);
  if (!connecting) {
    this->recordFailedStart(*exchange->second);
  }
  this->onAttemptFailed(*exchange->second,
                        aEnd == ConnectionEnd::NotListening
                          ? ReplicaFailure::Exited
                          : failureOf(connecting, connection.headHandled),
                        aCause);
}

} // namespace poplartrack
