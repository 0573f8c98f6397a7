#include "poplartrack/retry/StallDetector.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

TEST(StallDetector, timeoutFollowsTheExpectedPace)
{
  const StallDetector fast(
    StallPolicy{}, milliseconds{ 100 }, milliseconds{ 20 }, kStart);
  const StallDetector slow(
    StallPolicy{}, milliseconds{ 400 }, milliseconds{ 80 }, kStart);
  EXPECT_FALSE(fast.stalled(kStart + milliseconds{ 790 }));
  EXPECT_TRUE(fast.stalled(kStart + milliseconds{ 810 }));
  EXPECT_FALSE(slow.stalled(kStart + milliseconds{ 3000 }));
}

TEST(StallDetector, aSteadySlowPaceIsNoStall)
{
  // The stage runs five times slower than expected. The detector adapts to the
  // pace it observes, and the caller gets a slow answer instead of a broken
  // one.
  StallDetector detector(
    StallPolicy{}, milliseconds{ 100 }, milliseconds{ 40 }, kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 50; ++i) {
    now += milliseconds{ 200 };
    ASSERT_FALSE(detector.stalled(now)) << i;
    detector.onToken(now);
  }
  EXPECT_TRUE(detector.stalled(now + milliseconds{ 2500 }));
}

TEST(StallDetector, aStallAfterAFastPaceIsDetectedSoon)
{
  StallDetector detector(
    StallPolicy{}, milliseconds{ 100 }, milliseconds{ 10 }, kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 50; ++i) {
    now += milliseconds{ 10 };
    detector.onToken(now);
  }
  EXPECT_FALSE(detector.stalled(now + milliseconds{ 240 }));
  EXPECT_TRUE(detector.stalled(now + milliseconds{ 260 }));
}

} // namespace
} // namespace poplartrack
