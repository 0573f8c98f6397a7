#include "poplartrack/fleet/EventTimes.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** The newest gap has the weight 1 / kGapsInMean in the smoothed gap. */
constexpr std::uint32_t kGapsInMean = 8;

/** Smallest number of gaps that replaces the forecast: those between three
 * arrivals. */
constexpr std::uint32_t kMinGaps = 2;

} // namespace

Duration
EventTimes::onEvents(TimePoint aNow, bool aDisturbed)
{
  if (!this->lastAt) {
    this->lastAt = aNow;
    return Duration{ 0 };
  }
  const Duration gap = aNow - *this->lastAt;
  this->lastAt = aNow;
  this->longest = std::max(this->longest, gap);
  if (!aDisturbed) {
    // The first gaps are averaged evenly.
    ++this->gaps;
    const auto weight = std::min(this->gaps, kGapsInMean);
    this->smoothedGap += (gap - this->smoothedGap) / static_cast<int>(weight);
  }
  return gap;
}

Duration
EventTimes::expectedGap(Duration aForecast) const
{
  return this->gaps < kMinGaps ? aForecast : this->smoothedGap;
}

} // namespace poplartrack
