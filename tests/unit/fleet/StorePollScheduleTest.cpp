#include "poplartrack/fleet/StorePollSchedule.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kAlmostOne = 0.999;

TEST(StorePollScheduleTest, ARelayWithoutPeersProvesFreshnessEverySecond)
{
  for (const double random : { 0.0, kAlmostOne }) {
    EXPECT_EQ(StorePollSchedule{ 0 }.configWait(random), seconds{ 1 });
    EXPECT_EQ(StorePollSchedule{ 1 }.configWait(random), seconds{ 1 });
  }
}

TEST(StorePollScheduleTest, EachRelayPollsLessTheMorePeersAreKnown)
{
  // Of 23 relays that each poll every 1 s to 10 s, one has a new proof every
  // 0.3 s on average. Five relays poll at least every 2.5 s and have one every
  // 0.4 s.
  EXPECT_EQ(StorePollSchedule{ 4 }.configWait(0), seconds{ 1 });
  EXPECT_LE(StorePollSchedule{ 4 }.configWait(kAlmostOne),
            milliseconds{ 2'500 });
  EXPECT_EQ(StorePollSchedule{ 22 }.configWait(0), seconds{ 1 });
  EXPECT_GT(StorePollSchedule{ 22 }.configWait(kAlmostOne), seconds{ 9 });
  EXPECT_LT(StorePollSchedule{ 370 }.configWait(kAlmostOne), seconds{ 10 });
}

TEST(StorePollScheduleTest, MissingEntriesShortenTheWaitForAnyNumberOfRelays)
{
  EXPECT_EQ(StorePollSchedule{ 0 }.replicasWait(true, 0), milliseconds{ 200 });
  EXPECT_EQ(StorePollSchedule{ 22 }.replicasWait(true, kAlmostOne),
            milliseconds{ 200 });
}

TEST(StorePollScheduleTest, RetryPausesGrowToABoundThatPeersRaise)
{
  EXPECT_EQ(StorePollSchedule{ 22 }.retryPause(0, 0), milliseconds{ 125 });
  EXPECT_GT(StorePollSchedule{ 22 }.retryPause(1, 0), milliseconds{ 125 });
  for (const int failures : { 5, 50, 1'000'000 }) {
    EXPECT_LE(StorePollSchedule{ 22 }.retryPause(failures, kAlmostOne),
              milliseconds{ 1'500 });
    EXPECT_LE(StorePollSchedule{ 0 }.retryPause(failures, kAlmostOne),
              milliseconds{ 500 });
  }
}

TEST(StorePollScheduleTest, AStaleProofIsRenewedBesideAPollThatHangs)
{
  // The current poll waits on a silent connection, and the peers whose proofs
  // would help are gone. Keys are trusted for 4 s after a proof.
  const Duration deadline = seconds{ 4 };
  EXPECT_FALSE(StorePollSchedule::needsProofRead(
    milliseconds{ 900 }, seconds{ 5 }, deadline, true));
  EXPECT_TRUE(StorePollSchedule::needsProofRead(
    milliseconds{ 1'500 }, seconds{ 5 }, deadline, true));
  // One call a second is enough, even where it returns no proof.
  EXPECT_FALSE(StorePollSchedule::needsProofRead(
    seconds{ 30 }, milliseconds{ 300 }, deadline, true));
}

TEST(StorePollScheduleTest, AProofIsRenewedBeforeTheDeadlineOfANewConfiguration)
{
  // A configuration without a proof is not used from 300 ms before the deadline
  // on. A proof read beside a hanging poll must have ended by then: it starts
  // at the next check, up to 200 ms later, and takes up to 600 ms.
  for (const Duration deadline : { seconds{ 2 }, seconds{ 3 } }) {
    const Duration latest = deadline - milliseconds{ 300 + 200 } -
                            StorePollSchedule::kProofReadTimeout;
    for (const bool reader : { true, false }) {
      EXPECT_TRUE(StorePollSchedule::needsProofRead(
        latest, seconds{ 5 }, deadline, reader));
    }
  }
}

TEST(StorePollScheduleTest, StoreReadersRenewAProofBeforeTheOtherRelays)
{
  // All relays of a zone have the same latest proof. If each renewed it when
  // its store readers do, one late poll would be a call for each of them.
  const Duration deadline = seconds{ 5 };
  const Duration stale = milliseconds{ 1'500 };
  EXPECT_TRUE(
    StorePollSchedule::needsProofRead(stale, seconds{ 5 }, deadline, true));
  EXPECT_FALSE(
    StorePollSchedule::needsProofRead(stale, seconds{ 5 }, deadline, false));
  // Keys are trusted for 4 s after a proof.
  EXPECT_TRUE(StorePollSchedule::needsProofRead(
    milliseconds{ 2'500 }, seconds{ 5 }, deadline, false));
}

TEST(StorePollScheduleTest, BatchDelayIsLongerBeforeTheFirstRequest)
{
  EXPECT_LT(StorePollSchedule::batchDelay(true),
            StorePollSchedule::batchDelay(false));
  EXPECT_LT(StorePollSchedule::batchDelay(false), seconds{ 1 });
}

} // namespace
} // namespace poplartrack
