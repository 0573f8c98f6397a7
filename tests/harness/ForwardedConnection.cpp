#include "ForwardedConnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "poplartrack/base/TcpSocket.h"

namespace poplartrack::harness {
namespace {

/** Small pieces, so that a rate limit lets bytes drip instead of burst. */
constexpr std::size_t kPieceBytes = 16U << 10U;
/** Bytes held in one direction; beyond that the source has to wait. */
constexpr std::size_t kHeldBytes = 4U << 20U;

bool
isWritable(int aFd)
{
  pollfd entry{ aFd, POLLOUT, 0 };
  return ::poll(&entry, 1, 0) == 1;
}

} // namespace

void
resetAndClose(OwnedFd& aFd)
{
  const linger none{ 1, 0 };
  ::setsockopt(aFd.get(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
  aFd.reset();
}

bool
ForwardedBytes::wantsRead() const
{
  return !this->ended && this->held < kHeldBytes;
}

std::optional<TimePoint>
ForwardedBytes::nextDue() const
{
  if (this->pieces.empty()) {
    return std::nullopt;
  }
  return this->pieces.front().due;
}

void
ForwardedBytes::push(std::string aBytes,
                     const ForwardRules& aRules,
                     TimePoint aNow)
{
  this->freeAt = std::max(this->freeAt, aNow);
  if (aRules.bytesPerSecond > 0) {
    const auto size = static_cast<std::int64_t>(aBytes.size());
    this->freeAt +=
      Duration{ size * std::micro::den /
                static_cast<std::int64_t>(aRules.bytesPerSecond) };
  }
  this->held += aBytes.size();
  this->pieces.push_back(
    Piece{ this->freeAt + aRules.delay, std::move(aBytes) });
}

bool
ForwardedBytes::readFrom(int aFd, const ForwardRules& aRules, TimePoint aNow)
{
  std::array<char, kPieceBytes> buffer{};
  while (this->wantsRead()) {
    const ssize_t got = ::recv(aFd, buffer.data(), buffer.size(), 0);
    if (got < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    const auto size = static_cast<std::size_t>(got);
    const std::size_t passing = std::min(size, this->left.value_or(size));
    this->readBytes += size;
    if (passing > 0) {
      this->push({ buffer.data(), passing }, aRules, aNow);
    }
    if (this->left) {
      *this->left -= passing;
    }
    if (got == 0 || this->left == 0U) {
      this->endNow(aRules, aNow);
    }
  }
  return true;
}

void
ForwardedBytes::endNow(const ForwardRules& aRules, TimePoint aNow)
{
  this->ended = true;
  // The end travels like the bytes before it.
  this->push("", aRules, aNow);
}

bool
ForwardedBytes::writeTo(int aFd, TimePoint aNow)
{
  while (!this->pieces.empty() && this->pieces.front().due <= aNow) {
    std::string& bytes = this->pieces.front().bytes;
    if (bytes.empty()) {
      ::shutdown(aFd, SHUT_WR);
      this->closed = true;
      this->pieces.pop_front();
      return true;
    }
    const ssize_t sent = ::send(aFd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    this->held -= static_cast<std::size_t>(sent);
    bytes.erase(0, static_cast<std::size_t>(sent));
    if (bytes.empty()) {
      this->pieces.pop_front();
    }
  }
  return true;
}

bool
ForwardedConnection::move(const ForwardRules& aRules, TimePoint aNow)
{
  if (!this->connected) {
    this->connected = isWritable(this->target.get());
    if (!this->connected) {
      return true;
    }
    if (connectError(this->target.get()) != 0) {
      return false;
    }
  }
  const int clientFd = this->client.get();
  const int targetFd = this->target.get();
  const std::size_t asked = this->up.total();
  const bool isOpen = this->up.readFrom(clientFd, aRules, aNow);
  if (aRules.answerBytes > 0 && this->up.total() != asked) {
    this->down.endAfter(aRules.answerBytes);
  }
  return isOpen && this->down.readFrom(targetFd, aRules, aNow) &&
         this->up.writeTo(targetFd, aNow) &&
         this->down.writeTo(clientFd, aNow) &&
         !(this->up.finished() && this->down.finished());
}

void
ForwardedConnection::reset()
{
  resetAndClose(this->client);
  resetAndClose(this->target);
}

void
ForwardedConnection::addPolls(std::vector<pollfd>& aPolls, TimePoint aNow) const
{
  const auto due = [aNow](const ForwardedBytes& aBytes) {
    const std::optional<TimePoint> at = aBytes.nextDue();
    return at && *at <= aNow;
  };
  const auto events = [](bool aRead, bool aWrite) {
    return static_cast<short>((aRead ? POLLIN : 0) | (aWrite ? POLLOUT : 0));
  };
  const short clientEvents =
    events(this->connected && this->up.wantsRead(), due(this->down));
  const short targetEvents = events(this->connected && this->down.wantsRead(),
                                    !this->connected || due(this->up));
  // A descriptor that waits for nothing is left out: poll() would report its
  // hang-up again and again.
  if (clientEvents != 0) {
    aPolls.push_back(pollfd{ this->client.get(), clientEvents, 0 });
  }
  if (targetEvents != 0) {
    aPolls.push_back(pollfd{ this->target.get(), targetEvents, 0 });
  }
}

std::optional<TimePoint>
ForwardedConnection::nextDue() const
{
  const std::optional<TimePoint> first = this->up.nextDue();
  const std::optional<TimePoint> second = this->down.nextDue();
  if (!first || !second) {
    return first ? first : second;
  }
  return std::min(*first, *second);
}

} // namespace poplartrack::harness
