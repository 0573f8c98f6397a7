#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "FrameSource.h"
#include "Http2Connection.h"
#include "KeepAlive.h"
#include "Poller.h"
#include "ServerShared.h"

namespace poplartrack {

/** A connection from a peer and its calls. */
class ServerConnection
{
public:
  ServerConnection(std::uint64_t aId,
                   OwnedFd aFd,
                   ServerShared& aShared,
                   TimePoint aNow);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection();

  bool open();
  void onReady(const ReadyEvent& aEvent, TimePoint aNow);
  /** Handles idle timeout, keep-alive, and the end of a draining connection. */
  void onTimer(TimePoint aNow);
  /** Answers a call if it is still in progress. */
  void reply(std::int32_t aStream, std::string aFrame);
  /** Accepts no more calls. Closes when the peer has closed, or a while after
   * the last reply. */
  void drain(TimePoint aNow);
  /** Writes what is due. */
  void transmit();

  [[nodiscard]] TimePoint nextTimer() const;
  [[nodiscard]] int fd() const { return this->http2.fd(); }
  [[nodiscard]] bool wantsWrite() const { return this->http2.blocked(); }
  [[nodiscard]] bool closed() const { return this->isClosed; }

  /** Whether the server's poller watches it for writing. */
  bool watchedForWrite = false;

  // Http2Owner.
  void onOpen(std::int32_t aStream);
  void onStatus(std::int32_t, std::string_view) {}
  void onData(std::int32_t aStream, std::string_view aBytes);
  void onEnd(std::int32_t aStream);
  void onClose(std::int32_t aStream, std::uint32_t aCode);
  void onSettings() {}
  void onGoAway() {}
  ssize_t readBody(std::int32_t aStream,
                   std::span<std::uint8_t> aRoom,
                   std::uint32_t& aFlags);

private:
  /** A call that has not been answered completely. */
  struct Call
  {
    std::string body;
    bool handed = false;
    bool answered = false;
    FrameSource reply;
  };

  void refuse(std::int32_t aStream);
  void forget(std::int32_t aStream);
  void countWritten();
  [[nodiscard]] bool idle() const { return this->handedCalls == 0; }

  std::uint64_t id;
  ServerShared& shared;
  Http2Connection<ServerConnection> http2;
  KeepAlive keepAlive;
  TimePoint now;
  TimePoint lastCallAt;
  std::unordered_map<std::int32_t, Call> calls;
  std::size_t handedCalls = 0;
  // For each reply that waits for the kernel: the connection's byte count
  // after it.
  std::deque<std::uint64_t> unwritten;
  std::optional<TimePoint> leavingSince;
  bool isClosed = false;
};

} // namespace poplartrack
