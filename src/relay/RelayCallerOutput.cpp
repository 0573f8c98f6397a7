// Answers to callers: errors of the relay itself, writing, closing.

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdio>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** How long a connection stays open after its last answer for the caller to
 * close it. Closing it while bytes of a request are unread resets it, and the
 * answer could be lost. */
constexpr Duration kLingerTimeout = std::chrono::seconds{ 1 };

/** Returns the reason phrase of an HTTP status that the relay itself sends. */
std::string_view
reasonPhrase(int aStatus)
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
    case 501:
      return "Not Implemented";
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

/** Sends an error answer of the relay itself. A retry delay of 0 is left out;
 * aClose closes the connection after the answer. */
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
  text.append(reasonPhrase(row.httpStatus)).append("\r\n");
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
  this->sendToCaller(aCaller, ByteBlocks{ std::move(text) });
}

/** Queues bytes for a caller and writes what the socket accepts. */
void
RelayLoop::Impl::sendToCaller(CallerConnection& aCaller, ByteBlocks aBytes)
{
  if (aCaller.output.empty()) {
    aCaller.writtenAt = this->now;
  }
  aCaller.output.append(std::move(aBytes));
  this->flushCaller(aCaller);
}

/** Writes queued bytes until the socket accepts no more. Starts to close the
 * connection if that was the last answer. */
void
RelayLoop::Impl::flushCaller(CallerConnection& aCaller)
{
  while (!aCaller.output.empty()) {
    const std::string_view unsent = aCaller.output.front();
    const ssize_t count =
      ::send(aCaller.fd.get(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        break;
      }
      // The next read reports that the connection has ended.
      aCaller.output.clear();
      break;
    }
    aCaller.output.consume(static_cast<std::size_t>(count));
    aCaller.writtenAt = this->now;
  }
  this->resumeStreamFor(aCaller);
  const bool wantsWrite = !aCaller.output.empty();
  if (wantsWrite != aCaller.watchesWrite) {
    aCaller.watchesWrite = wantsWrite;
    this->unwrittenCount += wantsWrite ? 1 : -1;
    this->updateCallerInterest(aCaller);
    if (!wantsWrite && aCaller.exchange == 0 && !aCaller.receivingRequest) {
      this->armIdleTimer(aCaller);
    }
  }
  if (!wantsWrite && aCaller.closeAfterOut && !aCaller.lingering) {
    this->startLingeringClose(aCaller);
  }
}

/** Tells the poller which events of the connection to report. */
void
RelayLoop::Impl::updateCallerInterest(CallerConnection& aCaller)
{
  this->poller.change(
    aCaller.fd.get(), aCaller.id, aCaller.watchesWrite, !aCaller.readPaused);
}

/** Shuts down the write side and discards what is received until the caller
 * closes or kLingerTimeout has passed. */
void
RelayLoop::Impl::startLingeringClose(CallerConnection& aCaller)
{
  aCaller.lingering = true;
  if (aCaller.readPaused) {
    aCaller.readPaused = false;
    this->updateCallerInterest(aCaller);
  }
  ::shutdown(aCaller.fd.get(), SHUT_WR);
  this->timers.arm(aCaller.id, this->now + kLingerTimeout);
}

} // namespace poplartrack
