#include "poplartrack/fleet/PaceEstimate.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Duration kForecast = milliseconds{ 100 };

TEST(PaceEstimateTest, FollowsTheRatioOfActualToForecastTimes)
{
  PaceEstimate estimate;
  EXPECT_EQ(estimate.at("a", kStart).firstEvent, 1);
  for (int i = 0; i < 30; ++i) {
    estimate.addFirstEvent("a", kForecast, 2 * kForecast, kStart);
  }
  EXPECT_NEAR(estimate.at("a", kStart).firstEvent, 2, 0.05);
  EXPECT_EQ(estimate.at("a", kStart).pause, 1);
  EXPECT_EQ(estimate.at("b", kStart).firstEvent, 1);
}

TEST(PaceEstimateTest, OneExtremeSampleMovesACorrectionLittle)
{
  // A lost packet delays a single event by a second.
  PaceEstimate estimate;
  estimate.addFirstEvent("a", kForecast, seconds{ 100 }, kStart);
  EXPECT_LT(estimate.at("a", kStart).firstEvent, 1.7);
  estimate.addPause("a", Duration{ 0 }, seconds{ 100 }, kStart);
  EXPECT_EQ(estimate.at("a", kStart).pause, 1);
}

TEST(PaceEstimateTest, CorrectionsStayWithinTheirBounds)
{
  PaceEstimate estimate;
  for (int i = 0; i < 1'000; ++i) {
    estimate.addFirstEvent("slow", kForecast, 50 * kForecast, kStart);
    estimate.addPause("fast", kForecast, Duration{ 1 }, kStart);
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
    estimate.addFirstEvent("a", kForecast, 4 * kForecast, kStart);
  }
  EXPECT_GT(estimate.at("a", kStart + seconds{ 1 }).firstEvent, 2);
  EXPECT_EQ(estimate.at("a", kStart + seconds{ 5 }).firstEvent, 1);
}

TEST(PaceEstimateTest, ForgetsReplicasWithoutRecentSamples)
{
  // Replicas come and go for days while a relay runs.
  PaceEstimate estimate;
  for (int i = 0; i < 1'000; ++i) {
    estimate.addPause(
      std::to_string(i), kForecast, kForecast, kStart + i * seconds{ 1 });
  }
  EXPECT_LE(estimate.size(), 7U);
}

} // namespace
} // namespace poplartrack
