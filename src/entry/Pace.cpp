#include "poplartrack/entry/Pace.h"

#include <algorithm>

namespace poplartrack {
namespace {

Duration
scaled(Duration aValue, double aFactor)
{
  return Duration{ static_cast<std::int64_t>(
    static_cast<double>(aValue.count()) * aFactor) };
}

} // namespace

void
Pace::expect(const ExpectedPace& aExpected)
{
  this->expectedFirst = aExpected.firstToken;
  this->smoothedGap = std::max(this->gap(), aExpected.perToken);
}

void
Pace::onAttempt(std::uint32_t aPrefillTokens, TimePoint aNow)
{
  this->prefill = aPrefillTokens;
  this->attemptHasToken = false;
  this->last = aNow;
}

void
Pace::onToken(TimePoint aNow)
{
  if (this->attemptHasToken) {
    const Duration newest = aNow - this->last;
    this->smoothedGap = scaled(newest, this->policy.gapWeight) +
                        scaled(this->gap(), 1.0 - this->policy.gapWeight);
  }
  this->attemptHasToken = true;
  this->last = aNow;
}

TimePoint
Pace::stallsAt() const
{
  const Duration wait =
    this->attemptHasToken
      ? scaled(this->gap(), this->policy.stallFactor)
      : std::max(scaled(this->firstToken(this->prefill),
                        this->policy.firstTokenFactor),
                 scaled(this->expectedFirst, this->policy.stallFactor));
  return this->last + std::max(wait, this->policy.stallFloor);
}

Duration
Pace::expectedFor(std::uint32_t aPrefillTokens, std::uint32_t aTokensLeft) const
{
  const std::uint32_t furtherTokens = aTokensLeft > 0 ? aTokensLeft - 1 : 0;
  return this->firstToken(aPrefillTokens) + this->gap() * furtherTokens;
}

Duration
Pace::gap() const
{
  return this->smoothedGap.value_or(this->policy.tokenGap);
}

Duration
Pace::firstToken(std::uint32_t aPrefillTokens) const
{
  return std::max(this->expectedFirst,
                  this->policy.firstTokenBase +
                    this->policy.prefillPerToken * aPrefillTokens);
}

} // namespace poplartrack
