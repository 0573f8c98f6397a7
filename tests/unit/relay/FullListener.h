#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack::relaytest {

/** A listener whose queue is full: connecting to it neither succeeds nor fails.
 */
class FullListener
{
public:
  FullListener()
    : listener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof local;
    auto* raw = reinterpret_cast<sockaddr*>(&local);
    static_cast<void>(::bind(this->listener.get(), raw, size));
    ::listen(this->listener.get(), 0);
    ::getsockname(this->listener.get(), raw, &size);
    this->port = ntohs(local.sin_port);
    for (OwnedFd& caller : this->callers) {
      caller = OwnedFd{ ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0) };
      static_cast<void>(::connect(caller.get(), raw, size));
    }
  }

  [[nodiscard]] Address address() const { return { "127.0.0.1", this->port }; }

private:
  OwnedFd listener;
  std::uint16_t port = 0;
  std::array<OwnedFd, 4> callers;
};

} // namespace poplartrack::relaytest
