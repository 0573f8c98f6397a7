#include "poplartrack/admit/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** The limit grows only if at least this fraction of it is in use. Otherwise it
 * would grow without load to a value that was never tested. */
constexpr double kMinUtilization = 0.8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const AdmissionPolicy& aPolicy)
  : policy(aPolicy)
  , current(aPolicy.initialLimit)
{
}

void
ConcurrencyLimit::onPressure(double aPressure,
                             std::uint32_t aInFlight,
                             TimePoint aNow)
{
  this->pressureSum += aPressure;
  this->sampleCount += 1;
  if (this->intervalEnds == TimePoint{}) {
    this->intervalEnds = aNow + this->policy.interval;
    return;
  }
  if (aNow < this->intervalEnds) {
    return;
  }
  this->adjust(aInFlight);
  this->pressureSum = 0;
  this->sampleCount = 0;
  this->intervalEnds = aNow + this->policy.interval;
}

void
ConcurrencyLimit::adjust(std::uint32_t aInFlight)
{
  if (this->pressureSum > this->sampleCount) {
    this->current *= this->policy.decrease;
    this->probing = false;
  } else if (aInFlight >= kMinUtilization * this->current) {
    // Before the first standing queue the limit is a guess, and a low guess
    // would reject requests without need, so it grows fast. After that it grows
    // by its square root: this step is small relative to a large limit, and a
    // small limit still grows quickly.
    this->current +=
      this->probing ? this->current / 2 : std::sqrt(this->current);
  }
  this->current = std::clamp(
    this->current, this->policy.lowestLimit, this->policy.highestLimit);
}

} // namespace poplartrack
