#include "poplartrack/fleet/StoreClock.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

TimePoint
at(std::int64_t aMs)
{
  return TimePoint{ milliseconds{ aMs } };
}

TEST(StoreClock, DatesALongPollAtItsEndAfterAQuickCall)
{
  // The store's clock is 1,000 ms behind ours.
  StoreClock clock;
  clock.onAnswer(at(5'000), 4'002);
  clock.onAnswer(at(6'000), 6'500);
  const auto moment = clock.earliest(6'500);
  ASSERT_TRUE(moment);
  EXPECT_LE(*moment, at(7'500));
  EXPECT_GE(*moment, at(7'490));
}

TEST(StoreClock, NothingIsKnownBeforeTheFirstAnswer)
{
  EXPECT_FALSE(StoreClock{}.earliest(5));
}

TEST(StoreClock, StartsOverWhenTheStoresClockRestarts)
{
  // A proof dated by the clock before its restart would look minutes fresher
  // than it is.
  StoreClock clock;
  clock.onAnswer(at(5'000), 900'000);
  clock.onAnswer(at(6'000), 10);
  EXPECT_LE(*clock.earliest(10), at(6'000));
}

RC_GTEST_PROP(
  StoreClock,
  NeverDatesAnAnswerLaterThanItWasGiven,
  (const std::vector<std::pair<std::uint16_t, std::uint16_t>>& aCalls))
{
  // Each call: ms until the store answers, ms until the answer arrives.
  constexpr std::int64_t kOffset = 12'345;
  StoreClock clock;
  std::int64_t now = 1'000;
  for (const auto& [there, back] : aCalls) {
    const std::int64_t answered = now + there % 3'000;
    clock.onAnswer(at(now), answered + kOffset);
    RC_ASSERT(*clock.earliest(answered + kOffset) <= at(answered));
    now = answered + back % 3'000 + 1;
  }
}

} // namespace
} // namespace poplartrack
