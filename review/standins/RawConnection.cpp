#include "RawConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "poplartrack/base/TcpSocket.h"

namespace poplartrack::review {
namespace {

constexpr std::size_t kReadBytes = 8'192;
constexpr std::size_t kMaxHeadBytes = 65'536;

/** Waits until the socket is ready; false when the time is up. */
bool
waitFor(int aFd, short aEvents, SteadyTime aUntil)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aUntil - std::chrono::steady_clock::now());
  pollfd entry{ aFd, aEvents, 0 };
  return left.count() > 0 &&
         ::poll(&entry, 1, static_cast<int>(left.count())) > 0;
}

char
toLower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z'
           ? static_cast<char>(aLetter - 'A' + 'a')
           : aLetter;
}

} // namespace

std::string_view
nameOf(ReadEnd aEnd)
{
  switch (aEnd) {
    case ReadEnd::Data:
      return "complete";
    case ReadEnd::Closed:
      return "closed";
    case ReadEnd::Reset:
      return "reset";
    case ReadEnd::TimedOut:
      break;
  }
  return "timed_out";
}

void
limitBuffers(int aFd, int aReceiveBuffer)
{
  ::setsockopt(
    aFd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
  ::setsockopt(
    aFd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
}

std::string
fieldOf(std::string_view aHead, std::string_view aName)
{
  std::size_t at = aHead.find("\r\n");
  while (at != std::string_view::npos) {
    std::string_view line = aHead.substr(at + 2);
    line = line.substr(0, line.find("\r\n"));
    const bool same =
      line.size() > aName.size() && line[aName.size()] == ':' &&
      std::equal(
        aName.begin(), aName.end(), line.begin(), [](char aLeft, char aRight) {
          return toLower(aLeft) == toLower(aRight);
        });
    if (same) {
      line.remove_prefix(aName.size() + 1);
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      return std::string{ line };
    }
    at = aHead.find("\r\n", at + 2);
  }
  return {};
}

std::optional<RawConnection>
RawConnection::connectTo(const Address& aPeer, int aReceiveBuffer)
{
  OwnedFd fd{ ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  const auto address = toSocketAddress(aPeer);
  if (!fd.valid() || !address) {
    return std::nullopt;
  }
  limitBuffers(fd.get(), aReceiveBuffer);
  if (::connect(fd.get(),
                reinterpret_cast<const sockaddr*>(&*address),
                sizeof *address) != 0) {
    return std::nullopt;
  }
  setNoDelay(fd.get());
  return RawConnection{ std::move(fd) };
}

bool
RawConnection::send(std::string_view aBytes, SteadyTime aUntil)
{
  while (!aBytes.empty()) {
    if (!waitFor(this->fd.get(), POLLOUT, aUntil)) {
      return false;
    }
    const ssize_t count = ::send(this->fd.get(),
                                 aBytes.data(),
                                 aBytes.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    aBytes.remove_prefix(count > 0 ? static_cast<std::size_t>(count)
                                   : std::size_t{ 0 });
  }
  return true;
}

/** Reads once into pending. */
ReadEnd
RawConnection::receive(std::size_t aMost, SteadyTime aUntil)
{
  if (!waitFor(this->fd.get(), POLLIN, aUntil)) {
    return ReadEnd::TimedOut;
  }
  std::array<char, kReadBytes> bytes;
  const ssize_t count =
    ::recv(this->fd.get(), bytes.data(), std::min(bytes.size(), aMost), 0);
  if (count == 0) {
    return ReadEnd::Closed;
  }
  if (count < 0) {
    return ReadEnd::Reset;
  }
  this->pending.append(bytes.data(), static_cast<std::size_t>(count));
  return ReadEnd::Data;
}

ReadEnd
RawConnection::readUntil(std::string_view aMark,
                         std::string& aBytes,
                         SteadyTime aUntil)
{
  while (true) {
    const std::size_t end = this->pending.find(aMark);
    if (end != std::string::npos) {
      aBytes = this->pending.substr(0, end + aMark.size());
      this->pending.erase(0, aBytes.size());
      return ReadEnd::Data;
    }
    if (this->pending.size() > kMaxHeadBytes) {
      return ReadEnd::Reset;
    }
    const ReadEnd read = this->receive(kReadBytes, aUntil);
    if (read != ReadEnd::Data) {
      return read;
    }
  }
}

ReadEnd
RawConnection::readExactly(std::size_t aSize,
                           std::string& aBytes,
                           SteadyTime aUntil)
{
  while (this->pending.size() < aSize) {
    const ReadEnd read = this->receive(kReadBytes, aUntil);
    if (read != ReadEnd::Data) {
      return read;
    }
  }
  aBytes = this->pending.substr(0, aSize);
  this->pending.erase(0, aSize);
  return ReadEnd::Data;
}

ReadEnd
RawConnection::readHead(std::string& aHead, SteadyTime aUntil)
{
  return this->readUntil("\r\n\r\n", aHead, aUntil);
}

ReadEnd
RawConnection::readChunks(std::string& aBody, SteadyTime aUntil)
{
  constexpr std::string_view kLineEnd = "\r\n";
  constexpr int kHexadecimal = 16;
  while (true) {
    std::string line;
    ReadEnd read = this->readUntil(kLineEnd, line, aUntil);
    if (read != ReadEnd::Data) {
      return read;
    }
    std::size_t size = 0;
    std::from_chars(line.data(), line.data() + line.size(), size, kHexadecimal);
    std::string chunk;
    read = this->readExactly(size + kLineEnd.size(), chunk, aUntil);
    if (read != ReadEnd::Data) {
      return read;
    }
    if (size == 0) {
      return ReadEnd::Data;
    }
    aBody.append(chunk, 0, size);
  }
}

ReadEnd
RawConnection::readBody(std::size_t aSize,
                        ReadPace aPace,
                        SteadyTime aUntil,
                        std::size_t& aRead)
{
  // A paced reader reads ten times a second, and never pauses for longer.
  constexpr int kReadsPerSecond = 10;
  constexpr auto kPause = std::chrono::milliseconds{ 1'000 / kReadsPerSecond };
  const SteadyTime slowUntil = std::chrono::steady_clock::now() + aPace.slowFor;
  aRead = 0;
  while (true) {
    const bool slow =
      aPace.bytesPerSecond > 0 && std::chrono::steady_clock::now() < slowUntil;
    std::size_t most = aSize - aRead;
    if (slow) {
      most = std::min(most, aPace.bytesPerSecond / kReadsPerSecond);
    }
    const SteadyTime next = std::chrono::steady_clock::now() + kPause;
    std::size_t taken = 0;
    while (taken < most) {
      if (this->pending.empty()) {
        const ReadEnd read = this->receive(most - taken, aUntil);
        if (read != ReadEnd::Data) {
          return read;
        }
      }
      const std::size_t part = std::min(this->pending.size(), most - taken);
      this->pending.erase(0, part);
      taken += part;
      aRead += part;
    }
    if (aRead == aSize) {
      return ReadEnd::Data;
    }
    if (slow) {
      std::this_thread::sleep_until(next);
    }
  }
}

void
RawConnection::reset()
{
  const linger abort{ 1, 0 };
  ::setsockopt(this->fd.get(), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  this->fd.reset();
}

} // namespace poplartrack::review
