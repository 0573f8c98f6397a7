#include "poplartrack/retry/StallDetector.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** Weight of the newest gap in the smoothed gap. This and the two constants
 * below are those of TCP's retransmission timeout. */
constexpr double kGapWeight = 0.125;
/** Weight of the newest deviation in the smoothed deviation. */
constexpr double kDeviationWeight = 0.25;
/** Number of smoothed deviations added to the timeout. */
constexpr double kDeviations = 4;

} // namespace

StallDetector::StallDetector(const StallPolicy& aPolicy,
                             Duration aExpectedFirstToken,
                             Duration aExpectedPerToken,
                             TimePoint aNow)
  : policy(aPolicy)
  , expectedFirstToken(aExpectedFirstToken)
  , gap(static_cast<double>(aExpectedPerToken.count()))
  , deviation(0)
  , last(aNow)
{
}

void
StallDetector::onToken(TimePoint aNow)
{
  const auto observed =
    static_cast<double>(std::max<std::int64_t>(0, (aNow - this->last).count()));
  this->last = std::max(this->last, aNow);
  ++this->tokens;
  if (this->tokens == 1) {
    return;
  }
  // The first observed gap gets a larger weight: the smoothed gap is still only
  // the expected one.
  const double weight = this->tokens == 2 ? 0.5 : kGapWeight;
  const double error = std::abs(observed - this->gap);
  this->deviation += kDeviationWeight * (error - this->deviation);
  this->gap += weight * (observed - this->gap);
}

Duration
StallDetector::timeout() const
{
  const double pace = this->tokens == 0
                        ? static_cast<double>(this->expectedFirstToken.count())
                        : this->gap;
  const double micros =
    this->policy.factor * pace + kDeviations * this->deviation;
  const auto unbounded = Duration{ static_cast<std::int64_t>(micros) };
  return std::clamp(unbounded, this->policy.shortest, this->policy.longest);
}

TimePoint
StallDetector::stallsAt() const
{
  return this->last + this->timeout();
}

} // namespace poplartrack
