#pragma once

#include <functional>
#include <memory>

#include "poplartrack/base/Result.h"
#include "poplartrack/relay/RelayHeaderNames.h"
#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/relay/ReplicaCalls.h"

namespace poplartrack {

/**
 * The thread that forwards requests: callers' connections, connections to
 * replicas and the datagrams between relays, on one epoll instance. Decisions
 * are made by RequestGate, PathFinder, ReplicaHealth, LoadTracker and
 * RetryBudget; here they meet sockets.
 */
class RelayLoop
{
public:
  /** Listens at once; Network names an address that cannot be had. */
  static Result<std::unique_ptr<RelayLoop>> create(RelaySettings aSettings,
                                                   RelayHeaderNames aNames,
                                                   RelayShared& aShared,
                                                   ReplicaCalls aCalls);
  RelayLoop(const RelayLoop&) = delete;
  RelayLoop& operator=(const RelayLoop&) = delete;
  /** Ends the thread; open connections are closed. */
  ~RelayLoop();

  /** Where callers connect. */
  [[nodiscard]] Address callersAddress() const;
  /** Where other relays send their datagrams. */
  [[nodiscard]] Address peersAddress() const;
  /** Runs aWork on the loop's thread; from any thread. */
  void post(std::function<void()> aWork);
  /** Requests whose answers are not whole yet. */
  [[nodiscard]] std::size_t openRequests() const;

private:
  class Impl;
  explicit RelayLoop(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace poplartrack
