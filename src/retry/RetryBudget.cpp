#include "poplartrack/retry/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

double
seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Returns the bound of the retries earned by time alone. At least 1: one whole
 * retry must fit. */
double
maxEarnedByTime(const RetryBudgetPolicy& aPolicy)
{
  return std::max({ 1.0, aPolicy.perSecond, aPolicy.reserve });
}

} // namespace

RetryBudget::RetryBudget(const RetryBudgetPolicy& aPolicy)
  : policy(aPolicy)
  , earnedByTime(std::max(aPolicy.perSecond, aPolicy.reserve))
{
}

void
RetryBudget::advance(TimePoint aNow)
{
  if (!this->started) {
    this->started = true;
    this->last = aNow;
  }
  const double passed = std::max(0.0, seconds(aNow - this->last));
  this->last = std::max(this->last, aNow);
  this->earned *= std::exp(-passed / seconds(this->policy.window));
  this->earnedByTime =
    std::min(maxEarnedByTime(this->policy),
             this->earnedByTime + passed * this->policy.perSecond);
}

void
RetryBudget::setPolicy(const RetryBudgetPolicy& aPolicy)
{
  this->policy = aPolicy;
  this->earnedByTime = std::min(this->earnedByTime, maxEarnedByTime(aPolicy));
}

void
RetryBudget::onRequest(TimePoint aNow)
{
  this->advance(aNow);
  this->earned += this->policy.ratio;
}

bool
RetryBudget::tryRetry(TimePoint aNow)
{
  this->advance(aNow);
  if (this->earned >= 1) {
    this->earned -= 1;
    return true;
  }
  if (this->earnedByTime >= 1) {
    this->earnedByTime -= 1;
    return true;
  }
  return false;
}

std::optional<TimePoint>
RetryBudget::bookRetry(TimePoint aNow, TimePoint aLatest)
{
  if (this->tryRetry(aNow)) {
    return aNow;
  }
  // With more booked ahead, a request whose deadline is near would find no
  // retry for a long time.
  const bool isFull = this->earnedByTime - 1 < -this->policy.reserve;
  if (this->policy.perSecond <= 0 || isFull) {
    return std::nullopt;
  }
  const std::chrono::duration<double> wait{ (1 - this->earnedByTime) /
                                            this->policy.perSecond };
  // Rounded up: the bound holds at every moment.
  const TimePoint when = aNow + std::chrono::ceil<Duration>(wait);
  if (when > aLatest) {
    return std::nullopt;
  }
  this->earnedByTime -= 1;
  return when;
}

} // namespace poplartrack
