#include "poplartrack/config/ConfigKeeper.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "harness/KeeperWorld.h"
#include "poplartrack/config/RevisionText.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Address kPeerA{ "127.0.0.1", 1 };
const Address kPeerB{ "127.0.0.1", 2 };

using Updates = std::vector<RevisionUpdate>;

std::string
textOf(std::uint64_t aRevision)
{
  Configuration configuration;
  configuration.revision = aRevision;
  configuration.limits.maxDeadline = seconds{ 60 + aRevision };
  return toRevisionText(configuration);
}

RevisionUpdate
whole(std::uint64_t aRevision)
{
  return RevisionUpdate{ 0, aRevision, textOf(aRevision) };
}

RevisionUpdate
step(std::uint64_t aFrom)
{
  return updateBetween(textOf(aFrom), textOf(aFrom + 1)).value();
}

class ConfigKeeperTest : public testing::Test
{
protected:
  TimePoint now{};

  static KeeperOptions options()
  {
    KeeperOptions made;
    made.peers = { kPeerA, kPeerB };
    return made;
  }

  /** Lets time pass until the keeper wants something. */
  KeeperFetch await(ConfigKeeper& aKeeper)
  {
    for (int i = 0; i < 10; ++i) {
      if (const auto fetch = aKeeper.nextFetch(this->now)) {
        return *fetch;
      }
      this->now = std::max(this->now, aKeeper.wakeAt());
    }
    ADD_FAILURE() << "the keeper wants nothing";
    return {};
  }

  /** A keeper with that revision in force, from the store. */
  ConfigKeeper running(std::uint64_t aRevision)
  {
    ConfigKeeper keeper{ options(), this->now };
    EXPECT_EQ(this->await(keeper).source, KeeperSource::StoreText);
    EXPECT_TRUE(keeper.onFetchFinished(Updates{ whole(aRevision) }, this->now));
    return keeper;
  }
};

/**
 * An entry starts while the store is down. One peer was cut off and is two
 * revisions behind; it answers first. The entry must not put its revision in
 * force before it has heard the other peer.
 */
TEST_F(ConfigKeeperTest, aStartInAnOutageTakesTheHighestOfAllPeers)
{
  ConfigKeeper keeper{ options(), this->now };
  EXPECT_EQ(this->await(keeper).source, KeeperSource::StoreText);
  keeper.onFetchFinished(fail(ErrorKind::PlatformUnavailable), this->now);
  EXPECT_EQ(this->await(keeper).source, KeeperSource::Peer);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ whole(3) }, this->now));
  EXPECT_EQ(keeper.revision(), 0U);
  EXPECT_EQ(this->await(keeper).source, KeeperSource::Peer);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ whole(5) }, this->now));
  EXPECT_EQ(keeper.revision(), 5U);
}

TEST_F(ConfigKeeperTest, hasNoConfigurationUntilSomebodyAnswers)
{
  ConfigKeeper keeper{ options(), this->now };
  for (int i = 0; i < 20; ++i) {
    this->await(keeper);
    EXPECT_FALSE(
      keeper.onFetchFinished(fail(ErrorKind::PlatformUnavailable), this->now));
    EXPECT_EQ(keeper.configuration(), nullptr);
  }
}

/**
 * A peer answers late with a revision below the one in force, whole. It must
 * be left: a revision in force never goes back.
 */
TEST_F(ConfigKeeperTest, aLateAnswerNeverTakesTheRevisionBack)
{
  ConfigKeeper keeper = this->running(7);
  keeper.onRevisionAnnounced(kPeerA, 9, this->now);
  EXPECT_EQ(this->await(keeper).source, KeeperSource::Peer);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ whole(6) }, this->now));
  EXPECT_EQ(keeper.revision(), 7U);
  EXPECT_EQ(keeper.counters().staleUpdates, 1U);
}

TEST_F(ConfigKeeperTest, asksTheSenderFirstAndThenTheStore)
{
  ConfigKeeper keeper = this->running(1);
  keeper.onRevisionAnnounced(kPeerB, 2, this->now);
  const KeeperFetch first = this->await(keeper);
  EXPECT_EQ(first.peer, kPeerB);
  EXPECT_EQ(first.have, 1U);
  keeper.onFetchFinished(fail(ErrorKind::Network), this->now);
  EXPECT_EQ(this->await(keeper).source, KeeperSource::StoreRows);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ step(1) }, this->now));
  EXPECT_EQ(keeper.revision(), 2U);
}

/**
 * A step was made from another text than the one in force, so it leads to
 * settings that nobody pushed. The hash shows it; the keeper stays and asks
 * for the whole text.
 */
TEST_F(ConfigKeeperTest, stepsThatLeadElsewhereAreReplacedByTheWholeText)
{
  ConfigKeeper keeper = this->running(1);
  RevisionUpdate wrong = step(1);
  wrong.text.replace(wrong.text.find("62000"), 5, "63000");
  EXPECT_EQ(this->await(keeper).source, KeeperSource::StoreRows);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ wrong }, this->now));
  EXPECT_EQ(keeper.revision(), 1U);
  EXPECT_EQ(this->await(keeper).source, KeeperSource::StoreText);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ whole(2) }, this->now));
}

/**
 * A revision that this process cannot read (a newer program pushed it) is
 * reported and left; the next good one is taken.
 */
TEST_F(ConfigKeeperTest, aRevisionThatDoesNotCheckIsNeverInForce)
{
  ConfigKeeper keeper = this->running(1);
  RevisionUpdate bad = whole(2);
  bad.text.replace(bad.text.find("max_deadline_ms"), 15, "max_deadline_xx");
  this->await(keeper);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ bad }, this->now));
  EXPECT_EQ(keeper.revision(), 1U);
  EXPECT_NE(keeper.lastRefusal().find("revision 2"), std::string::npos);
  this->await(keeper);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ whole(3) }, this->now));
  EXPECT_TRUE(keeper.lastRefusal().empty());
}

TEST_F(ConfigKeeperTest, bringsAPeerUpByStepsAndAStrangerByTheWhole)
{
  ConfigKeeper keeper = this->running(1);
  for (std::uint64_t i = 1; i < 4; ++i) {
    this->await(keeper);
    ASSERT_TRUE(keeper.onFetchFinished(Updates{ step(i) }, this->now));
  }
  EXPECT_EQ(updateFromText(keeper.updateFor(2)).value().from, 2U);
  EXPECT_EQ(keeper.updateFor(0), textOf(4));
  EXPECT_TRUE(keeper.updateFor(4).empty());
}

TEST_F(ConfigKeeperTest, aSideNeverReadsTheStore)
{
  KeeperOptions made = options();
  made.mayReadStore = false;
  ConfigKeeper keeper{ made, this->now };
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(this->await(keeper).source, KeeperSource::Peer);
    keeper.onFetchFinished(fail(ErrorKind::Network), this->now);
  }
}

/** One thing that happens to a world of keepers. */
void
happen(KeeperWorld& aWorld)
{
  const std::size_t process = *rc::gen::inRange<std::size_t>(0, aWorld.size());
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
      aWorld.push();
      break;
    case 2:
      aWorld.setStoreDown(*rc::gen::arbitrary<bool>());
      break;
    case 3:
      aWorld.setCutOff(process, *rc::gen::arbitrary<bool>());
      break;
    case 4:
      aWorld.setLoss(*rc::gen::inRange(0, 80) / 100.0);
      break;
    case 5:
      aWorld.restart(process);
      break;
    default:
      aWorld.run(milliseconds{ *rc::gen::inRange(1, 4000) });
  }
}

/**
 * Pushes, outages, cuts, lost answers and restarts in any order: no process
 * ever has a lower revision in force than before, and once all is well again
 * every process has the newest within the letter's 6 s.
 */
RC_GTEST_PROP(ConfigKeepers, neverGoBackAndAllConvergeAfterHealing, ())
{
  KeeperWorldOptions options;
  options.entries = *rc::gen::inRange<std::size_t>(1, 5);
  options.sides = *rc::gen::inRange<std::size_t>(0, 5);
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.needlessAnswers = 0.2;
  KeeperWorld world{ options };
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    happen(world);
  }
  RC_ASSERT(!world.wentBack());
  world.setStoreDown(false);
  world.setLoss(0);
  for (std::size_t i = 0; i < world.size(); ++i) {
    world.setCutOff(i, false);
  }
  world.run(seconds{ 6 });
  RC_ASSERT(!world.wentBack());
  RC_ASSERT(world.converged());
}

} // namespace
} // namespace poplartrack
