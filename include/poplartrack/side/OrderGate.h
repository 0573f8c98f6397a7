#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"
#include "poplartrack/wire/EndpointOrder.h"

namespace poplartrack {

/**
 * Decides which orders pass a side to its endpoint, which may take any.
 *
 * - A placer that was frozen past its lease wakes and orders as if it still
 * held it. Its number is below that of its successor, so its orders are
 * rejected once this side has received one of the successor.
 * - A side that was restarted has forgotten the numbers. It takes no order
 * until it has read the lease's number from the platform; while the platform is
 * down it takes none, but serves calls.
 * - An order that is still with the endpoint may act after a later one was
 *   taken, which counts as proof that it cannot. So nothing is taken until the
 *   endpoint has answered, or for some time after it did not.
 *
 * Thread-safe.
 */
class OrderGate
{
public:
  /** The platform was read: orders below this number belong to past leases. */
  void onFloor(std::uint64_t aFence);
  /** Whether the platform has been read. */
  [[nodiscard]] bool ready() const;
  /** Nothing: the order passes. A load that passes must be followed by
   * onEngineEnd. Errors: StaleFence, Conflict while an earlier load is with the
   * endpoint, PlatformUnavailable before ready(). */
  std::optional<Error> admit(const EndpointOrder& aOrder, TimePoint aNow);
  /** The endpoint's call has ended; aSure: it was answered. */
  void onEngineEnd(bool aSure, TimePoint aNow);
  /** Highest number that passed or was read. */
  [[nodiscard]] std::uint64_t highest() const;

private:
  mutable std::mutex guard;
  bool floorKnown = false;
  std::uint64_t fence = 0;
  bool withEngine = false;
  TimePoint unsureUntil{};
};

} // namespace poplartrack
