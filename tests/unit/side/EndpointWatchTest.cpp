#include "poplartrack/side/EndpointWatch.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

EngineInfo
engineWithLayers()
{
  EngineInfo info;
  info.incarnation = 1;
  info.service = "engine";
  info.holds = LayerRange{ 0, 6 };
  return info;
}

TEST(EndpointWatchTest, tellsTheBatchFromTheQueueInsideTheEngine)
{
  // The side hands every step on at once, so the engine queues them. Told as
  // running, a queue looks like a large batch: entries see waits below one
  // batch however long the queue is, and admission lets overload in.
  constexpr std::uint32_t kBatch = 8;
  constexpr std::uint32_t kBatchMicros = 114'000;
  EndpointWatch watch{ 1 };
  LoadHint report;
  report.running = kBatch;
  report.queued = 3;
  report.stepMicros = kBatchMicros;
  watch.onReport(report);
  for (int i = 0; i < 24; ++i) {
    watch.onStepStarted();
  }
  // One of them waited for two batches before its own.
  watch.onStepEnded(milliseconds{ 342 }, true);
  EXPECT_EQ(watch.load().running, kBatch);
  EXPECT_EQ(watch.load().queued, 15U);
  EXPECT_EQ(watch.load().stepMicros, kBatchMicros);
}

TEST(EndpointWatchTest, countsItsOwnStepsWhereTheEngineTellsNothing)
{
  EndpointWatch watch{ 1 };
  watch.onStepStarted();
  watch.onStepStarted();
  watch.onStepEnded(milliseconds{ 5 }, true);
  EXPECT_EQ(watch.load().running, 1U);
  EXPECT_EQ(watch.load().queued, 0U);
  EXPECT_EQ(watch.load().stepMicros, 5'000U);
}

// Guards against refusals while the only engine of a layer is silent for a
// second: it counted as an engine without layers.
TEST(EndpointWatchTest, aSilentEndpointKeepsItsLayersForAWhile)
{
  ManualClock clock;
  EndpointWatch watch{ 1 };
  watch.onAnswer(clock.now());
  watch.onInfo(engineWithLayers());
  const auto ask = [&] {
    const TimePoint asked = clock.now();
    clock.advance(std::chrono::seconds{ 1 });
    return watch.onSilence(asked, clock.now());
  };
  clock.advance(milliseconds{ 1 });
  EXPECT_EQ(ask(), WatchChange::Silent);
  EXPECT_TRUE(watch.silent());
  EXPECT_TRUE(watch.info());
  EXPECT_EQ(ask(), WatchChange::None);
  EXPECT_EQ(watch.onAnswer(clock.now()), std::chrono::seconds{ 1 });
  EXPECT_FALSE(watch.silent());
  clock.advance(milliseconds{ 1 });
  EXPECT_EQ(ask(), WatchChange::Silent);
  EXPECT_EQ(ask(), WatchChange::None);
  EXPECT_EQ(ask(), WatchChange::None);
  EXPECT_EQ(ask(), WatchChange::Gone);
  EXPECT_FALSE(watch.info());
}

// Guards against an endpoint that counts as silent though it has answered a
// later query.
TEST(EndpointWatchTest, anAnswerOutweighsAnEarlierQueryWithoutOne)
{
  ManualClock clock;
  EndpointWatch watch{ 1 };
  watch.onInfo(engineWithLayers());
  const TimePoint asked = clock.now();
  clock.advance(milliseconds{ 500 });
  watch.onAnswer(clock.now());
  clock.advance(milliseconds{ 500 });
  EXPECT_EQ(watch.onSilence(asked, clock.now()), WatchChange::None);
  EXPECT_FALSE(watch.silent());
}

// Guards against attempts that are sent to an engine whose process has ended.
TEST(EndpointWatchTest, anEndpointThatRefusesHoldsNothingAtOnce)
{
  EndpointWatch watch{ 1 };
  watch.onInfo(engineWithLayers());
  EXPECT_EQ(watch.onFailure(), WatchChange::Gone);
  EXPECT_FALSE(watch.info());
  EXPECT_EQ(watch.onFailure(), WatchChange::None);
}

} // namespace
} // namespace poplartrack
