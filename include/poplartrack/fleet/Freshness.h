#pragma once

#include <atomic>
#include <cstdint>
#include <ctime>
#include <limits>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** A monotonic clock that also counts the time for which the instance is
 * suspended. The steady clock stops during a suspension, so a lease or a
 * freshness proof measured by it would look fresh after a suspension of any
 * length. */
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

/** The time at which this process is last known to have had the newest
 * configuration. The threads that poll the store and receive messages from
 * other relays write it; every request reads it. */
template<ClockLike Clock>
class Freshness
{
public:
  explicit Freshness(const Clock& aClock)
    : clock(aClock)
  {
  }

  /** Records that all configuration changes up to a time are applied. A time
   * before the latest proof changes nothing. Thread-safe. */
  void prove(TimePoint aMoment)
  {
    const std::int64_t moment = aMoment.time_since_epoch().count();
    std::int64_t before = this->proved.load(std::memory_order_relaxed);
    while (before < moment && !this->proved.compare_exchange_weak(
                                before, moment, std::memory_order_release)) {
    }
  }
  /** Returns the time since the latest proof; Duration::max() before the first.
   */
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
