#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack::review {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Segment size of every socket of the stand-ins, in bytes: that of a network
 * with an MTU of 1,500 bytes. With the segments of loopback, the kernel holds
 * megabytes for a peer that does not read. */
constexpr int kSegmentBytes = 1'460;

/** Receive buffer of a socket, in bytes, unless a caller asks for another. */
constexpr int kReceiveBufferBytes = 16 * 1'024;

/** How a read from a connection ended. */
enum class ReadEnd : std::uint8_t
{
  Data,
  Closed,
  Reset,
  TimedOut,
};

/** The name of a ReadEnd in records. */
std::string_view
nameOf(ReadEnd aEnd);

/** Speed at which a body is read. */
struct ReadPace
{
  /** 0: without a limit. */
  std::size_t bytesPerSecond = 0;
  /** The limit holds for this long; the rest is read without one. */
  std::chrono::milliseconds slowFor = std::chrono::hours{ 1 };
};

/** A blocking TCP connection. */
class RawConnection
{
public:
  static std::optional<RawConnection> connectTo(
    const Address& aPeer,
    int aReceiveBuffer = kReceiveBufferBytes);
  explicit RawConnection(OwnedFd aFd)
    : fd(std::move(aFd))
  {
  }

  /** Writes all bytes; false if the peer has closed or the time is up. */
  bool send(std::string_view aBytes, SteadyTime aUntil);
  /** Reads up to and including the empty line that ends a head. */
  ReadEnd readHead(std::string& aHead, SteadyTime aUntil);
  /** Reads a chunked body up to and including its last chunk. aBody has the
   * bytes that arrived, also if the body is cut off. */
  ReadEnd readChunks(std::string& aBody, SteadyTime aUntil);
  /** Reads this many bytes of a body; aRead counts those that arrived. */
  ReadEnd readBody(std::size_t aSize,
                   ReadPace aPace,
                   SteadyTime aUntil,
                   std::size_t& aRead);
  /** Closes the connection with a reset. */
  void reset();

private:
  ReadEnd receive(std::size_t aMost, SteadyTime aUntil);
  /** Reads up to and including a mark. */
  ReadEnd readUntil(std::string_view aMark,
                    std::string& aBytes,
                    SteadyTime aUntil);
  /** Reads this many bytes. */
  ReadEnd readExactly(std::size_t aSize,
                      std::string& aBytes,
                      SteadyTime aUntil);

  OwnedFd fd;
  /** Received, not yet consumed. */
  std::string pending;
};

/** Sets the segment size and the receive buffer of a socket that is not
 * connected yet. */
void
limitBuffers(int aFd, int aReceiveBuffer);

/** Returns the value of a header field of a head; empty if it has none. */
std::string
fieldOf(std::string_view aHead, std::string_view aName);

} // namespace poplartrack::review
