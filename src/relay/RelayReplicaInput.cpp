// Bytes received from replicas: matching answers to requests, and the end of
// connections.

#include <sys/socket.h>

#include <array>
#include <cerrno>

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
  if (count < 0 && errno == ETIMEDOUT) {
    this->onReplicaDisconnected(
      aConnection.id, false, "silent", ConnectionEnd::Silent);
    return;
  }
  if (count <= 0) {
    this->onReplicaDisconnected(
      aConnection.id, count == 0, count == 0 ? "closed" : "reset");
    return;
  }
  if (aConnection.state == ReplicaConnection::State::Idle) {
    // Bytes that belong to no request, such as a second answer. Later answers
    // on this connection could not be told apart from them.
    this->shared.metrics.count("replica_stray_bytes_total");
    this->closeReplica(aConnection.id);
    return;
  }
  aConnection.input.append(bytes.data(), static_cast<std::size_t>(count));
  this->held += static_cast<std::size_t>(count);
  const std::uint64_t id = aConnection.id;
  this->parseReplicaInput(id);
  const auto still = this->connections.find(id);
  if (still != this->connections.end() &&
      still->second->state == ReplicaConnection::State::Busy) {
    this->pauseIfTooMuchHeld(*still->second);
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

/** Parses buffered bytes of one answer. Returns true if that answer was
 * discarded and another one may follow it. */
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
  if (parser.problem() != ParseProblem::None) {
    this->onReplicaDisconnected(id, false, "unreadable");
    return false;
  }
  if (parser.is_header_done() && !aConnection.headHandled) {
    aConnection.headHandled = true;
    const auto echo = parser.head().headers.find(this->names.requestId);
    // The id of another request: a late or repeated answer to an earlier one.
    aConnection.discardingAnswer = echo && *echo != found->second->requestId;
    found->second->reportedLimit =
      this
        ->readSignals(aConnection, parser.head(), !aConnection.discardingAnswer)
        .rateLimit;
    if (!echo && aConnection.answersRead > 0) {
      this->onReplicaDisconnected(id, false, "answer without id");
      return false;
    }
    if (!aConnection.discardingAnswer) {
      this->onAnswerHead(*found->second, aConnection);
    } else {
      this->shared.metrics.count("replica_foreign_answers_total");
    }
    if (!this->connections.contains(id)) {
      return false;
    }
  }
  if (aConnection.discardingAnswer) {
    parser.takeBody();
    if (!parser.is_done()) {
      return false;
    }
    this->resetParser(aConnection);
    return true;
  }
  if (!parser.unreadBody().empty() && parser.is_header_done()) {
    this->onAnswerBody(*found->second, aConnection);
    if (!this->connections.contains(id)) {
      return false;
    }
  }
  if (parser.is_done()) {
    ++aConnection.answersRead;
    this->onAnswerDone(aConnection.exchange, id);
  }
  return false;
}

/** Handles the end of a connection. aClean says that the replica closed it,
 * which may be the end of an answer without a length. Otherwise the attempt
 * fails. */
void
RelayLoop::Impl::onReplicaDisconnected(std::uint64_t aConnection,
                                       bool aClean,
                                       std::string_view aCause,
                                       ConnectionEnd aEnd)
{
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
  ResponseParser& parser = *connection.parser;
  const bool endsAtClose = aClean && connection.headHandled &&
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
  this->onAttemptFailed(
    *exchange->second, failureOf(connecting, connection.headHandled), aCause);
}

} // namespace poplartrack
