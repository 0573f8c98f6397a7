#include "poplartrack/relay/FleetControl.h"

#include <gtest/gtest.h>

#include "FleetControlFixture.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using namespace relaytest;

TEST_F(FleetControlTest, NeverGoesBackToAnOlderConfiguration)
{
  // The store answers polls out of order. Applying an older version would
  // restore a key that has been removed.
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(configPoll(3));
  this->store.scriptConfig(configPoll(6));
  this->store.scriptConfig(configPoll(5));
  this->runScript();
  EXPECT_EQ(this->shared.config.read()->version, 6U);
}

TEST_F(FleetControlTest, KeepsConfigurationAndReplicasThroughAnOutage)
{
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(std::nullopt);
  this->store.scriptReplicas(replicaPoll("one"));
  this->store.scriptReplicas(std::nullopt);
  this->runScript();
  EXPECT_EQ(this->shared.config.read()->version, 5U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
}

TEST_F(FleetControlTest, AnUnreadableConfigurationIsNoProofOfFreshness)
{
  // The configuration in the store may have removed a key. As it could not be
  // read, the poll must not count as proof that the one in force is up to date.
  ConfigPoll broken;
  broken.unreadable.emplace_back("no version");
  broken.asOf = SuspendAwareClock{}.now() + std::chrono::seconds{ 1 };
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(broken);
  this->runScript();
  EXPECT_GE(this->shared.freshness.age(), Duration{ 0 });
}

/** Returns a poll that finds a configuration which cannot be read, or, without
 * a reason, no change; its result is of that much later. */
ConfigPoll
pollAfter(Duration aLater, std::uint64_t aNext, const char* aReason = nullptr)
{
  ConfigPoll poll;
  poll.asOf = SuspendAwareClock{}.now() + aLater;
  poll.next = aNext;
  if (aReason != nullptr) {
    poll.unreadable.emplace_back(aReason);
  }
  return poll;
}

// Guards against removed keys that stay valid for as long as nothing changes
// behind an unreadable configuration.
TEST_F(FleetControlTest, APollWithoutAChangeIsNoProofAfterAnUnreadableOne)
{
  constexpr Duration kLater = std::chrono::hours{ 1 };
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(pollAfter(kLater, 8, "no version"));
  this->store.scriptConfig(pollAfter(2 * kLater, 9));
  this->runScript();
  EXPECT_GE(this->shared.freshness.age(), Duration{ 0 });
  EXPECT_EQ(this->shared.metrics.counter("configs_unreadable_total"), 1U);
}

// Guards against an older answer of the store that hides an unreadable
// configuration.
TEST_F(FleetControlTest, AnOlderAnswerIsNoProofAfterAnUnreadableConfiguration)
{
  constexpr Duration kLater = std::chrono::hours{ 1 };
  ConfigPoll overtaken = configPoll(5);
  overtaken.asOf += 2 * kLater;
  overtaken.next = 7;
  this->store.scriptConfig(pollAfter(kLater, 8, "no version"));
  this->store.scriptConfig(overtaken);
  this->runScript();
  EXPECT_GE(this->shared.freshness.age(), Duration{ 0 });
}

// Guards against relays that refuse requests after the operator has mended the
// configuration.
TEST_F(FleetControlTest, AMendedConfigurationIsProofAgain)
{
  constexpr Duration kLater = std::chrono::hours{ 1 };
  ConfigPoll mended = configPoll(6);
  mended.asOf += kLater;
  mended.next = 9;
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(pollAfter(Duration{ 0 }, 8, "no version"));
  this->store.scriptConfig(mended);
  this->runScript();
  EXPECT_LT(this->shared.freshness.age(), Duration{ 0 });
  EXPECT_EQ(this->shared.config.read()->version, 6U);
}

TEST_F(FleetControlTest, ThereIsNoProofOfFreshnessWithoutAConfiguration)
{
  ConfigPoll empty;
  empty.asOf = SuspendAwareClock{}.now();
  this->store.scriptConfig(empty);
  this->runScript();
  EXPECT_EQ(this->shared.freshness.age(), Duration::max());
}

TEST_F(FleetControlTest, ARelayThatDoesNotPollAppliesUpdatesOfItsPeers)
{
  // A store reader of the zone reports a new replica. This relay lists it
  // without a call of its own; its script has no second answer. An update with
  // a gap before it is ignored: a missing change could be that a replica
  // drains.
  ReplicaPoll first = replicaPoll("one");
  first.next = 5;
  this->store.scriptConfig(configPoll(5));
  this->store.scriptReplicas(first);
  ReplicaListDelta afterGap{ 8, replicaPoll("three") };
  afterGap.poll.fullSnapshot = false;
  afterGap.poll.next = 9;
  ReplicaListDelta contiguous{ 5, replicaPoll("two") };
  contiguous.poll.fullSnapshot = false;
  contiguous.poll.next = 6;
  this->shared.polls = false;
  const auto count = this->listedAfter(
    [&] {
      this->shared.listInbox.push(afterGap);
      this->shared.listInbox.push(contiguous);
    },
    2);
  EXPECT_EQ(count, 2U);
  EXPECT_EQ(this->shared.replicas.read()->replicas[1].id, "two");
}

/** Guards against relays that refuse requests early in an outage: each store
 * reader that fails is replaced by another one, so that not all of them report
 * the outage at the same time. */
TEST_F(FleetControlTest, ARelayThatDoesNotPollKnowsOfAFailedReadOfItsOwn)
{
  // Proof reads are due at once.
  this->settings.configDeadline = std::chrono::milliseconds{ 1'000 };
  this->shared.polls = false;
  this->store.scriptConfig(configPoll(5));
  this->store.scriptConfig(std::nullopt);
  FleetControl<ScriptedStore> control{
    this->settings, this->shared, this->store, ignoreOrder
  };
  const auto proofReads = [this] {
    return this->shared.metrics.storeCalls(StoreCall::ConfigProof);
  };
  waitFor([&] { return proofReads() >= 2; });
  // The second read is in progress, and the checks before it were all made
  // after the first one had failed.
  EXPECT_EQ(proofReads(), 2U);
  EXPECT_TRUE(this->shared.configPollFailed);
  this->store.end();
}

TEST_F(FleetControlTest, KeepsReplicasThatVanishInAnOutageReportedByPeers)
{
  // All store readers report that the store is unavailable, and entries expire
  // meanwhile. A relay that does not poll learns of the outage, then of an
  // entry that was removed and one that was added. The replica of the removed
  // entry still runs and must stay listed.
  ReplicaPoll first = replicaPoll("one");
  first.next = 5;
  this->store.scriptConfig(configPoll(5));
  this->store.scriptReplicas(first);
  ReplicaListDelta expired{ 5, replicaPoll("two") };
  expired.poll.fullSnapshot = false;
  expired.poll.next = 6;
  expired.poll.removed = { "one" };
  this->shared.polls = false;
  const auto count = this->listedAfter(
    [&] {
      this->shared.peersSawOutageAt =
        SuspendAwareClock{}.now().time_since_epoch().count();
      this->shared.listInbox.push(expired);
    },
    2);
  EXPECT_EQ(count, 2U);
}

TEST_F(FleetControlTest, ADeltaAfterPollsWithoutChangesHasNoGap)
{
  // A poll without changes moves the version of the store reader on, but its
  // peers are not told. A delta that began at the new version would look as if
  // one before it were missing, and each relay of the zone would read the whole
  // list from the store.
  std::optional<ReplicaListDelta> sent;
  this->shared.sendListDelta = [&sent](const ReplicaListDelta& aDelta) {
    sent = aDelta;
  };
  ReplicaPoll first = replicaPoll("one");
  first.next = 5;
  ReplicaPoll unchanged;
  unchanged.next = 9;
  ReplicaPoll change = replicaPoll("two");
  change.fullSnapshot = false;
  change.next = 12;
  this->store.scriptReplicas(first);
  this->store.scriptReplicas(unchanged);
  this->store.scriptReplicas(unchanged);
  this->store.scriptReplicas(change);
  this->runScript();
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->after, 5U);
  EXPECT_EQ(sent->poll.next, 12U);
}

// Guards against peers that keep a replica whose entry became unreadable, and
// that then find a gap before the next change.
TEST_F(FleetControlTest, PeersAreToldOfAPollWithOnlyAnUnreadableEntry)
{
  std::vector<ReplicaListDelta> sent;
  this->shared.sendListDelta = [&sent](const ReplicaListDelta& aDelta) {
    sent.push_back(aDelta);
  };
  ReplicaPoll first = replicaPoll("one");
  first.next = 5;
  ReplicaPoll odd;
  odd.unreadable.push_back({ "one", "no JSON" });
  odd.next = 9;
  ReplicaPoll change = replicaPoll("one");
  change.fullSnapshot = false;
  change.next = 12;
  this->store.scriptReplicas(first);
  this->store.scriptReplicas(odd);
  this->store.scriptReplicas(change);
  this->runScript();
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].after, 5U);
  EXPECT_EQ(sent[0].poll.unreadable.size(), 1U);
  EXPECT_EQ(sent[1].after, 9U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
}

// Guards against a log that an unreadable entry fills, as each read of the
// whole list returns it again.
TEST_F(FleetControlTest, AnUnreadableEntryThatStaysIsCountedOnce)
{
  for (const std::uint64_t version : { 5, 6, 7 }) {
    ReplicaPoll poll = replicaPoll("one");
    poll.next = version;
    poll.unreadable.push_back({ "odd", "no JSON" });
    this->store.scriptReplicas(poll);
  }
  this->runScript();
  EXPECT_EQ(this->shared.metrics.counter("replica_entries_unreadable_total"),
            1U);
}

TEST_F(FleetControlTest, AnOlderConfigurationThanThatOfAPeerProvesNothing)
{
  // The store was restored from a copy without the latest configuration, which
  // may have removed a key.
  this->shared.peerConfigVersion = 6;
  this->store.scriptConfig(configPoll(5));
  this->runScript();
  EXPECT_EQ(this->shared.config.read()->version, 5U);
  EXPECT_EQ(this->shared.freshness.age(), Duration::max());
}

} // namespace
} // namespace poplartrack
