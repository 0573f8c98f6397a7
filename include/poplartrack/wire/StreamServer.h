#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/wire/Codec.h"

namespace poplartrack {

/** Limits that protect the process from a faulty or malicious peer. */
struct StreamServerLimits
{
  std::size_t maxConnections = 1024;
  std::size_t maxStreamsPerConnection = 1024;
  /** Body bytes of one call. */
  std::size_t maxFrameBytes = kMaxFrameBytes;
  /** A connection without a complete frame for this long is closed if it has no
   * call in progress. */
  Duration idleTimeout = std::chrono::minutes{ 2 };
  /** Bytes of calls whose body is incomplete, over all connections. A call
   * beyond that is rejected without being handled. */
  std::size_t maxBufferedBytes = 64U << 20U;
  /** A peer with open calls that has been silent this long is sent a PING. */
  Duration pingInterval = std::chrono::seconds{ 5 };
  /** If a PING is not answered for this long, the connection is closed. */
  Duration pingTimeout = std::chrono::seconds{ 10 };
};

/** Sends the reply frame. May be called once, from any thread. Does nothing if
 * the server no longer exists. */
using Responder = std::function<void(std::string aReplyFrame)>;

/** Handles one call. Runs on the server's I/O thread: must not block. */
using FrameHandler =
  std::function<void(std::string aFrame, Responder aRespond)>;

/**
 * Accepts calls from other poplartrack processes, with one HTTP/2 stream
 * (nghttp2) for each call, many calls on a persistent connection, and one I/O
 * thread.
 */
class StreamServer
{
public:
  /** Starts to listen; port 0 selects a free one. A Network error names the
   * cause. */
  static Result<std::unique_ptr<StreamServer>> create(
    const Address& aListen,
    FrameHandler aHandler,
    StreamServerLimits aLimits);
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;
  /** Closes all connections at once. After drain(), first waits briefly for the
   * peers to close, so that no reply is lost in a reset connection. */
  ~StreamServer();

  /** Returns the address that peers can call, with the port in use. */
  [[nodiscard]] Address address() const;
  /** Returns the number of calls whose reply has not been written yet. */
  [[nodiscard]] std::size_t openCalls() const;
  /** Accepts no new connections and sends GOAWAY on the others. Calls that were
   * accepted are still answered. */
  void drain();

private:
  class Impl;
  explicit StreamServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace poplartrack
