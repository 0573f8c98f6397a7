#pragma once

#include <atomic>
#include <chrono>
#include <concepts>

namespace poplartrack {

using Duration = std::chrono::microseconds;
/** A point on the runtime's monotonic clock; never sent between processes. */
using TimePoint =
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/** Anything that tells the monotonic time. */
template<typename T>
concept ClockLike = requires(const T& aClock)
{
  {
    aClock.now()
    } -> std::same_as<TimePoint>;
};

/** The clock of the runtime. */
class SystemClock
{
public:
  [[nodiscard]] TimePoint now() const
  {
    return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
  }
};

/** The time on the clock of the runtime, for the adapters around decisions. */
inline TimePoint
runtimeNow()
{
  return SystemClock{}.now();
}

/** A clock that stands still until a test advances it. */
class ManualClock
{
public:
  [[nodiscard]] TimePoint now() const
  {
    return TimePoint{ Duration{ this->micros.load() } };
  }
  void advance(Duration aStep) { this->micros += aStep.count(); }

private:
  std::atomic<std::int64_t> micros{ 0 };
};

static_assert(ClockLike<SystemClock> && ClockLike<ManualClock>);

} // namespace poplartrack
