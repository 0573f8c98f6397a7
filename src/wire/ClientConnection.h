#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ClientCall.h"
#include "Http2Connection.h"
#include "KeepAlive.h"
#include "Poller.h"

namespace poplartrack {

/**
 * One connection to a peer and the calls on it.
 *
 * A call is written only after the peer's SETTINGS have arrived. The kernel of
 * a suspended peer still accepts connections and data. Without this wait, every
 * call to it would have to end as Unknown.
 */
class ClientConnection
{
public:
  ClientConnection(OwnedFd aFd,
                   const StreamClientLimits& aLimits,
                   TimePoint aNow);

  /** Starts a call, or keeps it until the connection is open. */
  void add(ClientCall aCall, TimePoint aNow);
  /** Handles readiness of the socket. */
  void onReady(const ReadyEvent& aEvent, TimePoint aNow);
  /** Handles the connect timeout and the keep-alive. */
  void onTimer(TimePoint aNow);
  /** Ends a call whose timeout has passed. */
  void expire(std::uint64_t aNumber);
  /** Writes what is due. */
  void transmit();
  /** Ends the connection and every call on it. */
  void close(const std::string& aDetail);

  /** Returns the calls that have ended since the last call of this. */
  std::vector<EndedCall> takeEnded();
  /** When onTimer() is to be called next. */
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;
  [[nodiscard]] int fd() const { return this->http2.fd(); }
  [[nodiscard]] bool wantsWrite() const;
  [[nodiscard]] bool closed() const { return this->state == State::Closed; }
  /** Returns whether the peer has ever been ready for calls. */
  [[nodiscard]] bool wasOpen() const { return this->everOpen; }
  /** Returns whether a timeout closed it. */
  [[nodiscard]] bool timedOut() const { return this->peerSilent; }
  /** Returns whether new calls need another connection. */
  [[nodiscard]] bool leaving() const { return this->goneAway; }

  // Http2Owner.
  void onOpen(std::int32_t) {}
  void onStatus(std::int32_t aStream, std::string_view aStatus);
  void onData(std::int32_t aStream, std::string_view aBytes);
  void onEnd(std::int32_t aStream);
  void onClose(std::int32_t aStream, std::uint32_t aCode);
  void onSettings();
  void onGoAway() { this->goneAway = true; }
  ssize_t readBody(std::int32_t aStream,
                   std::span<std::uint8_t> aRoom,
                   std::uint32_t& aFlags);

private:
  enum class State : std::uint8_t
  {
    Connecting,
    /** Connected; the peer's SETTINGS have not arrived. */
    Greeting,
    Open,
    Closed,
  };

  void finishConnect();
  void submit(ClientCall aCall);
  /** Closes the connection to a peer that has sent nothing in time. */
  void closeSilent(const std::string& aDetail);
  void end(ClientCall aCall, CallOutcome aOutcome, std::string aDetail);
  /** Ends a call whose peer has sent neither a reply nor a refusal. */
  void endSilent(ClientCall aCall, CallOutcome aOutcome, std::string aDetail);
  void closeWhenDone();
  ClientCall* find(std::int32_t aStream);

  const StreamClientLimits& limits;
  Http2Connection<ClientConnection> http2;
  KeepAlive keepAlive;
  State state = State::Connecting;
  TimePoint connectUntil;
  TimePoint now;
  bool everOpen = false;
  bool goneAway = false;
  bool peerSilent = false;
  std::vector<ClientCall> waiting;
  std::unordered_map<std::int32_t, ClientCall> calls;
  std::unordered_map<std::uint64_t, std::int32_t> streams;
  std::vector<EndedCall> ended;
};

} // namespace poplartrack
