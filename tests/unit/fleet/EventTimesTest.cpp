#include "poplartrack/fleet/EventTimes.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::seconds{ 100 } };

TEST(EventTimes, ThePauseOfAMovedStreamIncludesTheTimeBeforeTheMove)
{
  // A pause that began with the repair hid how long the loss had stopped the
  // stream.
  EventTimes times;
  EXPECT_EQ(times.onEvents(kStart, false), Duration{ 0 });
  times.onEvents(kStart + milliseconds{ 40 }, false);
  EXPECT_EQ(times.onEvents(kStart + milliseconds{ 340 }, true),
            milliseconds{ 300 });
  EXPECT_EQ(times.longestPause(), milliseconds{ 300 });
}

TEST(EventTimes, TheExpectedGapIsTheStreamsOwnFromThreeEvents)
{
  const Duration forecast = milliseconds{ 90 };
  EventTimes times;
  times.onEvents(kStart, false);
  times.onEvents(kStart + milliseconds{ 30 }, false);
  EXPECT_EQ(times.expectedGap(forecast), forecast);
  times.onEvents(kStart + milliseconds{ 80 }, false);
  EXPECT_EQ(times.expectedGap(forecast), milliseconds{ 40 });
  // A pause across a move would delay the detection of the next loss.
  times.onEvents(kStart + milliseconds{ 2'000 }, true);
  EXPECT_EQ(times.expectedGap(forecast), milliseconds{ 40 });
}

} // namespace
} // namespace poplartrack
