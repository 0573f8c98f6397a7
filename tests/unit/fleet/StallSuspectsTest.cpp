#include "poplartrack/fleet/StallSuspects.h"

#include <deque>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using Names = std::set<std::string>;

/** Returns a time, in ms after the streams' first events. */
TimePoint
at(int aMs)
{
  return TimePoint{ std::chrono::seconds{ 100 } } +
         std::chrono::milliseconds{ aMs };
}

/** Streams over named replicas with an expected gap of 40 ms. */
class StallSuspectsTest : public ::testing::Test
{
protected:
  StreamProgress& addStream(const Names& aReplicas, int aLastEvent = 0)
  {
    std::vector<PathPart>& parts = this->paths.emplace_back();
    for (const std::string& replica : aReplicas) {
      parts.push_back(PathPart{ replica, {}, {} });
    }
    return this->streams.emplace_back(StreamProgress{
      parts, at(aLastEvent), std::chrono::milliseconds{ 40 }, true });
  }
  SuspectCheck check(int aMs)
  {
    return this->suspects.check(
      std::vector(this->streams.begin(), this->streams.end()),
      this->reported,
      at(aMs));
  }
  Names probed(int aMs)
  {
    Names names;
    for (const PathPart& part : this->check(aMs).toProbe) {
      names.insert(part.replica);
    }
    return names;
  }
  Names lost(int aMs)
  {
    const SuspectCheck result = this->check(aMs);
    return { result.lost.begin(), result.lost.end() };
  }

  std::deque<std::vector<PathPart>> paths;
  std::deque<StreamProgress> streams;
  Names reported;
  StallSuspects suspects;
};

TEST_F(StallSuspectsTest, NoReplicaIsSuspectWhileAllStreamsProgress)
{
  this->addStream({ "a", "b" });
  this->addStream({ "b", "c" }, -9);
  EXPECT_EQ(this->check(59).late, 0U);
  EXPECT_EQ(this->probed(59), Names{});
}

TEST_F(StallSuspectsTest, OnlyTheReplicaWithoutProgressIsAskedEvery300Ms)
{
  this->addStream({ "a", "x" });
  this->addStream({ "a", "c" }, 50);
  EXPECT_EQ(this->probed(71), Names{ "x" });
  this->streams.back().lastEvent = at(360);
  EXPECT_EQ(this->probed(370), Names{});
  EXPECT_EQ(this->probed(371), Names{ "x" });
}

TEST_F(StallSuspectsTest, TwoLostReplicasOfOverlappingPathsAreBothFound)
{
  // The first loss must not hide the second until its streams have moved.
  this->addStream({ "a", "x", "y" });
  this->addStream({ "b", "y" });
  this->addStream({ "c", "x" });
  this->addStream({ "a", "b", "c" }, 60);
  EXPECT_EQ(this->probed(71), (Names{ "x", "y" }));
  EXPECT_FALSE(this->suspects.onUnreached("x", at(72)));
  // A stream elsewhere has an event: this relay is not cut off.
  this->streams.back().lastEvent = at(90);
  EXPECT_EQ(this->lost(96), Names{ "x" });
  EXPECT_TRUE(this->suspects.onUnreached("y", at(97)));
}

TEST_F(StallSuspectsTest, AReplicaIsCheckedAgainWhenARecentEventHidItsLoss)
{
  this->addStream({ "a", "x" });
  this->addStream({ "b", "x" }, 55);
  this->addStream({ "a" }, 100);
  EXPECT_EQ(this->check(71).late, 1U);
  EXPECT_EQ(this->probed(71), Names{});
  EXPECT_EQ(this->probed(96), Names{ "x" });
}

TEST_F(StallSuspectsTest, AReplicaThatAPeerCannotReachIsAskedInSpiteOfEvents)
{
  this->addStream({ "a", "x" });
  this->addStream({ "a", "x" }, 60);
  this->reported = { "x" };
  EXPECT_EQ(this->probed(71), Names{ "x" });
}

/** Guards against a loss that takes many sound replicas with it: a small
 * instance handled the answers to its probes more than 100 ms late. */
TEST_F(StallSuspectsTest, AReplicaThatAnswersLateIsNotLost)
{
  this->addStream({ "a", "busy", "x" });
  this->check(71);
  this->suspects.onAnswer("a", at(73));
  for (int ms = 96; ms < 371; ms += 25) {
    EXPECT_EQ(this->lost(ms), Names{});
  }
  this->suspects.onAnswer("busy", at(300));
  EXPECT_TRUE(this->suspects.onUnreached("x", at(301)));
}

TEST_F(StallSuspectsTest, ASlowReplicaIsNotLostWhileAStreamThroughItProgresses)
{
  // A busy replica answers late. Declaring it lost would move all its streams.
  this->addStream({ "a", "x" });
  this->addStream({ "b", "x" });
  EXPECT_EQ(this->probed(71), (Names{ "a", "b", "x" }));
  this->suspects.onAnswer("a", at(72));
  this->suspects.onAnswer("b", at(72));
  this->streams.back().lastEvent = at(100);
  EXPECT_EQ(this->lost(175), Names{});
  EXPECT_EQ(this->lost(300), Names{});
}

TEST_F(StallSuspectsTest, ASlowReplicaIsNotLostBeforeTheFirstEventOfItsStreams)
{
  // The forecast of a first event is often too short.
  this->addStream({ "a", "x" }).running = false;
  EXPECT_EQ(this->probed(71), (Names{ "a", "x" }));
  this->suspects.onAnswer("a", at(72));
  EXPECT_EQ(this->lost(250), Names{});
  EXPECT_TRUE(this->suspects.onUnreached("x", at(260)));
}

TEST_F(StallSuspectsTest, ARelayThatIsCutOffDeclaresNoReplicaLost)
{
  // Its health data would keep every replica out of use for seconds.
  this->addStream({ "a", "x" });
  this->addStream({ "b", "x" });
  this->suspects.onPeer(at(60));
  this->check(71);
  for (const char* replica : { "a", "b", "x" }) {
    EXPECT_FALSE(this->suspects.onUnreached(replica, at(72)));
  }
  for (int ms = 96; ms < 2'000; ms += 25) {
    EXPECT_EQ(this->lost(ms), Names{});
  }
  EXPECT_FALSE(this->suspects.onUnreached("other", at(2'000)));
}

TEST_F(StallSuspectsTest, AllReplicasOfALostZoneAreLostWhilePeersAreHeard)
{
  this->addStream({ "a", "x" });
  this->check(71);
  EXPECT_FALSE(this->suspects.onUnreached("a", at(72)));
  this->suspects.onPeer(at(80));
  EXPECT_TRUE(this->suspects.onUnreached("x", at(81)));
  EXPECT_EQ(this->lost(96), Names{ "a" });
}

} // namespace
} // namespace poplartrack
