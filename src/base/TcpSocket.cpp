#include "poplartrack/base/TcpSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>
#include <system_error>

namespace poplartrack {
namespace {

Error
networkError(const char* aWhat, const Address& aAddress, int aErrno)
{
  return fail(ErrorKind::Network,
              std::string{ aWhat } + " " + toText(aAddress) + ": " +
                std::generic_category().message(aErrno));
}

OwnedFd
newSocket()
{
  return OwnedFd{ ::socket(
    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP) };
}

} // namespace

std::optional<sockaddr_in>
toSocketAddress(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.port);
  if (inet_pton(AF_INET, aAddress.host.c_str(), &result.sin_addr) != 1) {
    return std::nullopt;
  }
  return result;
}

Address
fromSocketAddress(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &aAddress.sin_addr, text.data(), text.size());
  return Address{ text.data(), ntohs(aAddress.sin_port) };
}

Result<OwnedFd>
listenTcp(const Address& aListen)
{
  const std::optional<sockaddr_in> target = toSocketAddress(aListen);
  if (!target) {
    return networkError("listen on", aListen, EINVAL);
  }
  OwnedFd fd = newSocket();
  if (!fd.valid()) {
    return networkError("listen on", aListen, errno);
  }
  // Without it a restarted process cannot bind while connections of the one
  // before are in TIME_WAIT.
  const int one = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const auto* address = reinterpret_cast<const sockaddr*>(&*target);
  if (::bind(fd.get(), address, sizeof *target) != 0 ||
      ::listen(fd.get(), SOMAXCONN) != 0) {
    return networkError("listen on", aListen, errno);
  }
  return fd;
}

Result<OwnedFd>
connectTcp(const Address& aPeer)
{
  const std::optional<sockaddr_in> target = toSocketAddress(aPeer);
  if (!target) {
    return networkError("connect to", aPeer, EINVAL);
  }
  OwnedFd fd = newSocket();
  if (!fd.valid()) {
    return networkError("connect to", aPeer, errno);
  }
  setNoDelay(fd.get());
  const auto* address = reinterpret_cast<const sockaddr*>(&*target);
  if (::connect(fd.get(), address, sizeof *target) != 0 &&
      errno != EINPROGRESS) {
    return networkError("connect to", aPeer, errno);
  }
  return fd;
}

int
connectError(int aFd)
{
  int error = 0;
  socklen_t length = sizeof error;
  if (::getsockopt(aFd, SOL_SOCKET, SO_ERROR, &error, &length) != 0) {
    return errno;
  }
  return error;
}

void
setNoDelay(int aFd)
{
  const int one = 1;
  ::setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

void
resetOnClose(int aFd)
{
  const linger dropUnsent{ 1, 0 };
  ::setsockopt(aFd, SOL_SOCKET, SO_LINGER, &dropUnsent, sizeof dropUnsent);
}

bool
hasUnread(int aFd)
{
  pollfd entry{ aFd, POLLIN, 0 };
  return ::poll(&entry, 1, 0) > 0;
}

Result<Address>
localAddress(int aFd)
{
  sockaddr_in local{};
  socklen_t length = sizeof local;
  if (::getsockname(aFd, reinterpret_cast<sockaddr*>(&local), &length) != 0) {
    return fail(ErrorKind::Network, std::generic_category().message(errno));
  }
  return fromSocketAddress(local);
}

} // namespace poplartrack
