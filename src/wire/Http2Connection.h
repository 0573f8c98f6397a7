#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include <nghttp2/nghttp2.h>

#include "SendBuffer.h"
#include "poplartrack/base/OwnedFd.h"

namespace poplartrack {

/** Role of this process on an HTTP/2 connection. */
enum class Http2Role : std::uint8_t
{
  Client,
  Server,
};

/** Values of the SETTINGS sent to the peer. */
struct Http2Bounds
{
  /** Streams that the peer may have open at once. */
  std::size_t maxStreams = 0;
  /** Largest body that is accepted; it fits into the window of a stream. */
  std::size_t maxFrameBytes = 0;
};

/**
 * Callbacks for the streams of a connection. The owner must not destroy the
 * connection in them.
 */
template<typename T>
concept Http2Owner = requires(T& aOwner,
                              std::int32_t aStream,
                              std::string_view aBytes,
                              std::span<std::uint8_t> aRoom,
                              std::uint32_t aCode)
{
  // The peer has opened a stream (server only).
  aOwner.onOpen(aStream);
  // The peer's status line (client only).
  aOwner.onStatus(aStream, aBytes);
  aOwner.onData(aStream, aBytes);
  // The peer has sent the last byte of its side.
  aOwner.onEnd(aStream);
  // The stream is over, with this HTTP/2 error code.
  aOwner.onClose(aStream, aCode);
  aOwner.onSettings();
  aOwner.onGoAway();
  // The next bytes of our body; sets the flag after the last one. Negative
  // when the body must not be sent any further.
  {
    aOwner.readBody(aStream, aRoom, aCode)
    } -> std::same_as<ssize_t>;
};

/** An nghttp2 session on a non-blocking socket. */
template<typename Owner>
class Http2Connection
{
public:
  /** @param aOwner must outlive the connection */
  Http2Connection(Owner& aOwner, OwnedFd aFd);
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;
  ~Http2Connection();

  /** Creates the session and queues the SETTINGS. */
  bool open(Http2Role aRole, const Http2Bounds& aBounds);

  /** Opens a stream whose body the owner supplies; negative on failure. */
  std::int32_t submitCall();
  /** Answers a stream with a body that the owner supplies. */
  bool submitReply(std::int32_t aStream);
  /** Ends a stream with an HTTP/2 error code. */
  void reset(std::int32_t aStream, std::uint32_t aCode);
  /** Tells the peer that no stream above the last one it has opened will be
   * handled. */
  void goAway();
  void ping();

  /** Reads available data. Returns false if the connection is closed. */
  bool receive();
  /** Writes queued data. Returns false if the connection is closed. */
  bool transmit();
  /** Returns whether transmit() waits for the socket. */
  [[nodiscard]] bool blocked() const { return this->output.pending() > 0; }
  /** Returns whether the session has nothing left to read or write. */
  [[nodiscard]] bool finished() const;

  [[nodiscard]] int fd() const { return this->socket.get(); }
  [[nodiscard]] std::uint64_t queuedBytes() const
  {
    return this->output.queuedBytes();
  }
  [[nodiscard]] std::uint64_t sentBytes() const
  {
    return this->output.sentBytes();
  }

private:
  static nghttp2_session_callbacks* makeCallbacks();
  bool fillOutput();

  Owner& owner;
  OwnedFd socket;
  nghttp2_session* session = nullptr;
  SendBuffer output;
};

} // namespace poplartrack

#include "Http2Connection.inl.h"
