#pragma once

#include <atomic>
#include <cstdint>
#include <ctime>
#include <limits>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * The monotonic clock that goes on while the instance is suspended. The steady
 * clock stands still then: a lease or a proof measured by it would look fresh
 * after a suspension of any length.
 */
class SuspendAwareClock
{
public:
  [[nodiscard]] TimePoint now() const
  {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    constexpr std::int64_t kNanosPerMicro = 1'000;
    return TimePoint{ Duration{ time.tv_sec * kMicrosPerSecond +
                                time.tv_nsec / kNanosPerMicro } };
  }
};

static_assert(ClockLike<SuspendAwareClock>);

/**
 * The moment up to which this process is known to have the newest
 * configuration. Written by the threads that read the store and hear other
 * relays, read on the path of every request.
 */
template<ClockLike Clock>
class Freshness
{
public:
  explicit Freshness(const Clock& aClock)
    : clock(aClock)
  {
  }

  /** What the store said of this moment is published. An earlier moment than
   * one that was proved already changes nothing. Thread-safe. */
  void prove(TimePoint aMoment)
  {
    const std::int64_t moment = aMoment.time_since_epoch().count();
    std::int64_t before = this->proved.load(std::memory_order_relaxed);
    while (before < moment && !this->proved.compare_exchange_weak(
                                before, moment, std::memory_order_release)) {
    }
  }
  /** Time since the last proof; very long while there is none. */
  [[nodiscard]] Duration age() const
  {
    const std::int64_t at = this->proved.load(std::memory_order_acquire);
    if (at == kNever) {
      return Duration::max();
    }
    return this->clock.now() - TimePoint{ Duration{ at } };
  }

private:
  static constexpr std::int64_t kNever =
    std::numeric_limits<std::int64_t>::min();

  const Clock& clock;
  std::atomic<std::int64_t> proved{ kNever };
};

} // namespace poplartrack
