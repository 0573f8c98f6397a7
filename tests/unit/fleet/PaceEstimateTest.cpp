#include "poplartrack/fleet/PaceEstimate.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Duration kForecast = milliseconds{ 100 };
constexpr Duration kNoDelay{ 0 };

TEST(PaceEstimateTest, FollowsTheRatioOfActualToForecastTimes)
{
  PaceEstimate estimate;
  EXPECT_EQ(estimate.at("a", kStart).firstEvent, 1);
  for (int i = 0; i < 30; ++i) {
    estimate.addFirstEvent("a", kForecast, 2 * kForecast, kNoDelay, kStart);
  }
  EXPECT_NEAR(estimate.at("a", kStart).firstEvent, 2, 0.05);
  EXPECT_EQ(estimate.at("a", kStart).pause, 1);
  EXPECT_EQ(estimate.at("b", kStart).firstEvent, 1);
}

TEST(PaceEstimateTest, OneExtremeSampleMovesACorrectionLittle)
{
  // A lost packet delays a single event by a second.
  PaceEstimate estimate;
  estimate.addFirstEvent("a", kForecast, seconds{ 100 }, kNoDelay, kStart);
  EXPECT_LT(estimate.at("a", kStart).firstEvent, 1.7);
  estimate.addPause("a", Duration{ 0 }, seconds{ 100 }, kNoDelay, kStart);
  EXPECT_EQ(estimate.at("a", kStart).pause, 1);
}

TEST(PaceEstimateTest, CorrectionsStayWithinTheirBounds)
{
  PaceEstimate estimate;
  for (int i = 0; i < 1'000; ++i) {
    estimate.addFirstEvent("slow", kForecast, 50 * kForecast, kNoDelay, kStart);
    estimate.addPause("fast", kForecast, Duration{ 1 }, kNoDelay, kStart);
  }
  EXPECT_LE(estimate.at("slow", kStart).firstEvent, 4);
  EXPECT_GE(estimate.at("fast", kStart).pause, 0.5);
}

TEST(PaceEstimateTest, WithoutSamplesACorrectionEndsWithinFiveSeconds)
{
  // A replica that receives no requests because of its correction would never
  // be tried again.
  PaceEstimate estimate;
  for (int i = 0; i < 100; ++i) {
    estimate.addFirstEvent("a", kForecast, 4 * kForecast, kNoDelay, kStart);
  }
  EXPECT_GT(estimate.at("a", kStart + seconds{ 1 }).firstEvent, 2);
  EXPECT_EQ(estimate.at("a", kStart + seconds{ 5 }).firstEvent, 1);
}

/** Guards against a relay that takes its replicas for slow because its own loop
 * was busy, or that learns nothing as long as it is. */
TEST(PaceEstimateTest, ASampleRaisesACorrectionOnlyByWhatTheRelayDidNotDelay)
{
  PaceEstimate estimate;
  estimate.addFirstEvent("a", kForecast, 3 * kForecast, 2 * kForecast, kStart);
  EXPECT_EQ(estimate.at("a", kStart).firstEvent, 1);
  estimate.addPause("a", kForecast, 2 * kForecast, 2 * kForecast, kStart);
  EXPECT_EQ(estimate.at("a", kStart).pause, 1);
  for (int i = 0; i < 100; ++i) {
    estimate.addFirstEvent("a", kForecast, 3 * kForecast, kForecast, kStart);
  }
  EXPECT_NEAR(estimate.at("a", kStart).firstEvent, 2, 0.05);
  // What shows neither that it is too low nor too high does not prolong it.
  const TimePoint later = kStart + seconds{ 4 };
  const double before = estimate.at("a", later).firstEvent;
  estimate.addFirstEvent("a", kForecast, 3 * kForecast, 2 * kForecast, later);
  EXPECT_EQ(estimate.at("a", later).firstEvent, before);
  EXPECT_EQ(estimate.at("a", kStart + seconds{ 5 }).firstEvent, 1);
  // Also a sample with a delay shows that a correction is too high.
  estimate.addFirstEvent("a", kForecast, kForecast * 3 / 4, kForecast, later);
  EXPECT_LT(estimate.at("a", later).firstEvent, before);
}

TEST(PaceEstimateTest, ForgetsReplicasWithoutRecentSamples)
{
  // Replicas come and go for days while a relay runs.
  PaceEstimate estimate;
  for (int i = 0; i < 1'000; ++i) {
    estimate.addPause(std::to_string(i),
                      kForecast,
                      kForecast,
                      kNoDelay,
                      kStart + i * seconds{ 1 });
  }
  EXPECT_LE(estimate.size(), 7U);
}

} // namespace
} // namespace poplartrack
