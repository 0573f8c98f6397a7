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
wholeUpdate(std::uint64_t aRevision)
{
  return RevisionUpdate{ 0, aRevision, textOf(aRevision) };
}

RevisionUpdate
stepFrom(std::uint64_t aFrom)
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

  /** Advances the time until the keeper asks for a read, and returns it. */
  KeeperFetch awaitFetch(ConfigKeeper& aKeeper)
  {
    for (int i = 0; i < 10; ++i) {
      if (const auto fetch = aKeeper.nextFetch(this->now)) {
        return *fetch;
      }
      this->now = std::max(this->now, aKeeper.wakeAt());
    }
    ADD_FAILURE() << "the keeper asks for no read";
    return {};
  }

  /** Returns a keeper that has a revision in force, read from the store. */
  ConfigKeeper keeperWithRevision(std::uint64_t aRevision)
  {
    ConfigKeeper keeper{ options(), this->now };
    EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::StoreText);
    EXPECT_TRUE(
      keeper.onFetchFinished(Updates{ wholeUpdate(aRevision) }, this->now));
    return keeper;
  }
};

/**
 * An entry starts while the store is unavailable. One peer was cut off, is two
 * revisions behind, and answers first. The entry must not put that revision in
 * force before the other peer has answered.
 */
TEST_F(ConfigKeeperTest, aStartInAnOutageUsesTheHighestRevisionOfAllPeers)
{
  ConfigKeeper keeper{ options(), this->now };
  EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::StoreText);
  keeper.onFetchFinished(fail(ErrorKind::PlatformUnavailable), this->now);
  EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::Peer);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ wholeUpdate(3) }, this->now));
  EXPECT_EQ(keeper.revision(), 0U);
  EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::Peer);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ wholeUpdate(5) }, this->now));
  EXPECT_EQ(keeper.revision(), 5U);
}

TEST_F(ConfigKeeperTest, hasNoConfigurationUntilAFetchSucceeds)
{
  ConfigKeeper keeper{ options(), this->now };
  for (int i = 0; i < 20; ++i) {
    this->awaitFetch(keeper);
    EXPECT_FALSE(
      keeper.onFetchFinished(fail(ErrorKind::PlatformUnavailable), this->now));
    EXPECT_EQ(keeper.configuration(), nullptr);
  }
}

/**
 * A peer answers late with the whole text of a revision below the one in
 * force. The answer must be ignored: the revision in force never decreases.
 */
TEST_F(ConfigKeeperTest, aLateAnswerNeverLowersTheRevision)
{
  ConfigKeeper keeper = this->keeperWithRevision(7);
  keeper.onRevisionAnnounced(kPeerA, 9, this->now);
  EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::Peer);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ wholeUpdate(6) }, this->now));
  EXPECT_EQ(keeper.revision(), 7U);
  EXPECT_EQ(keeper.counters().staleUpdates, 1U);
}

TEST_F(ConfigKeeperTest, asksTheReportingPeerFirstAndThenTheStore)
{
  ConfigKeeper keeper = this->keeperWithRevision(1);
  keeper.onRevisionAnnounced(kPeerB, 2, this->now);
  const KeeperFetch first = this->awaitFetch(keeper);
  EXPECT_EQ(first.peer, kPeerB);
  EXPECT_EQ(first.have, 1U);
  keeper.onFetchFinished(fail(ErrorKind::Network), this->now);
  EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::StoreRows);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ stepFrom(1) }, this->now));
  EXPECT_EQ(keeper.revision(), 2U);
}

/**
 * A step was made from another text than the one in force, so it gives
 * settings that nobody pushed. The hash detects it; the keeper keeps its
 * revision and asks for the whole text.
 */
TEST_F(ConfigKeeperTest, aWrongStepIsReplacedByTheWholeText)
{
  ConfigKeeper keeper = this->keeperWithRevision(1);
  RevisionUpdate wrong = stepFrom(1);
  wrong.text.replace(wrong.text.find("62000"), 5, "63000");
  EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::StoreRows);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ wrong }, this->now));
  EXPECT_EQ(keeper.revision(), 1U);
  EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::StoreText);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ wholeUpdate(2) }, this->now));
}

/**
 * A newer program pushed a revision that this process cannot read. The keeper
 * reports it and does not apply it; the next valid revision is applied.
 */
TEST_F(ConfigKeeperTest, anInvalidRevisionIsNeverInForce)
{
  ConfigKeeper keeper = this->keeperWithRevision(1);
  RevisionUpdate bad = wholeUpdate(2);
  bad.text.replace(bad.text.find("max_deadline_ms"), 15, "max_deadline_xx");
  this->awaitFetch(keeper);
  EXPECT_FALSE(keeper.onFetchFinished(Updates{ bad }, this->now));
  EXPECT_EQ(keeper.revision(), 1U);
  EXPECT_NE(keeper.lastRefusal().find("revision 2"), std::string::npos);
  this->awaitFetch(keeper);
  EXPECT_TRUE(keeper.onFetchFinished(Updates{ wholeUpdate(3) }, this->now));
  EXPECT_TRUE(keeper.lastRefusal().empty());
}

TEST_F(ConfigKeeperTest, sendsStepsToAPeerBehindAndTheWholeTextToANewOne)
{
  ConfigKeeper keeper = this->keeperWithRevision(1);
  for (std::uint64_t i = 1; i < 4; ++i) {
    this->awaitFetch(keeper);
    ASSERT_TRUE(keeper.onFetchFinished(Updates{ stepFrom(i) }, this->now));
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
    EXPECT_EQ(this->awaitFetch(keeper).source, KeeperSource::Peer);
    keeper.onFetchFinished(fail(ErrorKind::Network), this->now);
  }
}

/** Applies one random event to a simulated set of keepers. */
void
applyRandomEvent(KeeperWorld& aWorld)
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
 * Pushes, outages, partitions, lost answers and restarts come in random order.
 * No process ever has a lower revision in force than before. Once all faults
 * end, every process has the newest revision within the required 6 s.
 */
RC_GTEST_PROP(ConfigKeepers, neverGoBackAndConvergeAfterTheFaultsEnd, ())
{
  KeeperWorldOptions options;
  options.entries = *rc::gen::inRange<std::size_t>(1, 5);
  options.sides = *rc::gen::inRange<std::size_t>(0, 5);
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.needlessAnswers = 0.2;
  KeeperWorld world{ options };
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    applyRandomEvent(world);
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
