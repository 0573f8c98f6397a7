#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

#include "Poller.h"
#include "ServerConnection.h"
#include "ServerShared.h"
#include "TimerQueue.h"

namespace poplartrack {

/** The connections of one server and the thread that serves them. */
class ServerLoop
{
public:
  ServerLoop(Poller aPoller,
             OwnedFd aListener,
             Address aLocal,
             FrameHandler aHandler,
             StreamServerLimits aLimits);
  ServerLoop(const ServerLoop&) = delete;
  ServerLoop& operator=(const ServerLoop&) = delete;
  ~ServerLoop();

  /** Accepts no more calls. May be called from any thread. */
  void drain();
  [[nodiscard]] const Address& address() const { return this->local; }
  [[nodiscard]] std::size_t openCalls() const { return this->shared.openCalls; }

private:
  static constexpr std::uint64_t kListenerKey = Poller::kWakeKey + 1;

  void run();
  void turn(std::optional<TimePoint> aUntil);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;
  void acceptAll(TimePoint aNow);
  void admit(OwnedFd aFd, TimePoint aNow);
  void startDrain(TimePoint aNow);
  void deliverReplies();
  void runTimers(TimePoint aNow);
  void settleTouched();
  void settle(std::uint64_t aId);
  void sayFarewell();

  Address local;
  ServerShared shared;
  Poller poller;
  OwnedFd listener;
  std::atomic<bool> draining{ false };
  std::atomic<bool> stopping{ false };
  // All members below are used by the I/O thread only.
  bool drainStarted = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<ServerConnection>>
    connections;
  // Also contains the listener's key while accepting is paused.
  TimerQueue timers;
  std::vector<std::uint64_t> touched;
  std::uint64_t lastId = kListenerKey;
  std::thread thread;
};

} // namespace poplartrack
