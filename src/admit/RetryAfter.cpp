#include "poplartrack/admit/RetryAfter.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** Half-life of the counts of admitted and rejected requests, microseconds. */
constexpr double kHalfLifeMicros = 5e6;

} // namespace

RetryAfter::RetryAfter(const AdmissionPolicy& aPolicy, std::uint64_t aSeed)
  : shortest(aPolicy.shortestRetryAfter)
  , longest(aPolicy.longestRetryAfter)
  , random(aSeed)
{
}

void
RetryAfter::decay(TimePoint aNow)
{
  const Duration passed = std::max(Duration{ 0 }, aNow - this->last);
  const double factor =
    std::exp2(-static_cast<double>(passed.count()) / kHalfLifeMicros);
  this->admitted *= factor;
  this->refused *= factor;
  this->last = std::max(this->last, aNow);
}

void
RetryAfter::onAdmitted(TimePoint aNow)
{
  this->decay(aNow);
  this->admitted += 1;
}

Duration
RetryAfter::onRefused(Duration aMinimum, TimePoint aNow)
{
  this->decay(aNow);
  this->refused += 1;
  const double overload = this->refused / std::max(1.0, this->admitted);
  const double window =
    std::min(static_cast<double>(this->longest.count()),
             static_cast<double>(this->shortest.count()) * (1 + overload));
  const Duration least =
    std::min(std::max(aMinimum, this->shortest), this->longest);
  std::uniform_real_distribution<double> spread(0, window);
  return least + Duration{ static_cast<std::int64_t>(spread(this->random)) };
}

} // namespace poplartrack
