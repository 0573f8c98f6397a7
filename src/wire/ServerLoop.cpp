#include "ServerLoop.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include <glog/logging.h>

#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Pause of accepting after the process has run out of descriptors: the
 * listener stays ready, and retrying at once would spin. */
constexpr Duration kAcceptPause = std::chrono::milliseconds{ 100 };

/** How long a drained server waits for its peers to close before it ends. */
constexpr Duration kFarewell = std::chrono::milliseconds{ 500 };

} // namespace

ServerLoop::ServerLoop(Poller aPoller,
                       OwnedFd aListener,
                       Address aLocal,
                       FrameHandler aHandler,
                       StreamServerLimits aLimits)
  : local(std::move(aLocal))
  , poller(std::move(aPoller))
  , listener(std::move(aListener))
{
  this->shared.limits = aLimits;
  this->shared.handler = std::move(aHandler);
  this->shared.replies = std::make_shared<Mailbox<PendingReply>>(this->poller);
  this->poller.add(this->listener.get(), kListenerKey, false);
  this->thread = std::thread{ [this] { this->run(); } };
}

ServerLoop::~ServerLoop()
{
  this->stopping = true;
  this->poller.wake();
  this->thread.join();
}

void
ServerLoop::drain()
{
  this->draining = true;
  this->poller.wake();
}

void
ServerLoop::run()
{
  while (!this->stopping) {
    this->turn(this->nextTimer());
  }
  if (this->draining) {
    this->sayFarewell();
  }
  this->shared.replies->close();
  this->connections.clear();
}

void
ServerLoop::sayFarewell()
{
  const SystemClock clock;
  const TimePoint end = clock.now() + kFarewell;
  while (!this->connections.empty() && clock.now() < end) {
    this->turn(std::min(end, this->nextTimer().value_or(end)));
  }
}

std::optional<TimePoint>
ServerLoop::nextTimer() const
{
  return this->timers.next();
}

void
ServerLoop::turn(std::optional<TimePoint> aUntil)
{
  const SystemClock clock;
  TimePoint now = clock.now();
  if (!this->shared.replies->empty()) {
    aUntil = now;
  }
  const std::span<const ReadyEvent> events = this->poller.wait(now, aUntil);
  now = clock.now();
  if (this->draining) {
    this->startDrain(now);
  }
  for (const ReadyEvent& event : events) {
    if (event.key == kListenerKey) {
      this->acceptAll(now);
      continue;
    }
    const auto found = this->connections.find(event.key);
    if (found != this->connections.end()) {
      found->second->onReady(event, now);
      this->touched.push_back(event.key);
    }
  }
  this->runTimers(now);
  this->deliverReplies();
  this->settleTouched();
}

void
ServerLoop::startDrain(TimePoint aNow)
{
  if (this->drainStarted) {
    return;
  }
  this->drainStarted = true;
  this->timers.cancel(kListenerKey);
  this->listener.reset();
  for (const auto& [id, connection] : this->connections) {
    connection->drain(aNow);
    this->touched.push_back(id);
  }
}

void
ServerLoop::acceptAll(TimePoint aNow)
{
  while (this->listener.valid()) {
    OwnedFd fd{ ::accept4(
      this->listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) };
    if (fd.valid()) {
      this->admit(std::move(fd), aNow);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) {
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      PLOG(ERROR) << "wire: cannot accept";
      this->poller.remove(this->listener.get());
      this->timers.arm(kListenerKey, aNow + kAcceptPause);
    }
    return;
  }
}

void
ServerLoop::admit(OwnedFd aFd, TimePoint aNow)
{
  if (this->connections.size() >= this->shared.limits.maxConnections) {
    LOG_EVERY_N(WARNING, 100) << "wire: connection limit reached";
    return;
  }
  setNoDelay(aFd.get());
  const std::uint64_t id = ++this->lastId;
  const int fd = aFd.get();
  auto connection =
    std::make_unique<ServerConnection>(id, std::move(aFd), this->shared, aNow);
  if (!connection->open() || !this->poller.add(fd, id, false)) {
    return;
  }
  this->connections.emplace(id, std::move(connection));
  this->touched.push_back(id);
}

void
ServerLoop::deliverReplies()
{
  for (PendingReply& reply : this->shared.replies->take()) {
    const auto found = this->connections.find(reply.connection);
    if (found != this->connections.end()) {
      found->second->reply(reply.stream, std::move(reply.frame));
      this->touched.push_back(reply.connection);
    }
  }
}

void
ServerLoop::runTimers(TimePoint aNow)
{
  while (const auto id = this->timers.popDue(aNow)) {
    if (*id == kListenerKey) {
      this->poller.add(this->listener.get(), kListenerKey, false);
      continue;
    }
    this->connections.at(*id)->onTimer(aNow);
    this->touched.push_back(*id);
  }
}

void
ServerLoop::settleTouched()
{
  std::sort(this->touched.begin(), this->touched.end());
  const auto last = std::unique(this->touched.begin(), this->touched.end());
  this->touched.erase(last, this->touched.end());
  for (const std::uint64_t id : std::exchange(this->touched, {})) {
    this->settle(id);
  }
}

/** Writes what is due on a connection and sets its next timer. */
void
ServerLoop::settle(std::uint64_t aId)
{
  const auto found = this->connections.find(aId);
  if (found == this->connections.end()) {
    return;
  }
  ServerConnection& connection = *found->second;
  connection.transmit();
  if (connection.closed()) {
    this->timers.cancel(aId);
    this->connections.erase(found);
    return;
  }
  const bool wantsWrite = connection.wantsWrite();
  if (wantsWrite != connection.watchedForWrite) {
    this->poller.change(connection.fd(), aId, wantsWrite);
    connection.watchedForWrite = wantsWrite;
  }
  this->timers.arm(aId, connection.nextTimer());
}

} // namespace poplartrack
