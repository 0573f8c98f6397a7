#include "relay/RetryAdvice.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RefusalState
stateOf(ErrorKind aKind, bool aOthersServe, Duration aTimeLeft)
{
  return RefusalState{ aKind, aOthersServe, aTimeLeft, 500 };
}

TEST(RetryAdvice, ADrainingRelayAdvisesAnImmediateRetry)
{
  // The answer through another relay can still be on time.
  EXPECT_LT(retryAdvice(stateOf(ErrorKind::Draining, false, seconds{ 20 })),
            milliseconds{ 200 });
}

TEST(RetryAdvice, ACutOffRelayAdvisesAnImmediateRetryWhileOthersServe)
{
  EXPECT_LT(
    retryAdvice(stateOf(ErrorKind::NoConfiguration, true, seconds{ 20 })),
    milliseconds{ 200 });
}

TEST(RetryAdvice, AStoreOutageForAllAdvisesALongDelay)
{
  // The store is unavailable to every relay. A caller that retried within a
  // second would be rejected again and give up.
  EXPECT_GT(
    retryAdvice(stateOf(ErrorKind::NoConfiguration, false, seconds{ 20 })),
    seconds{ 2 });
}

TEST(RetryAdvice, RetriesComeMostlyAfterLostCapacityIsRestored)
{
  // A zone has lost layers that only one replica can hold. The replica restarts
  // after 3 s and has loaded its layers 2 s later. Callers rejected for lack of
  // memory retry once: at least half of them retry after the layers are back.
  const auto delayFor = [](std::uint64_t aSpread) {
    return retryAdvice(
      RefusalState{ ErrorKind::Overloaded, true, seconds{ 20 }, aSpread });
  };
  int inTime = 0;
  for (std::uint64_t spread = 0; spread < 1'000; spread += 10) {
    // Rejections are spread evenly over the 5 s of the loss.
    const Duration refusedAt = milliseconds{ 5 * spread };
    inTime += refusedAt + delayFor(spread * 7 % 1'000) >= seconds{ 5 } ? 1 : 0;
  }
  EXPECT_GE(inTime, 50);
}

RC_GTEST_PROP(RetryAdvice,
              DelaysAreAtMostAThirdOfTheTimeAndSpread,
              (std::uint64_t aOne, std::uint64_t aOther))
{
  const Duration left = milliseconds{ 1 + aOne % 30'000 };
  for (const ErrorKind kind : { ErrorKind::Draining,
                                ErrorKind::NoConfiguration,
                                ErrorKind::Overloaded,
                                ErrorKind::NoRoute }) {
    const auto delayFor = [&](std::uint64_t aSpread) {
      return retryAdvice(RefusalState{ kind, false, left, aSpread });
    };
    RC_ASSERT(delayFor(aOne) <= left / 3);
    RC_ASSERT(delayFor(aOne) >= Duration{ 0 });
    RC_ASSERT((delayFor(aOne) == delayFor(aOther)) ==
                (aOne % 1'000 == aOther % 1'000) ||
              left < milliseconds{ 600 });
  }
}

/** Guards against a booked return outside the range of its reason, which for a
 * caller with little time is scaled down. */
RC_GTEST_PROP(RetryAdvice,
              BookedReturnsAreWithinTheRangeOfTheirReason,
              (std::uint64_t aOne, int aUrgency))
{
  const TimePoint now{ seconds{ 100 } };
  ReturnSchedule schedule;
  RefusalState state = stateOf(ErrorKind::Overloaded, true, seconds{ 20 });
  const auto delayOf = [&](std::uint64_t aSeed) {
    return bookRetry(state, { 1, aOne, aUrgency, aSeed }, schedule, now)->due -
           now;
  };
  for (std::uint64_t seed = aOne; seed < aOne + 100; ++seed) {
    const Duration delay = delayOf(seed);
    RC_ASSERT(delay >= milliseconds{ 2'500 } && delay <= seconds{ 6 });
  }
  state.timeLeft = milliseconds{ 1 + aOne % 1'000 };
  RC_ASSERT(delayOf(aOne) <= state.timeLeft / 3);
  state.kind = ErrorKind::Draining;
  state.timeLeft = seconds{ 20 };
  RC_ASSERT(delayOf(aOne) <= milliseconds{ 170 });
}

/** Guards against a quarantined request that goes before others as a return. */
TEST(RetryAdvice, AQuarantineAdvisesItsRemainingTimeAndIsNotBooked)
{
  RefusalState state;
  state.kind = ErrorKind::Quarantined;
  state.timeLeft = seconds{ 20 };
  state.quarantineLeft = seconds{ 1'800 };
  EXPECT_EQ(retryAdvice(state), seconds{ 1'800 });
  ReturnSchedule schedule;
  EXPECT_FALSE(bookRetry(state, {}, schedule, TimePoint{}));
  state.quarantineLeft = seconds{ 0 };
  EXPECT_FALSE(bookRetry(state, {}, schedule, TimePoint{}));
}

} // namespace
} // namespace poplartrack
