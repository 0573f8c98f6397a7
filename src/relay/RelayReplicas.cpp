// Connections to replicas: opening, keeping, reading, closing.

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

#include "RelayLoopImpl.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Largest head of an answer. */
constexpr std::size_t kMostHead = std::size_t{ 64 } * 1024;

/** Unacknowledged bytes and unanswered keep-alive probes end a connection
 * after this: a path that was cut says nothing by itself. Two seconds is above
 * the repetitions that a lossy link needs and below the stall bound. */
constexpr int kUserTimeoutMs = 2'000;

/** How long an idle connection is kept when the replica names no time. */
constexpr Duration kIdleDefault = std::chrono::seconds{ 4 };

/** An idle connection is given up this long before the replica would. */
constexpr Duration kIdleMargin = std::chrono::milliseconds{ 700 };

/** A request that must not run twice uses only a connection that carried an
 * answer this lately: replicas drop idle connections, and a request that meets
 * the drop ends with an unknown outcome. */
constexpr Duration kRecent = std::chrono::milliseconds{ 900 };

void
keepWatch(int aFd)
{
  const int one = 1;
  ::setsockopt(aFd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  ::setsockopt(aFd, IPPROTO_TCP, TCP_KEEPIDLE, &one, sizeof one);
  ::setsockopt(aFd, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof one);
  ::setsockopt(
    aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
}

/** The time that an answer says its connection may stay idle. */
Duration
idleTime(const MessageHead& aHead)
{
  const auto field = aHead.headers.find("keep-alive");
  constexpr std::string_view kTimeout = "timeout=";
  if (!field) {
    return kIdleDefault;
  }
  const std::size_t at = field->find(kTimeout);
  if (at == std::string_view::npos) {
    return kIdleDefault;
  }
  const std::string_view text = field->substr(at + kTimeout.size());
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::max<Duration>(std::chrono::seconds{ seconds } - kIdleMargin,
                            Duration{ 0 });
}

} // namespace

void
RelayLoop::Impl::resetParser(ReplicaConnection& aConnection)
{
  // Answers have no bound here: what the replica answers is the caller's.
  aConnection.parser = std::make_unique<ResponseParser>(kMostHead, 0);
  aConnection.headSeen = false;
  aConnection.discarding = false;
}

Result<ReplicaConnection*>
RelayLoop::Impl::connectionTo(const AttemptTarget& aTarget, bool aRecentOnly)
{
  auto& kept = this->idle[aTarget.replica];
  while (!kept.empty()) {
    const auto found = this->connections.find(kept.back());
    kept.pop_back();
    if (found == this->connections.end()) {
      continue;
    }
    ReplicaConnection& connection = *found->second;
    const bool recent = this->now - connection.idleSince < kRecent;
    if (connection.idleUntil <= this->now || (aRecentOnly && !recent)) {
      this->closeReplica(connection.id);
      continue;
    }
    connection.state = ReplicaConnection::State::Busy;
    connection.anySent = false;
    this->resetParser(connection);
    return &connection;
  }
  Result<OwnedFd> fd = connectTcp(aTarget.address);
  if (!fd) {
    return fd.error();
  }
  auto connection = std::make_unique<ReplicaConnection>();
  connection->id = this->nextId++;
  connection->fd = std::move(fd).value();
  connection->replica = aTarget.replica;
  connection->address = aTarget.address;
  connection->watchesWrite = true;
  setNoDelay(connection->fd.get());
  keepWatch(connection->fd.get());
  this->resetParser(*connection);
  if (!this->poller.add(connection->fd.get(), connection->id, true)) {
    return fail(ErrorKind::Network, "epoll takes no more descriptors");
  }
  this->shared.metrics.count("replica_connects_total");
  ReplicaConnection* opened = connection.get();
  this->connections.emplace(opened->id, std::move(connection));
  return opened;
}

void
RelayLoop::Impl::onReplicaEvent(ReplicaConnection& aConnection,
                                const ReadyEvent& aEvent)
{
  const std::uint64_t id = aConnection.id;
  if (aConnection.state == ReplicaConnection::State::Connecting) {
    if (aEvent.writable || aEvent.readable) {
      this->onReplicaConnected(aConnection);
    }
    return;
  }
  if (aEvent.writable && aConnection.watchesWrite) {
    this->flushReplica(aConnection);
  }
  const auto still = this->connections.find(id);
  if (aEvent.readable && still != this->connections.end()) {
    this->readReplica(*still->second);
  }
}

void
RelayLoop::Impl::onReplicaConnected(ReplicaConnection& aConnection)
{
  if (connectError(aConnection.fd.get()) != 0) {
    this->onReplicaEnd(aConnection.id, false, "not connected");
    return;
  }
  aConnection.state = ReplicaConnection::State::Busy;
  this->flushReplica(aConnection);
}

void
RelayLoop::Impl::flushReplica(ReplicaConnection& aConnection)
{
  const auto exchange = this->exchanges.find(aConnection.exchange);
  if (!aConnection.anySent && !aConnection.out.empty() &&
      exchange != this->exchanges.end() &&
      !this->isConfigFresh(*exchange->second)) {
    // The process may have been suspended since the gate let the request
    // through; its key may be gone by now. Not a byte of it has left.
    Exchange& stale = *exchange->second;
    this->dropAttempt(stale, false);
    this->refuse(
      stale,
      Error{ ErrorKind::NoConfiguration, "the configuration has become old" },
      true);
    return;
  }
  while (!aConnection.out.empty()) {
    const ssize_t count = ::send(aConnection.fd.get(),
                                 aConnection.out.data(),
                                 aConnection.out.size(),
                                 MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        break;
      }
      // A reset: what had come before it may still be read.
      aConnection.out.clear();
      this->watchReplica(aConnection, false);
      this->readReplica(aConnection);
      return;
    }
    aConnection.anySent = true;
    aConnection.out.erase(0, static_cast<std::size_t>(count));
  }
  this->watchReplica(aConnection, !aConnection.out.empty());
}

void
RelayLoop::Impl::watchReplica(ReplicaConnection& aConnection, bool aWrite)
{
  if (aConnection.watchesWrite != aWrite) {
    aConnection.watchesWrite = aWrite;
    this->poller.change(aConnection.fd.get(), aConnection.id, aWrite);
  }
}

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
    this->onReplicaEnd(aConnection.id, false, "silent", ConnectionEnd::Silent);
    return;
  }
  if (count <= 0) {
    this->onReplicaEnd(
      aConnection.id, count == 0, count == 0 ? "closed" : "reset");
    return;
  }
  if (aConnection.state == ReplicaConnection::State::Idle) {
    // Bytes that no request asked for, such as a second answer: nothing that
    // follows on this connection could be told apart from them.
    this->shared.metrics.count("replica_stray_bytes_total");
    this->closeReplica(aConnection.id);
    return;
  }
  aConnection.in.append(bytes.data(), static_cast<std::size_t>(count));
  this->feedReplica(aConnection.id);
}

void
RelayLoop::Impl::feedReplica(std::uint64_t aConnection)
{
  while (true) {
    const auto found = this->connections.find(aConnection);
    if (found == this->connections.end() || found->second->in.empty() ||
        found->second->state != ReplicaConnection::State::Busy) {
      return;
    }
    if (!this->feedOnce(*found->second)) {
      return;
    }
  }
}

/** Parses what has come; true when an answer was dropped and another one may
 * follow it. */
bool
RelayLoop::Impl::feedOnce(ReplicaConnection& aConnection)
{
  const std::uint64_t id = aConnection.id;
  ResponseParser& parser = *aConnection.parser;
  aConnection.in.erase(0, parser.feed(aConnection.in));
  const auto found = this->exchanges.find(aConnection.exchange);
  if (found == this->exchanges.end()) {
    this->closeReplica(id);
    return false;
  }
  if (parser.problem() != ParseProblem::None) {
    this->onReplicaEnd(id, false, "unreadable");
    return false;
  }
  if (parser.is_header_done() && !aConnection.headSeen) {
    aConnection.headSeen = true;
    const auto echo = parser.head().headers.find(this->names.requestId);
    // A late or second answer of an earlier request: the id tells.
    aConnection.discarding = echo && *echo != found->second->requestId;
    if (!echo && aConnection.answers > 0) {
      this->onReplicaEnd(id, false, "answer without id");
      return false;
    }
    if (!aConnection.discarding) {
      this->onAnswerHead(*found->second, aConnection);
    } else {
      this->shared.metrics.count("replica_foreign_answers_total");
    }
    if (!this->connections.contains(id)) {
      return false;
    }
  }
  if (aConnection.discarding) {
    parser.takeBody();
    if (!parser.is_done()) {
      return false;
    }
    this->resetParser(aConnection);
    return true;
  }
  if (!parser.unread().empty() && parser.is_header_done()) {
    this->onAnswerBody(*found->second, aConnection);
    if (!this->connections.contains(id)) {
      return false;
    }
  }
  if (parser.is_done()) {
    ++aConnection.answers;
    this->onAnswerDone(aConnection.exchange, id);
  }
  return false;
}

/** The connection has ended; cleanly when the replica closed it. */
void
RelayLoop::Impl::onReplicaEnd(std::uint64_t aConnection,
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
  const bool endsWithIt = aClean && connection.headSeen &&
                          !connection.discarding && parser.need_eof() &&
                          parser.problem() == ParseProblem::None &&
                          !exchange->second->splitter.inside();
  if (endsWithIt) {
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
  this->onAttemptFailed(
    *exchange->second, failureOf(connecting, connection.headSeen), aCause);
}

/** The answer is whole: the connection is kept if nothing speaks against it. */
void
RelayLoop::Impl::releaseReplica(ReplicaConnection& aConnection)
{
  const MessageHead& head = aConnection.parser->head();
  const Duration keep = idleTime(head);
  // Bytes left over belong to no request; a request that was answered before
  // it was written whole would be cut off in the middle of its body.
  const bool clean = aConnection.in.empty() && aConnection.out.empty() &&
                     aConnection.parser->keep_alive() && keep > Duration{ 0 } &&
                     aConnection.parser->is_done();
  if (!clean) {
    this->closeReplica(aConnection.id);
    return;
  }
  aConnection.exchange = 0;
  aConnection.state = ReplicaConnection::State::Idle;
  aConnection.idleSince = this->now;
  aConnection.idleUntil = this->now + keep;
  this->idle[aConnection.replica].push_back(aConnection.id);
}

void
RelayLoop::Impl::closeReplica(std::uint64_t aId)
{
  const auto found = this->connections.find(aId);
  if (found == this->connections.end()) {
    return;
  }
  this->connections.erase(found);
}

void
RelayLoop::Impl::closeStaleIdle(TimePoint aNow)
{
  for (auto& [replica, kept] : this->idle) {
    std::erase_if(kept, [&](std::uint64_t aId) {
      const auto found = this->connections.find(aId);
      if (found == this->connections.end()) {
        return true;
      }
      if (found->second->idleUntil > aNow) {
        return false;
      }
      this->closeReplica(aId);
      return true;
    });
  }
  std::erase_if(this->idle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace poplartrack
