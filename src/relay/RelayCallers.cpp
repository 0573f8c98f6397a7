// Connections from callers: receiving requests, timeouts.

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "RelayLoopImpl.h"
#include "RetryAdvice.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** File descriptors reserved for files and for connections to the store and to
 * replicas. */
constexpr std::size_t kReservedDescriptors = 600;

/** Bytes of pipelined requests that are buffered while one is being answered.
 * Above that, the relay stops reading from the connection. */
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 64 } * 1024;

/** Time that a caller is assumed to have left if its request was refused before
 * its head was looked at. */
constexpr Duration kUnreadRetryTime = std::chrono::seconds{ 10 };

/** A connection is closed if its socket accepts none of the bytes that wait for
 * it for this long: the caller has gone, or reads nothing. The kernel takes up
 * to several megabytes at once, which a slow caller reads for a while. */
constexpr Duration kWriteTimeout = std::chrono::seconds{ 60 };

/** Keep-alive probes: a caller that has disappeared
 * without closing its idle connection is noticed. */
constexpr int kKeepAliveIdleS = 5;
constexpr int kKeepAliveIntervalS = 2;
constexpr int kKeepAliveProbes = 3;

void
enableKeepAlive(int aFd)
{
  const int one = 1;
  ::setsockopt(aFd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  ::setsockopt(
    aFd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleS, sizeof kKeepAliveIdleS);
  ::setsockopt(aFd,
               IPPROTO_TCP,
               TCP_KEEPINTVL,
               &kKeepAliveIntervalS,
               sizeof kKeepAliveIntervalS);
  ::setsockopt(
    aFd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof kKeepAliveProbes);
}

ErrorKind
errorKindOf(ParseProblem aProblem)
{
  switch (aProblem) {
    case ParseProblem::HeadTooLarge:
    case ParseProblem::FramingTooLarge:
      return ErrorKind::HeadTooLarge;
    case ParseProblem::BodyTooLarge:
      return ErrorKind::TooLarge;
    case ParseProblem::UnknownCoding:
      return ErrorKind::UnknownCoding;
    case ParseProblem::None:
    case ParseProblem::Malformed:
      break;
  }
  return ErrorKind::BadRequest;
}

} // namespace

/** Accepts new connections. The number is limited so that one event does not
 * hold up the loop; the poller reports the rest again. */
void
RelayLoop::Impl::acceptCallers()
{
  constexpr int kMaxAcceptsPerEvent = 64;
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    OwnedFd fd{ ::accept4(
      this->listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) };
    if (!fd.valid()) {
      return;
    }
    if (this->loopLoad.turnsAway()) {
      // It is closed unread; its caller opens another one elsewhere.
      this->shared.metrics.count("callers_turned_away_total");
      ++this->turnedAway;
      continue;
    }
    this->addCaller(std::move(fd));
  }
}

/** Sets up a new connection and its timer. When the file descriptors are nearly
 * used up, closes an idle connection first. */
void
RelayLoop::Impl::addCaller(OwnedFd aFd)
{
  const std::size_t maxCallers =
    this->settings.descriptors > 2 * kReservedDescriptors
      ? this->settings.descriptors - kReservedDescriptors
      : this->settings.descriptors / 2;
  if (this->callers.size() >= maxCallers) {
    this->closeLongestIdleCaller();
  }
  setNoDelay(aFd.get());
  enableKeepAlive(aFd.get());
  auto caller = std::make_unique<CallerConnection>();
  caller->id = this->nextId++;
  caller->fd = std::move(aFd);
  caller->stateSince = this->now;
  if (!this->poller.add(caller->fd.get(), caller->id, false)) {
    return;
  }
  this->timers.arm(
    caller->id,
    this->now + this->callerLimits().value_or(CallerLimits{}).headerTimeout);
  this->callers.emplace(caller->id, std::move(caller));
}

/** Returns the connection without a request that has been idle for longest, or
 * null. */
CallerConnection*
RelayLoop::Impl::longestIdleCaller() const
{
  CallerConnection* longestIdle = nullptr;
  for (const auto& [id, caller] : this->callers) {
    const bool isIdle = caller->exchange == 0 && !caller->receivingRequest &&
                        caller->output.empty();
    if (isIdle && (longestIdle == nullptr ||
                   caller->stateSince < longestIdle->stateSince)) {
      longestIdle = caller.get();
    }
  }
  return longestIdle;
}

/** Makes room for a new connection. Only a connection without a request is
 * closed; its caller can open a new one. */
void
RelayLoop::Impl::closeLongestIdleCaller()
{
  constexpr int kMostTries = 4;
  for (int i = 0; i < kMostTries; ++i) {
    CallerConnection* caller = this->longestIdleCaller();
    if (caller == nullptr ||
        this->closeIfUnused(*caller, CallerClose::Descriptors)) {
      return;
    }
  }
}

/** Closes an idle connection unless a request has arrived on it that was not
 * read yet; then reads that. Returns whether it was closed. */
bool
RelayLoop::Impl::closeIfUnused(CallerConnection& aCaller, CallerClose aCause)
{
  const std::uint64_t id = aCaller.id;
  if (hasUnread(aCaller.fd.get())) {
    this->onCallerReadable(aCaller);
  } else {
    this->closeCaller(id, aCause);
  }
  return !this->callers.contains(id);
}

/** Returns the limits in force; empty if there is no configuration yet. */
std::optional<CallerLimits>
RelayLoop::Impl::callerLimits() const
{
  const auto config = this->shared.config.read();
  return config ? std::optional{ config->limits } : std::nullopt;
}

/** Prepares for a request whose first bytes have arrived. */
void
RelayLoop::Impl::beginRequest(CallerConnection& aCaller)
{
  const CallerLimits limits = aCaller.limits.value_or(CallerLimits{});
  aCaller.parser =
    std::make_unique<RequestParser>(limits.headerBytes, limits.bodyBytes);
  aCaller.receivingRequest = true;
  aCaller.stateSince = this->now;
  this->timers.arm(aCaller.id, this->now + limits.headerTimeout);
}

/** Clears the state of a request that has been answered. */
void
RelayLoop::Impl::endRequest(CallerConnection& aCaller)
{
  aCaller.parser.reset();
  aCaller.receivingRequest = false;
  aCaller.continueSent = false;
  aCaller.announced = 0;
}

/** Reads once from a caller and parses the bytes, unless a request is in
 * progress: then they are kept for later. */
void
RelayLoop::Impl::onCallerReadable(CallerConnection& aCaller)
{
  std::array<char, kReadBytes> bytes;
  const ssize_t count = ::recv(aCaller.fd.get(), bytes.data(), bytes.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    const std::uint64_t id = aCaller.id;
    if (aCaller.exchange != 0) {
      this->onCallerDisconnected(aCaller.exchange);
    }
    this->closeCaller(id, CallerClose::Left);
    return;
  }
  if (aCaller.lingering) {
    return;
  }
  const bool receives = aCaller.receivingRequest && aCaller.exchange == 0;
  if (!receives && aCaller.input.empty()) {
    // A connection may outlive many configurations.
    aCaller.limits = this->callerLimits();
  }
  aCaller.input.append(bytes.data(), static_cast<std::size_t>(count));
  this->held += static_cast<std::size_t>(count);
  if (aCaller.exchange != 0) {
    if (aCaller.input.size() > kMaxPipelinedBytes && !aCaller.readPaused) {
      aCaller.readPaused = true;
      this->updateCallerInterest(aCaller);
    }
    return;
  }
  this->parseCallerInput(aCaller);
}

/** Parses buffered bytes, and starts the exchange when the request is complete.
 */
void
RelayLoop::Impl::parseCallerInput(CallerConnection& aCaller)
{
  if (aCaller.input.empty() || aCaller.closeAfterOut) {
    return;
  }
  if (!aCaller.receivingRequest) {
    this->beginRequest(aCaller);
  }
  const std::size_t taken = aCaller.parser->feed(aCaller.input);
  aCaller.input.erase(0, taken);
  if (aCaller.parser->problem() != ParseProblem::None) {
    this->onParseProblem(aCaller, aCaller.parser->problem());
    return;
  }
  const MessageHead& head = aCaller.parser->head();
  if (aCaller.parser->is_header_done() && !this->hasMemoryFor(aCaller)) {
    this->refuseUnread(
      aCaller, Error{ ErrorKind::Overloaded, "no memory for the body" });
    return;
  }
  if (!aCaller.parser->is_done()) {
    if (aCaller.parser->is_header_done() && !aCaller.continueSent &&
        head.headers.hasToken("expect", "100-continue")) {
      aCaller.continueSent = true;
      this->sendToCaller(aCaller,
                         ByteBlocks{ "HTTP/1.1 100 Continue\r\n\r\n" });
    }
    return;
  }
  this->timers.cancel(aCaller.id);
  this->beginExchange(aCaller, head);
}

/** Rejects a request that may come again, and closes its connection: the rest
 * of its body is not read. */
void
RelayLoop::Impl::refuseUnread(CallerConnection& aCaller, const Error& aError)
{
  const auto id = aCaller.parser->head().headers.find(this->names.requestId);
  const std::string requestId{ id.value_or("") };
  this->shared.metrics.countRefusal(aError.kind);
  this->shared.log.write(LogLine{ LogPart::Request, "refused" }
                           .with("id", requestId)
                           .with("reason", aError.detail));
  RefusalState state;
  state.kind = aError.kind;
  state.timeLeft = kUnreadRetryTime;
  state.jitterSeed = std::hash<std::string>{}(requestId);
  this->answerError(aCaller, aError, requestId, retryAdvice(state), true);
}

/** Whether the limits of a request are certain enough to reject it for its
 * size: callers don't repeat such a request, and a newer configuration may
 * allow it. */
bool
RelayLoop::Impl::areLimitsCertain(const CallerConnection& aCaller) const
{
  const ConfigProof proof{ this->shared.freshness.age(),
                           this->shared.configPollFailed };
  return aCaller.limits && mayDeny(proof, this->gate);
}

/** Rejects a request that cannot be parsed and closes its connection: where the
 * next request begins is unknown. */
void
RelayLoop::Impl::onParseProblem(CallerConnection& aCaller,
                                ParseProblem aProblem)
{
  const Error error{ errorKindOf(aProblem), "the request cannot be read" };
  const bool isOversize =
    error.kind == ErrorKind::TooLarge || error.kind == ErrorKind::HeadTooLarge;
  if (isOversize && !this->areLimitsCertain(aCaller)) {
    this->refuseUnread(aCaller,
                       Error{ ErrorKind::NoConfiguration,
                              "it cannot be told whether it is too large" });
    return;
  }
  const auto id = aCaller.parser->head().headers.find(this->names.requestId);
  const std::string requestId{ id.value_or("") };
  this->shared.metrics.countRefusal(error.kind);
  this->shared.log.write(LogLine{ LogPart::Request, "unreadable" }
                           .with("id", requestId)
                           .with("reason", nameOf(error.kind))
                           .with("flaw", textOf(aCaller.parser->flaw())));
  this->answerError(aCaller, error, requestId, Duration{ 0 }, true);
}

/** Ends the current request of a connection once its answer has been passed to
 * sendToCaller. Closes the connection, or continues with the next request,
 * which may be buffered already. */
void
RelayLoop::Impl::onAnswerWritten(CallerConnection& aCaller)
{
  aCaller.exchange = 0;
  aCaller.hasServed = true;
  aCaller.stateSince = this->now;
  if (aCaller.closeAfterOut) {
    return;
  }
  if (aCaller.closeWhenAnswered) {
    aCaller.closeAfterOut = true;
    this->flushCaller(aCaller);
    return;
  }
  this->endRequest(aCaller);
  this->armIdleTimer(aCaller);
  if (aCaller.readPaused) {
    aCaller.readPaused = false;
    this->updateCallerInterest(aCaller);
  }
  this->parseCallerInput(aCaller);
}

/** Starts the time for which the connection may be idle. */
void
RelayLoop::Impl::armIdleTimer(CallerConnection& aCaller)
{
  aCaller.stateSince = this->now;
  this->timers.arm(aCaller.id,
                   this->now +
                     this->callerLimits().value_or(CallerLimits{}).idleTimeout);
}

/** Handles the timeout of a connection that is idle, closing or receiving a
 * request. */
void
RelayLoop::Impl::onCallerTimer(CallerConnection& aCaller)
{
  if (aCaller.exchange != 0) {
    return;
  }
  const TimePoint writeDeadline = aCaller.writtenAt + kWriteTimeout;
  if (!aCaller.output.empty() && this->now < writeDeadline) {
    this->timers.arm(aCaller.id, writeDeadline);
    return;
  }
  if (aCaller.lingering) {
    this->closeCaller(aCaller.id, CallerClose::Answered);
    return;
  }
  if (!aCaller.output.empty() && !aCaller.receivingRequest) {
    this->closeCaller(aCaller.id, CallerClose::Unwritten);
    return;
  }
  if (!aCaller.receivingRequest) {
    // The limit may have grown since the timer was set.
    const CallerLimits limits = this->callerLimits().value_or(CallerLimits{});
    const TimePoint due =
      aCaller.stateSince +
      (aCaller.hasServed ? limits.idleTimeout : limits.headerTimeout);
    if (this->now < due) {
      this->timers.arm(aCaller.id, due);
    } else {
      this->closeIfUnused(aCaller, CallerClose::Idle);
    }
    return;
  }
  const CallerLimits limits = aCaller.limits.value_or(CallerLimits{});
  const TimePoint headDue = aCaller.stateSince + limits.headerTimeout;
  if (this->now < headDue) {
    this->timers.arm(aCaller.id, headDue);
    return;
  }
  if (hasUnread(aCaller.fd.get()) && !this->readAtTimeout(aCaller)) {
    return;
  }
  const bool headDone = aCaller.parser->is_header_done();
  // A body may take as long as a connection may be idle.
  if (headDone && this->now - aCaller.stateSince < limits.idleTimeout) {
    this->timers.arm(aCaller.id, aCaller.stateSince + limits.idleTimeout);
    return;
  }
  this->shared.metrics.countRefusal(ErrorKind::HeadTimeout);
  this->shared.log.write(
    LogLine{ LogPart::Request, "unreadable" }
      .with("channel", static_cast<std::int64_t>(aCaller.id))
      .with("reason", nameOf(ErrorKind::HeadTimeout)));
  this->answerError(
    aCaller, Error{ ErrorKind::HeadTimeout, "" }, "", Duration{ 0 }, true);
}

/** Reads from a connection whose request is not complete at its timeout.
 * Returns whether that is still so; a request that follows it has a timeout of
 * its own. */
bool
RelayLoop::Impl::readAtTimeout(CallerConnection& aCaller)
{
  const std::uint64_t id = aCaller.id;
  this->onCallerReadable(aCaller);
  const auto still = this->callers.find(id);
  return still != this->callers.end() && still->second->receivingRequest &&
         still->second->stateSince < this->now &&
         still->second->exchange == 0 && !still->second->closeAfterOut;
}

/** Whether the caller has closed its connection, even if the loop has not read
 * the end of it yet: a loop that lags behind handles a request long after it
 * arrived. */
bool
RelayLoop::Impl::callerHasDisconnected(const Exchange& aExchange) const
{
  const auto found = this->callers.find(aExchange.caller);
  if (found == this->callers.end()) {
    return true;
  }
  char next = 0;
  const ssize_t count = ::recv(
    found->second->fd.get(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
  const bool waits = count < 0 && (errno == EAGAIN || errno == EINTR);
  return count <= 0 && !waits;
}

/** Closes the connection of a caller. Logs it if that was this relay's
 * decision, or if a request or an answer is lost to the caller with it. */
void
RelayLoop::Impl::closeCaller(std::uint64_t aId, CallerClose aCause)
{
  this->timers.cancel(aId);
  const auto found = this->callers.find(aId);
  if (found == this->callers.end()) {
    return;
  }
  const CallerConnection& caller = *found->second;
  const bool isExpected = aCause == CallerClose::Left ||
                          (aCause == CallerClose::Answered &&
                           !caller.receivingRequest && caller.output.empty());
  if (!isExpected) {
    constexpr std::int64_t kMicrosPerMs = 1000;
    this->shared.log.write(
      LogLine{ LogPart::Request, "channel_closed" }
        .with("channel", static_cast<std::int64_t>(aId))
        .with("cause", nameOf(aCause))
        .with("idle_ms", (this->now - caller.stateSince).count() / kMicrosPerMs)
        .with("receiving", caller.receivingRequest ? 1 : 0)
        .with("unwritten", static_cast<std::int64_t>(caller.output.size())));
  }
  if (caller.watchesWrite) {
    --this->unwrittenCount;
  }
  this->callers.erase(found);
}

} // namespace poplartrack
