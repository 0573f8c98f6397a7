// Connections to replicas: opening, reusing, reading, closing.

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

#include "RelayLoopImpl.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** TCP_USER_TIMEOUT in milliseconds: a connection with unacknowledged bytes or
 * unanswered keep-alive probes is closed after this time. Without it, a broken
 * network path goes unnoticed. Two seconds leave time for the retransmissions
 * of a lossy link and are below the stall bound. */
constexpr int kUserTimeoutMs = 2'000;

/** How long an idle connection is kept if the replica sends no timeout. */
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds{ 4 };

/** An idle connection is closed this long before the replica would close it. */
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds{ 700 };

/** A request that must not run twice reuses a connection only if it has been
 * idle for less than this. Replicas close idle connections, and a request that
 * is sent just then ends with an unknown outcome. */
constexpr Duration kMaxIdleForSingleRun = std::chrono::milliseconds{ 900 };

/** Makes the kernel detect an unresponsive replica: TCP keep-alive probes every
 * second, and kUserTimeoutMs. */
void
enableKeepAlive(int aFd)
{
  const int one = 1;
  ::setsockopt(aFd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  ::setsockopt(aFd, IPPROTO_TCP, TCP_KEEPIDLE, &one, sizeof one);
  ::setsockopt(aFd, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof one);
  ::setsockopt(
    aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
}

/** Returns how long the connection of an answer may be idle, according to its
 * Keep-Alive field and less the margin. */
Duration
keepAliveTimeout(const MessageHead& aHead)
{
  const auto field = aHead.headers.find("keep-alive");
  constexpr std::string_view kTimeout = "timeout=";
  if (!field) {
    return kDefaultIdleTimeout;
  }
  const std::size_t at = field->find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultIdleTimeout;
  }
  const std::string_view text = field->substr(at + kTimeout.size());
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::max<Duration>(
    std::chrono::seconds{ seconds } - kIdleTimeoutMargin, Duration{ 0 });
}

} // namespace

/** Prepares the connection for the next answer. */
void
RelayLoop::Impl::resetParser(ReplicaConnection& aConnection)
{
  // Whether the body is that of a stream, and so its limit, is known with its
  // head only; see excessIn().
  aConnection.parser =
    std::make_unique<ResponseParser>(this->answerBounds.headBytes, 0);
  aConnection.headHandled = false;
  aConnection.discardingAnswer = false;
  // An answer to HEAD has a Content-Length but no body.
  const auto exchange = this->exchanges.find(aConnection.exchange);
  aConnection.parser->skip(exchange != this->exchanges.end() &&
                           exchange->second->head.method == "HEAD");
}

/** Returns an idle connection to the replica, or starts to open one.
 * aRecentOnly limits how long a reused one may have been idle. */
Result<ReplicaConnection*>
RelayLoop::Impl::connectionTo(const AttemptTarget& aTarget, bool aRecentOnly)
{
  auto& idle = this->idleConnections[aTarget.replica];
  while (!idle.empty()) {
    const auto found = this->connections.find(idle.back());
    idle.pop_back();
    if (found == this->connections.end()) {
      continue;
    }
    ReplicaConnection& connection = *found->second;
    const bool recent = this->now - connection.idleSince < kMaxIdleForSingleRun;
    if (connection.idleUntil <= this->now || (aRecentOnly && !recent)) {
      this->closeReplica(connection.id);
      continue;
    }
    connection.state = ReplicaConnection::State::Busy;
    connection.anySent = false;
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
  enableKeepAlive(connection->fd.get());
  if (!this->poller.add(connection->fd.get(), connection->id, true)) {
    return fail(ErrorKind::Network, "epoll takes no more descriptors");
  }
  this->shared.metrics.count("replica_connects_total");
  ReplicaConnection* opened = connection.get();
  this->connections.emplace(opened->id, std::move(connection));
  return opened;
}

/** Handles an event of the poller on a connection to a replica. */
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

/** Sends the request, or fails the attempt if connecting failed. Chooses
 * another target if this one has said meanwhile that it takes no work. */
void
RelayLoop::Impl::onReplicaConnected(ReplicaConnection& aConnection)
{
  if (const int error = connectError(aConnection.fd.get())) {
    constexpr std::string_view kCause = "not connected";
    this->onReplicaDisconnected(aConnection.id,
                                error == ECONNREFUSED
                                  ? ConnectionEnd::NotListening
                                  : ConnectionEnd::Broken,
                                kCause);
    return;
  }
  const auto exchange = this->exchanges.find(aConnection.exchange);
  if (exchange != this->exchanges.end() && exchange->second->next &&
      exchange->second->next->connection == aConnection.id) {
    this->onNextConnected(*exchange->second, aConnection);
    return;
  }
  if (exchange != this->exchanges.end() &&
      this->targetTakesNoWork(exchange->second->replica,
                              exchange->second->path)) {
    this->shared.metrics.count("attempts_redirected_total");
    this->dropAttempt(*exchange->second, false);
    --exchange->second->sends;
    this->dispatch(*exchange->second);
    return;
  }
  aConnection.state = ReplicaConnection::State::Busy;
  if (exchange != this->exchanges.end()) {
    exchange->second->connectedAt = this->now;
    exchange->second->overdue = false;
    this->endDoubt(*exchange->second);
  }
  this->flushReplica(aConnection);
}

/** Writes the request until the socket accepts no more. Refuses it instead if
 * the configuration has become too old before the first byte, unless the
 * attempt that it was to replace goes on. */
void
RelayLoop::Impl::flushReplica(ReplicaConnection& aConnection)
{
  const auto exchange = this->exchanges.find(aConnection.exchange);
  const bool wasUnwritten = !this->unsentBytes(aConnection).empty();
  if (!aConnection.anySent && !this->unsentBytes(aConnection).empty() &&
      exchange != this->exchanges.end() &&
      !this->isConfigFresh(*exchange->second)) {
    // The process may have been suspended since the request was admitted, and
    // its key may have been revoked meanwhile. No byte of the request has been
    // sent yet.
    Exchange& stale = *exchange->second;
    constexpr std::string_view kCause = "the configuration has become old";
    this->dropAttempt(stale, false);
    if (!this->returnToReplaced(stale, kCause)) {
      this->refuse(stale,
                   Error{ ErrorKind::NoConfiguration, std::string{ kCause } },
                   stale.runs == 0);
    }
    return;
  }
  while (true) {
    const std::string_view unsent = this->unsentBytes(aConnection);
    if (unsent.empty()) {
      break;
    }
    const ssize_t count =
      ::send(aConnection.fd.get(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        break;
      }
      // The connection has ended. An answer received before may still be read.
      aConnection.endJudge.onWriteError(errno);
      aConnection.output.clear();
      aConnection.bodyLeft = 0;
      this->setReplicaWriteInterest(aConnection, false);
      this->readReplica(aConnection);
      return;
    }
    if (!aConnection.anySent && exchange != this->exchanges.end()) {
      this->recordStart(*exchange->second);
    }
    aConnection.anySent = true;
    if (aConnection.output.empty()) {
      aConnection.bodyLeft -= static_cast<std::size_t>(count);
    } else {
      aConnection.output.consume(static_cast<std::size_t>(count));
    }
  }
  const bool written = this->unsentBytes(aConnection).empty();
  this->setReplicaWriteInterest(aConnection, !written);
  if (written && wasUnwritten && exchange != this->exchanges.end()) {
    this->logWritten(*exchange->second);
  }
}

/** Returns the next bytes of the request to write: of its head, or else of its
 * body, of which the exchange has the only copy. */
std::string_view
RelayLoop::Impl::unsentBytes(const ReplicaConnection& aConnection) const
{
  if (!aConnection.output.empty()) {
    return aConnection.output.front();
  }
  const auto exchange = this->exchanges.find(aConnection.exchange);
  if (aConnection.bodyLeft == 0 || exchange == this->exchanges.end()) {
    return {};
  }
  const std::string_view body = exchange->second->body;
  return body.substr(body.size() - aConnection.bodyLeft);
}

/** Sets whether the poller reports that the socket is writable. */
void
RelayLoop::Impl::setReplicaWriteInterest(ReplicaConnection& aConnection,
                                         bool aWrite)
{
  if (aConnection.watchesWrite != aWrite) {
    aConnection.watchesWrite = aWrite;
    this->updateReplicaInterest(aConnection);
  }
}

/** Tells the poller which events of the connection to report. */
void
RelayLoop::Impl::updateReplicaInterest(ReplicaConnection& aConnection)
{
  this->poller.change(aConnection.fd.get(),
                      aConnection.id,
                      aConnection.watchesWrite,
                      aConnection.pause == ReadPause::None);
}

/** Keeps the connection for later requests after a complete answer, or closes
 * it if it cannot be reused safely. */
void
RelayLoop::Impl::releaseReplica(ReplicaConnection& aConnection)
{
  const MessageHead& head = aConnection.parser->head();
  const Duration keep = keepAliveTimeout(head);
  // Unparsed bytes belong to no request. If the answer came before the request
  // was written completely, the replica would read the next request as the rest
  // of the body.
  const bool reusable =
    aConnection.input.empty() && aConnection.output.empty() &&
    aConnection.bodyLeft == 0 && !aConnection.endJudge.hasWriteError() &&
    aConnection.parser->keep_alive() && keep > Duration{ 0 } &&
    aConnection.parser->is_done();
  if (!reusable) {
    this->closeReplica(aConnection.id);
    return;
  }
  aConnection.exchange = 0;
  aConnection.state = ReplicaConnection::State::Idle;
  aConnection.idleSince = this->now;
  aConnection.idleUntil = this->now + keep;
  this->idleConnections[aConnection.replica].push_back(aConnection.id);
}

/** Closes a connection with a request that nobody waits for any more. After an
 * ordinary close, bytes of the request that are still in a queue would arrive,
 * and it would run. */
void
RelayLoop::Impl::abortReplica(std::uint64_t aId)
{
  const auto found = this->connections.find(aId);
  if (found != this->connections.end()) {
    resetOnClose(found->second->fd.get());
  }
  this->closeReplica(aId);
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

/** Closes idle connections whose timeout has passed. */
void
RelayLoop::Impl::closeExpiredIdle(TimePoint aNow)
{
  for (auto& [replica, idle] : this->idleConnections) {
    std::erase_if(idle, [&](std::uint64_t aId) {
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
  std::erase_if(this->idleConnections,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace poplartrack
