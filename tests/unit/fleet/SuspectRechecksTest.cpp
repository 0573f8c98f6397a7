#include "poplartrack/fleet/SuspectRechecks.h"

#include <vector>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

/** Returns how often relays of one zone ask in the given number of intervals,
 * if each looks once in each of them. */
int
countQueries(std::size_t aRelays, int aIntervals)
{
  std::vector<SuspectRechecks> relays(aRelays);
  int queries = 0;
  for (int i = 1; i <= aIntervals; ++i) {
    const TimePoint now = kStart + SuspectRechecks::kInterval * i;
    for (std::size_t rank = 0; rank < aRelays; ++rank) {
      queries +=
        relays[rank].isDue("one", kStart, { rank, aRelays }, now) ? 1 : 0;
    }
  }
  return queries;
}

TEST(SuspectRechecks, ALoneRelayAsksInEachInterval)
{
  EXPECT_EQ(countQueries(1, 20), 20);
}

TEST(SuspectRechecks, AZoneAsksNoMoreOftenHoweverManyRelaysItHas)
{
  // Guards against a thousand relays that all ask a replica that is back.
  EXPECT_EQ(countQueries(3, 30), 30);
  EXPECT_EQ(countQueries(200, 30), 30);
}

TEST(SuspectRechecks, ATurnInAMissedIntervalIsTakenLater)
{
  // Guards against a relay that always looks when it is another one's turn.
  SuspectRechecks rechecks;
  const TimePoint late = kStart + SuspectRechecks::kInterval * 2;
  EXPECT_TRUE(rechecks.isDue("one", kStart, { 1, 3 }, late));
  EXPECT_FALSE(rechecks.isDue("one", kStart, { 1, 3 }, late));
}

TEST(SuspectRechecks, ANewLossBeginsAgain)
{
  SuspectRechecks rechecks;
  const TimePoint first = kStart + SuspectRechecks::kInterval;
  const TimePoint second = first + std::chrono::seconds{ 10 };
  EXPECT_TRUE(rechecks.isDue("one", kStart, {}, first));
  EXPECT_FALSE(rechecks.isDue("one", second, {}, second + milliseconds{ 10 }));
  EXPECT_TRUE(
    rechecks.isDue("one", second, {}, second + SuspectRechecks::kInterval));
}

TEST(SuspectRechecks, ARelayAsksOutOfTurnOnceASecond)
{
  // Guards against a thousand relays that ask at each report that is withdrawn.
  SuspectRechecks rechecks;
  int queries = 0;
  for (int i = 0; i < 20; ++i) {
    queries +=
      rechecks.isDueOnWithdrawal("one", kStart + milliseconds{ 100 } * i) ? 1
                                                                          : 0;
  }
  EXPECT_EQ(queries, 2);
}

} // namespace
} // namespace poplartrack
