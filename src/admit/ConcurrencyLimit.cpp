#include "poplartrack/admit/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** The limit grows only while at least this part of it is in use: an idle
 * hour must not raise it to a height that was never tried. */
constexpr double kInUse = 0.8;

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
  this->sum += aPressure;
  this->count += 1;
  if (this->intervalEnds == TimePoint{}) {
    this->intervalEnds = aNow + this->policy.interval;
    return;
  }
  if (aNow < this->intervalEnds) {
    return;
  }
  this->close(aInFlight);
  this->sum = 0;
  this->count = 0;
  this->intervalEnds = aNow + this->policy.interval;
}

void
ConcurrencyLimit::close(std::uint32_t aInFlight)
{
  if (this->sum > this->count) {
    this->current *= this->policy.decrease;
    this->probing = false;
  } else if (aInFlight >= kInUse * this->current) {
    // Until the first queue is met the limit is a mere guess, and callers would
    // be refused for it. From then on the square root keeps the step small
    // against a large limit and quick out of a small one.
    this->current +=
      this->probing ? this->current / 2 : std::sqrt(this->current);
  }
  this->current = std::clamp(
    this->current, this->policy.lowestLimit, this->policy.highestLimit);
}

} // namespace poplartrack
