#include "RawSocket.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include <glog/logging.h>

#include "poplartrack/base/TcpSocket.h"

namespace poplartrack::harness {
namespace {

/** Far more than a connect on the loopback interface takes. */
constexpr Duration kConnectLimit = std::chrono::minutes{ 1 };

void
makeBlocking(int aFd)
{
  const int flags = ::fcntl(aFd, F_GETFL);
  PCHECK(::fcntl(aFd, F_SETFL, flags & ~O_NONBLOCK) == 0);
}

/** Returns whether one of the events came in this time. */
bool
waitFor(int aFd, short aEvents, Duration aTime)
{
  pollfd entry{ aFd, aEvents, 0 };
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(aTime);
  const int ready = ::poll(&entry, 1, static_cast<int>(millis.count()));
  PCHECK(ready >= 0);
  return ready == 1;
}

} // namespace

RawSocket
RawSocket::connectTo(const Address& aPeer)
{
  std::optional<RawSocket> socket = tryConnect(aPeer);
  CHECK(socket.has_value()) << "nobody listens on " << toText(aPeer);
  return std::move(*socket);
}

std::optional<RawSocket>
RawSocket::tryConnect(const Address& aPeer)
{
  Result<OwnedFd> fd = connectTcp(aPeer);
  CHECK(fd.ok()) << describe(fd.error());
  CHECK(waitFor(fd.value().get(), POLLOUT, kConnectLimit)) << "no connection";
  // A peer that resets at once has accepted before.
  const int error = connectError(fd.value().get());
  if (error == ECONNREFUSED) {
    return std::nullopt;
  }
  CHECK(error == 0 || error == ECONNRESET) << error;
  makeBlocking(fd.value().get());
  return RawSocket{ std::move(fd).value() };
}

bool
RawSocket::send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      ::send(this->fd.get(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string
RawSocket::readUntil(std::string_view aMark)
{
  std::string bytes;
  std::array<char, 4096> buffer{};
  while (aMark.empty() || bytes.find(aMark) == std::string::npos) {
    const ssize_t got = ::recv(this->fd.get(), buffer.data(), buffer.size(), 0);
    if (got <= 0) {
      return bytes;
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return bytes;
}

std::string
RawSocket::readBytes(std::size_t aCount)
{
  std::string bytes(aCount, '\0');
  std::size_t size = 0;
  while (size < aCount) {
    const ssize_t got =
      ::recv(this->fd.get(), bytes.data() + size, aCount - size, 0);
    if (got <= 0) {
      break;
    }
    size += static_cast<std::size_t>(got);
  }
  bytes.resize(size);
  return bytes;
}

std::string
RawSocket::readToEnd()
{
  return this->readUntil("");
}

bool
RawSocket::readToReset()
{
  std::array<char, 4096> buffer{};
  ssize_t got = 0;
  do {
    got = ::recv(this->fd.get(), buffer.data(), buffer.size(), 0);
  } while (got > 0);
  return got < 0 && errno == ECONNRESET;
}

void
RawSocket::reset()
{
  resetOnClose(this->fd.get());
  this->fd.reset();
}

void
RawSocket::endWriting()
{
  ::shutdown(this->fd.get(), SHUT_WR);
}

RawListener::RawListener()
{
  Result<OwnedFd> listening = listenTcp(Address{ "127.0.0.1", 0 });
  CHECK(listening.ok()) << describe(listening.error());
  this->fd = std::move(listening).value();
  this->local = localAddress(this->fd.get()).value();
}

RawSocket
RawListener::accept()
{
  std::optional<RawSocket> taken = this->acceptWithin(kAcceptLimit);
  CHECK(taken.has_value()) << "no connection came";
  return std::move(*taken);
}

std::optional<RawSocket>
RawListener::acceptWithin(Duration aTime)
{
  if (!waitFor(this->fd.get(), POLLIN, aTime)) {
    return std::nullopt;
  }
  OwnedFd taken{ ::accept4(this->fd.get(), nullptr, nullptr, SOCK_CLOEXEC) };
  PCHECK(taken.valid());
  return RawSocket{ std::move(taken) };
}

Address
deadAddress()
{
  return RawListener{}.address();
}

} // namespace poplartrack::harness
