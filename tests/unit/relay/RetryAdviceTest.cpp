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

} // namespace
} // namespace poplartrack
