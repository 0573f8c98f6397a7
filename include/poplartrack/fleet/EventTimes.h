#pragma once

#include <cstdint>
#include <optional>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** The times at which the events of one stream arrived, over all its attempts
 * and paths. Pure; not thread-safe. */
class EventTimes
{
public:
  /**
   * Records the arrival of one or more events. Returns the time since the
   * previous ones; 0 for the first.
   * @param aDisturbed whether the stream was moved or resumed since the
   * previous events. Such a pause says nothing of the stream's pace.
   */
  Duration onEvents(TimePoint aNow, bool aDisturbed);

  /** Returns when the latest event arrived; nothing before the first. */
  [[nodiscard]] std::optional<TimePoint> last() const { return this->lastAt; }
  /** Returns the longest time between two events, including the time that
   * repairs and retries took. */
  [[nodiscard]] Duration longestPause() const { return this->longest; }
  /** Returns the expected time between two events: their smoothed gap, or
   * aForecast until three arrivals have shown one. */
  [[nodiscard]] Duration expectedGap(Duration aForecast) const;

private:
  std::optional<TimePoint> lastAt;
  Duration longest{ 0 };
  Duration smoothedGap{ 0 };
  /** Number of gaps in smoothedGap. */
  std::uint32_t gaps = 0;
};

} // namespace poplartrack
