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

TEST(RetryAdvice, AStoppingRelaySendsCallersElsewhereAtOnce)
{
  // The answer through another relay can still be on time.
  EXPECT_LT(retryAdvice(stateOf(ErrorKind::Draining, false, seconds{ 20 })),
            milliseconds{ 200 });
}

TEST(RetryAdvice, ACutOffRelaySendsCallersToThoseThatServe)
{
  EXPECT_LT(
    retryAdvice(stateOf(ErrorKind::NoConfiguration, true, seconds{ 20 })),
    milliseconds{ 200 });
}

TEST(RetryAdvice, AnOutageForAllIsWaitedFor)
{
  // The store is away for every relay. A caller that came back within a second
  // would be refused for the last time.
  EXPECT_GT(
    retryAdvice(stateOf(ErrorKind::NoConfiguration, false, seconds{ 20 })),
    seconds{ 2 });
}

TEST(RetryAdvice, ACallerWithOneReturnSpendsItWhenLostPartsAreBack)
{
  // A zone has lost what only one replica could hold. That one is back after 3
  // s and has loaded its layers 2 s later. Callers refused for want of memory
  // have one return: at least half of them come back to a zone that is whole.
  const auto at = [](std::uint64_t aSpread) {
    return retryAdvice(
      RefusalState{ ErrorKind::Overloaded, true, seconds{ 20 }, aSpread });
  };
  int inTime = 0;
  for (std::uint64_t spread = 0; spread < 1'000; spread += 10) {
    // Refused at any moment of the 5 s of the loss.
    const Duration refusedAt = milliseconds{ 5 * spread };
    inTime += refusedAt + at(spread * 7 % 1'000) >= seconds{ 5 } ? 1 : 0;
  }
  EXPECT_GE(inTime, 50);
}

RC_GTEST_PROP(RetryAdvice,
              NeverAsksForMoreThanAThirdOfTheTimeAndSpreads,
              (std::uint64_t aOne, std::uint64_t aOther))
{
  const Duration left = milliseconds{ 1 + aOne % 30'000 };
  for (const ErrorKind kind : { ErrorKind::Draining,
                                ErrorKind::NoConfiguration,
                                ErrorKind::Overloaded,
                                ErrorKind::NoRoute }) {
    const auto at = [&](std::uint64_t aSpread) {
      return retryAdvice(RefusalState{ kind, false, left, aSpread });
    };
    RC_ASSERT(at(aOne) <= left / 3);
    RC_ASSERT(at(aOne) >= Duration{ 0 });
    RC_ASSERT((at(aOne) == at(aOther)) == (aOne % 1'000 == aOther % 1'000) ||
              left < milliseconds{ 600 });
  }
}

TEST(RetryAdvice, AQuarantineSaysHowLongItLasts)
{
  RefusalState state;
  state.kind = ErrorKind::Quarantined;
  state.timeLeft = seconds{ 20 };
  state.quarantineLeft = seconds{ 1'800 };
  EXPECT_EQ(retryAdvice(state), seconds{ 1'800 });
}

} // namespace
} // namespace poplartrack
