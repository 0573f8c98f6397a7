#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <optional>
#include <string_view>

#include <msgpack.hpp>

#include "poplartrack/base/OwnedFd.h"
#include "poplartrack/base/TcpSocket.h"
#include "relay/PeerDatagram.h"

namespace poplartrack::relaytest {

/** The datagram socket of a relay that a test plays. */
class PeerSocket
{
public:
  PeerSocket()
    : fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
  {
    const auto any = toSocketAddress(Address{ "127.0.0.1", 0 });
    static_cast<void>(::bind(
      this->fd.get(), reinterpret_cast<const sockaddr*>(&*any), sizeof *any));
  }

  [[nodiscard]] Address address() const
  {
    return localAddress(this->fd.get()).value();
  }

  /** Sends a status message, followed by a packed ForwardSection if any. */
  void send(const Address& aTo,
            const PeerStatus& aStatus,
            std::string_view aSection = {},
            const PeerEcho& aEcho = {}) const
  {
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, aStatus);
    msgpack::pack(bytes, aEcho);
    bytes.write(aSection.data(), aSection.size());
    const auto to = toSocketAddress(aTo);
    static_cast<void>(::sendto(this->fd.get(),
                               bytes.data(),
                               bytes.size(),
                               0,
                               reinterpret_cast<const sockaddr*>(&*to),
                               sizeof *to));
  }

  /** Returns the next status message, if one has arrived. */
  [[nodiscard]] std::optional<PeerMessage> receive() const
  {
    std::array<char, kMaxDatagramBytes> bytes;
    const ssize_t count = ::recv(this->fd.get(), bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return std::nullopt;
    }
    auto datagram =
      parsePeerDatagram({ bytes.data(), static_cast<std::size_t>(count) });
    auto* message = datagram ? std::get_if<PeerMessage>(&*datagram) : nullptr;
    return message == nullptr ? std::nullopt
                              : std::optional{ std::move(*message) };
  }

private:
  OwnedFd fd;
};

} // namespace poplartrack::relaytest
