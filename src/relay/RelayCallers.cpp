// Connections of callers: reading requests, writing answers, time-outs.

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>

#include "RelayLoopImpl.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Descriptors kept for files, the store's and replicas' connections. */
constexpr std::size_t kReservedDescriptors = 600;

/** Bytes of later requests that are taken in while one is being answered. */
constexpr std::size_t kMostAhead = std::size_t{ 64 } * 1024;

/** How long an answer to a request that was not read whole may take to arrive
 * before the connection is closed under it. */
constexpr Duration kLinger = std::chrono::seconds{ 1 };

/** A caller that takes nothing for this long is gone: without it a silent
 * connection holds its answer's memory and its replica for minutes. */
constexpr int kUserTimeoutMs = 10'000;

ErrorKind
kindOf(ParseProblem aProblem)
{
  switch (aProblem) {
    case ParseProblem::HeadTooLarge:
      return ErrorKind::HeadTooLarge;
    case ParseProblem::BodyTooLarge:
      return ErrorKind::TooLarge;
    case ParseProblem::None:
    case ParseProblem::Malformed:
      break;
  }
  return ErrorKind::BadRequest;
}

std::string_view
reasonOf(int aStatus)
{
  switch (aStatus) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

} // namespace

void
RelayLoop::Impl::acceptCallers()
{
  constexpr int kAcceptsAtOnce = 64;
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    OwnedFd fd{ ::accept4(
      this->listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) };
    if (!fd.valid()) {
      return;
    }
    this->addCaller(std::move(fd));
  }
}

void
RelayLoop::Impl::addCaller(OwnedFd aFd)
{
  const std::size_t most = this->settings.descriptors > 2 * kReservedDescriptors
                             ? this->settings.descriptors - kReservedDescriptors
                             : this->settings.descriptors / 2;
  if (this->callers.size() >= most) {
    this->closeIdlest();
  }
  setNoDelay(aFd.get());
  ::setsockopt(aFd.get(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kUserTimeoutMs,
               sizeof kUserTimeoutMs);
  auto caller = std::make_unique<CallerConnection>();
  caller->id = this->nextId++;
  caller->fd = std::move(aFd);
  caller->since = this->now;
  this->resetParser(*caller);
  if (!this->poller.add(caller->fd.get(), caller->id, false)) {
    return;
  }
  const auto config = this->shared.config.read();
  this->timers.arm(caller->id,
                   this->now +
                     (config ? config->limits : CallerLimits{}).headerTimeout);
  this->callers.emplace(caller->id, std::move(caller));
}

/** Makes room for a new connection: idle ones are the callers' to reopen. */
void
RelayLoop::Impl::closeIdlest()
{
  const CallerConnection* idlest = nullptr;
  for (const auto& [id, caller] : this->callers) {
    const bool free = caller->exchange == 0 && !caller->arriving;
    if (free && (idlest == nullptr || caller->since < idlest->since)) {
      idlest = caller.get();
    }
  }
  if (idlest != nullptr) {
    this->closeCaller(idlest->id);
  }
}

void
RelayLoop::Impl::resetParser(CallerConnection& aCaller)
{
  const auto config = this->shared.config.read();
  const CallerLimits limits = config ? config->limits : CallerLimits{};
  aCaller.parser =
    std::make_unique<RequestParser>(limits.headerBytes, limits.bodyBytes);
  aCaller.arriving = false;
  aCaller.continueSent = false;
}

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
      this->onCallerGone(aCaller.exchange);
    }
    this->closeCaller(id);
    return;
  }
  if (aCaller.lingering) {
    return;
  }
  aCaller.in.append(bytes.data(), static_cast<std::size_t>(count));
  if (aCaller.exchange != 0) {
    if (aCaller.in.size() > kMostAhead && !aCaller.readPaused) {
      aCaller.readPaused = true;
      this->watchCaller(aCaller);
    }
    return;
  }
  this->feedCaller(aCaller);
}

void
RelayLoop::Impl::feedCaller(CallerConnection& aCaller)
{
  if (aCaller.in.empty() || aCaller.closeAfterOut) {
    return;
  }
  if (!aCaller.arriving) {
    aCaller.arriving = true;
    aCaller.since = this->now;
    const auto config = this->shared.config.read();
    this->timers.arm(
      aCaller.id,
      this->now + (config ? config->limits : CallerLimits{}).headerTimeout);
  }
  const std::size_t taken = aCaller.parser->feed(aCaller.in);
  aCaller.in.erase(0, taken);
  if (aCaller.parser->problem() != ParseProblem::None) {
    this->onParseProblem(aCaller, aCaller.parser->problem());
    return;
  }
  const MessageHead& head = aCaller.parser->head();
  if (!aCaller.parser->is_done()) {
    if (aCaller.parser->is_header_done() && !aCaller.continueSent &&
        head.headers.hasToken("expect", "100-continue")) {
      aCaller.continueSent = true;
      this->sendToCaller(aCaller, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  this->timers.cancel(aCaller.id);
  this->beginExchange(aCaller, head);
}

void
RelayLoop::Impl::onParseProblem(CallerConnection& aCaller,
                                ParseProblem aProblem)
{
  const Error error{ kindOf(aProblem), "the request cannot be read" };
  const auto id = aCaller.parser->head().headers.find(this->names.requestId);
  const std::string requestId{ id.value_or("") };
  this->shared.metrics.countRefusal(error.kind);
  this->shared.log.write(LogLine{ LogPart::Request, "unreadable" }
                           .with("id", requestId)
                           .with("reason", nameOf(error.kind)));
  this->answerError(aCaller, error, requestId, Duration{ 0 }, true);
}

void
RelayLoop::Impl::answerError(CallerConnection& aCaller,
                             const Error& aError,
                             std::string_view aRequestId,
                             Duration aRetryAfter,
                             bool aClose)
{
  const ErrorRow& row = rowOf(aError.kind);
  const std::string body = "{\"error\":\"" + std::string{ row.name } +
                           "\",\"message\":\"" + std::string{ row.message } +
                           "\"}\n";
  std::string text = "HTTP/1.1 " + std::to_string(row.httpStatus) + " ";
  text.append(reasonOf(row.httpStatus)).append("\r\n");
  if (!aRequestId.empty()) {
    text.append(this->names.requestId).append(": ").append(aRequestId);
    text.append("\r\n");
  }
  if (aRetryAfter > Duration{ 0 }) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(),
                  seconds.size(),
                  "%.2f",
                  std::chrono::duration<double>(aRetryAfter).count());
    text.append("Retry-After: ").append(seconds.data()).append("\r\n");
  }
  text.append("Content-Type: application/json\r\nContent-Length: ");
  text.append(std::to_string(body.size())).append("\r\n");
  const bool close = aClose || this->shared.draining;
  if (close) {
    text.append("Connection: close\r\n");
  }
  text.append("\r\n").append(body);
  aCaller.closeAfterOut = close;
  this->sendToCaller(aCaller, text);
}

void
RelayLoop::Impl::sendToCaller(CallerConnection& aCaller,
                              std::string_view aBytes)
{
  aCaller.out.append(aBytes);
  this->flushCaller(aCaller);
}

void
RelayLoop::Impl::flushCaller(CallerConnection& aCaller)
{
  while (!aCaller.out.empty()) {
    const ssize_t count = ::send(
      aCaller.fd.get(), aCaller.out.data(), aCaller.out.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        break;
      }
      // The read side reports the end of the connection.
      aCaller.out.clear();
      break;
    }
    aCaller.out.erase(0, static_cast<std::size_t>(count));
  }
  const bool wantsWrite = !aCaller.out.empty();
  if (wantsWrite != aCaller.watchesWrite) {
    aCaller.watchesWrite = wantsWrite;
    this->watchCaller(aCaller);
  }
  if (!wantsWrite && aCaller.closeAfterOut && !aCaller.lingering) {
    this->linger(aCaller);
  }
}

void
RelayLoop::Impl::watchCaller(CallerConnection& aCaller)
{
  this->poller.change(
    aCaller.fd.get(), aCaller.id, aCaller.watchesWrite, !aCaller.readPaused);
}

void
RelayLoop::Impl::linger(CallerConnection& aCaller)
{
  aCaller.lingering = true;
  if (aCaller.readPaused) {
    aCaller.readPaused = false;
    this->watchCaller(aCaller);
  }
  ::shutdown(aCaller.fd.get(), SHUT_WR);
  this->timers.arm(aCaller.id, this->now + kLinger);
}

/** The answer has been written; the connection is free for the next. */
void
RelayLoop::Impl::onAnswerWritten(CallerConnection& aCaller)
{
  aCaller.exchange = 0;
  aCaller.since = this->now;
  if (aCaller.closeAfterOut) {
    return;
  }
  if (aCaller.closeWhenAnswered) {
    aCaller.closeAfterOut = true;
    this->flushCaller(aCaller);
    return;
  }
  this->resetParser(aCaller);
  const auto config = this->shared.config.read();
  this->timers.arm(aCaller.id,
                   this->now +
                     (config ? config->limits : CallerLimits{}).idleTimeout);
  if (aCaller.readPaused) {
    aCaller.readPaused = false;
    this->watchCaller(aCaller);
  }
  this->feedCaller(aCaller);
}

void
RelayLoop::Impl::onCallerTimer(CallerConnection& aCaller)
{
  if (aCaller.exchange != 0) {
    return;
  }
  if (aCaller.lingering || !aCaller.arriving) {
    this->closeCaller(aCaller.id);
    return;
  }
  const auto config = this->shared.config.read();
  const CallerLimits limits = config ? config->limits : CallerLimits{};
  const bool headDone = aCaller.parser->is_header_done();
  // A long body may take its time, as long as an idle connection may.
  if (headDone && this->now - aCaller.since < limits.idleTimeout) {
    this->timers.arm(aCaller.id, aCaller.since + limits.idleTimeout);
    return;
  }
  this->shared.metrics.countRefusal(ErrorKind::HeadTimeout);
  this->answerError(
    aCaller, Error{ ErrorKind::HeadTimeout, "" }, "", Duration{ 0 }, true);
}

/** Whether the caller has closed its connection, also where that has not been
 * read yet: a loop that is behind reads a request long after it came. */
bool
RelayLoop::Impl::callerLeft(const Exchange& aExchange) const
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

void
RelayLoop::Impl::closeCaller(std::uint64_t aId)
{
  this->timers.cancel(aId);
  this->callers.erase(aId);
}

} // namespace poplartrack
