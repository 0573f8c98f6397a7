#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ClientConnection.h"
#include "Mailbox.h"
#include "PeerTable.h"
#include "TimerQueue.h"

namespace poplartrack {

/** A call that is passed to the I/O thread. */
struct NewCall
{
  Address peer;
  std::string frame;
  TimePoint deadline;
  CallDone done;
};

/** The connections of one client and the thread that serves them. */
class ClientLoop
{
public:
  ClientLoop(Poller aPoller, StreamClientLimits aLimits)
    : limits(aLimits)
    , poller(std::move(aPoller))
    , inbox(this->poller)
    , peers(aLimits.reconnectBackoff, std::random_device{}())
    , thread([this] { this->run(); })
  {
  }
  ClientLoop(const ClientLoop&) = delete;
  ClientLoop& operator=(const ClientLoop&) = delete;
  /** Ends calls in progress as Unknown. */
  ~ClientLoop();

  /** Starts a call. May be called from any thread. */
  void call(NewCall aCall);

private:
  /** A connection and its peer. */
  struct Link
  {
    ClientConnection connection;
    Address peer;
    /** Whether the poller watches for writing. */
    bool watchesWrite = true;
  };

  void run();
  void turn();
  void begin(NewCall aCall, TimePoint aNow);
  std::uint64_t connectionTo(const Address& aPeer, TimePoint aNow);
  std::uint64_t connect(const Address& aPeer, TimePoint aNow);
  void runTimers(TimePoint aNow);
  void touch(std::uint64_t aConnection);
  [[nodiscard]] std::optional<TimePoint> waitUntil(TimePoint aNow);
  void settleTouched(TimePoint aNow);
  void settle(std::uint64_t aId, TimePoint aNow);
  void watch(std::uint64_t aId, Link& aLink);
  void drop(std::uint64_t aId, TimePoint aNow);
  void endAll();

  StreamClientLimits limits;
  Poller poller;
  Mailbox<NewCall> inbox;
  std::atomic<bool> stopping{ false };
  // All members below are used by the I/O thread only.
  PeerTable peers;
  std::unordered_map<std::uint64_t, std::unique_ptr<Link>> links;
  // The connection of each call, by the number of the call.
  std::unordered_map<std::uint64_t, std::uint64_t> places;
  TimerQueue callTimers;
  TimerQueue connectionTimers;
  std::vector<std::uint64_t> touched;
  std::uint64_t lastCall = 0;
  std::uint64_t lastConnection = Poller::kWakeKey;
  std::thread thread;
};

} // namespace poplartrack
