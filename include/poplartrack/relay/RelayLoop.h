#pragma once

#include <functional>
#include <memory>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/relay/RelayHeaderNames.h"
#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/relay/ReplicaCalls.h"

namespace poplartrack {

/**
 * The thread that forwards requests. One epoll instance handles the
 * connections of callers, the connections to replicas and the datagrams between
 * relays. RequestGate, PathFinder, ReplicaHealth, LoadTracker and RetryBudgets
 * make the decisions; the loop carries them out on its sockets.
 */
class RelayLoop
{
public:
  using LoopClock = std::function<TimePoint()>;

  /** Binds the sockets and starts the thread. Fails with ErrorKind::Network,
   * naming the address, if an address cannot be bound. aClock: the time by
   * which requests wait and timers expire; tests advance one of their own. */
  static Result<std::unique_ptr<RelayLoop>> create(
    RelaySettings aSettings,
    RelayHeaderNames aNames,
    RelayShared& aShared,
    ReplicaCalls aCalls,
    LoopClock aClock = runtimeNow);
  RelayLoop(const RelayLoop&) = delete;
  RelayLoop& operator=(const RelayLoop&) = delete;
  /** Stops the thread and closes all open connections. */
  ~RelayLoop();

  /** Address on which callers connect. */
  [[nodiscard]] Address callersAddress() const;
  /** Address to which other relays send their datagrams. */
  [[nodiscard]] Address peersAddress() const;
  /** Runs aWork on the loop's thread. May be called from any thread. */
  void post(std::function<void()> aWork);
  /** Ends all open requests, each with an answer if its caller has no part of
   * one yet, and stops the thread: nothing is read from callers any more. Their
   * connections stay open until the loop is destroyed. */
  void stop();
  /** Number of requests whose answers are not complete yet. May be called from
   * any thread. */
  [[nodiscard]] std::size_t openRequests() const;
  /** Returns the number of callers whose answers are not written completely.
   * May be called from any thread. */
  [[nodiscard]] std::size_t unwrittenAnswers() const;

private:
  class Impl;
  explicit RelayLoop(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace poplartrack
