#include "poplartrack/admit/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/** Longest time returned, also when the rate is 0 and nothing refills. */
constexpr Duration kMaxWait = std::chrono::hours{ 1 };

} // namespace

void
TokenBucket::configure(double aRate, double aDepth, TimePoint aNow)
{
  this->refill(aNow);
  this->unitsPerSecond = aRate;
  this->depth = aDepth;
  if (!this->started) {
    this->started = true;
    this->level = aDepth;
  }
  this->level = std::min(this->level, aDepth);
}

void
TokenBucket::refill(TimePoint aNow)
{
  const Duration passed = std::max(Duration{ 0 }, aNow - this->last);
  this->last = std::max(this->last, aNow);
  const double gain = this->unitsPerSecond *
                      static_cast<double>(passed.count()) / kMicrosPerSecond;
  this->level = std::min(this->depth, this->level + gain);
}

bool
TokenBucket::ready(TimePoint aNow)
{
  this->refill(aNow);
  return this->level > 0;
}

void
TokenBucket::refund(double aAmount)
{
  this->level = std::min(this->depth, this->level + aAmount);
}

Duration
TokenBucket::timeUntilReady(TimePoint aNow)
{
  if (this->ready(aNow)) {
    return Duration{ 0 };
  }
  if (this->unitsPerSecond <= 0) {
    return kMaxWait;
  }
  const double micros =
    std::ceil(-this->level / this->unitsPerSecond * kMicrosPerSecond) + 1;
  return std::min(kMaxWait, Duration{ static_cast<std::int64_t>(micros) });
}

} // namespace poplartrack
