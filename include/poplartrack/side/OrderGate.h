#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"
#include "poplartrack/wire/EndpointOrder.h"

namespace poplartrack {

/**
 * Decides which orders a side passes on to its endpoint, which itself checks
 * none.
 *
 * - A placer that was suspended beyond its lease resumes and sends orders as if
 *   it still held the lease. Its fencing number is below that of its successor,
 *   so its orders are rejected once this side has received one of the
 * successor.
 * - A restarted side has forgotten the numbers. It accepts no order until it
 * has read the lease's number from the platform. While the platform is down it
 *   accepts none, but serves calls.
 * - An order that the endpoint is still handling could take effect after a
 * later one was accepted, which counts as proof that it cannot. So none is
 * accepted until the endpoint has answered, or for some time if it does not.
 *
 * Thread-safe.
 */
class OrderGate
{
public:
  /** Handles a read of the lease: orders below this number belong to past
   * leases. */
  void onFloor(std::uint64_t aFence);
  /** Returns whether the lease has been read. */
  [[nodiscard]] bool ready() const;
  /** Returns nullopt if the order is accepted. An accepted load must be
   * followed by onEngineEnd. Errors: StaleFence, Conflict while the endpoint
   * handles an earlier load, PlatformUnavailable before ready(). */
  std::optional<Error> admit(const EndpointOrder& aOrder, TimePoint aNow);
  /** Handles the end of the call to the endpoint.
   * @param aSure whether it was answered */
  void onEngineEnd(bool aSure, TimePoint aNow);
  /** Highest number that was accepted or read. */
  [[nodiscard]] std::uint64_t highest() const;

private:
  mutable std::mutex guard;
  bool floorKnown = false;
  std::uint64_t fence = 0;
  bool withEngine = false;
  TimePoint unsureUntil{};
};

} // namespace poplartrack
