#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "poplartrack/base/Address.h"

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** One HTTP message as received: its head, and the body by Content-Length. */
struct Message
{
  /** The start line and the header fields, without the empty line. */
  std::string head;
  std::string body;

  /** Returns a header value, or nothing. */
  [[nodiscard]] std::optional<std::string> field(std::string_view aName) const;
  /** Returns the n-th word of the start line. */
  [[nodiscard]] std::string word(std::size_t aIndex) const;
  /** Returns the status of an answer. */
  [[nodiscard]] int status() const;
};

/** A blocking TCP connection with a timeout for each read. */
class Wire
{
public:
  /** Takes over a connected socket. */
  explicit Wire(int aFd);
  /** Connects; see isOpen(). */
  explicit Wire(const poplartrack::Address& aPeer);
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  ~Wire();

  [[nodiscard]] bool isOpen() const { return this->fd >= 0; }
  /** Writes all bytes. Returns false if the connection ended. */
  bool write(std::string_view aBytes) const;
  /** Reads one message. Nothing at a timeout or at the connection's end. */
  std::optional<Message> read(Millis aTimeout);
  /** Ends reads and writes of another thread. */
  void interrupt() const;

private:
  /** Reads more bytes into the buffer. */
  bool fill(Clock::time_point aUntil);

  int fd = -1;
  std::string buffer;
};

/** A listening socket on a loopback address. */
class Listener
{
public:
  /** Port 0 picks a free one; see isOpen(). */
  explicit Listener(std::uint16_t aPort = 0);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener();

  [[nodiscard]] bool isOpen() const { return this->fd >= 0; }
  [[nodiscard]] poplartrack::Address address() const;
  /** Returns a socket, or -1 when the listener has been interrupted. */
  [[nodiscard]] int accept() const;
  void interrupt() const;

private:
  int fd = -1;
};

/** Returns a TCP port that is free now, below those that the system gives to
 * outgoing connections, and another one with each call. */
std::uint16_t
freePort();

} // namespace review
