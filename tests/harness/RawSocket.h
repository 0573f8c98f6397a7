#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack::harness {

/** A blocking TCP connection that speaks bytes: a peer that breaks the rules
 * of a protocol, for tests. Failures end the test program. */
class RawSocket
{
public:
  static RawSocket connectTo(const Address& aPeer);
  /** The same; nullopt if nobody listens. */
  static std::optional<RawSocket> tryConnect(const Address& aPeer);
  explicit RawSocket(OwnedFd aFd)
    : fd(std::move(aFd))
  {
  }

  /** Writes all; false when the peer has closed. */
  bool send(std::string_view aBytes);
  /** Reads until aMark has come or the peer has closed. */
  std::string readUntil(std::string_view aMark);
  /** Reads until this many bytes have come or the peer has closed. */
  std::string readBytes(std::size_t aCount);
  /** Reads until the peer has closed or reset the connection. */
  std::string readToEnd();
  /** Reads until the peer ends the connection. Returns whether it reset it. */
  bool readToReset();
  /** Closes it at once; unread bytes make this a reset. */
  void close() { this->fd.reset(); }
  /** Resets it at once: the peer gets no regular end. */
  void reset();
  /** Ends this side in the regular way; the peer may go on writing. */
  void endWriting();

private:
  OwnedFd fd;
};

/** Far more than a test waits for a connection, even on a busy machine or under
 * a sanitizer. */
constexpr Duration kAcceptLimit = std::chrono::minutes{ 1 };

/** A loopback port that hands out raw connections. */
class RawListener
{
public:
  RawListener();
  [[nodiscard]] Address address() const { return this->local; }
  /** Waits for the next connection. Ends the test program after kAcceptLimit:
   * a connection that never comes must fail its test, not hang it. */
  RawSocket accept();
  /** Waits for the next connection; nullopt if none comes in this time. */
  std::optional<RawSocket> acceptWithin(Duration aTime);
  /** Refuses connections from now on. */
  void close() { this->fd.reset(); }

private:
  OwnedFd fd;
  Address local;
};

/** A loopback address on which nobody listens. */
Address
deadAddress();

} // namespace poplartrack::harness
