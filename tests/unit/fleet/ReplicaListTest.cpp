#include "poplartrack/fleet/ReplicaList.h"

#include <gtest/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using std::chrono::milliseconds;
using std::chrono::seconds;

ReplicaPoll
snapshotOf(const std::vector<std::string>& aIds)
{
  ReplicaPoll poll;
  poll.fullSnapshot = true;
  poll.next = 1;
  for (const std::string& id : aIds) {
    poll.present.push_back(replicaOf(id, "a", "slow"));
  }
  return poll;
}

ReplicaPoll
removalOf(const std::string& aId)
{
  ReplicaPoll poll;
  poll.next = 2;
  poll.removed.push_back(aId);
  return poll;
}

class ReplicaListTest : public ::testing::Test
{
protected:
  TimePoint in(Duration aTime) { return TimePoint{} + seconds{ 100 } + aTime; }
  ReplicaList list;
};

TEST_F(ReplicaListTest, ARemovedEntryIsDroppedAtOnce)
{
  // New work sent to a replica after its entry was removed would exceed the
  // time limit for draining.
  this->list.onPoll(snapshotOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onPoll(removalOf("one"), this->in(seconds{ 5 }));
  EXPECT_EQ(this->list.size(), 1U);
}

TEST_F(ReplicaListTest, ARestartedEndpointIsAnotherReplica)
{
  // An endpoint crashes and restarts under its name before its entry has
  // expired. What was known of the old incarnation must not be applied to the
  // new one: the list has one replica of that name, under another id.
  Replica replica = replicaOf("one", "a", "slow");
  replica.id = replicaId("one", 1'000);
  replica.layers = LayerRange{ 0, 5 };
  ReplicaPoll before;
  before.next = 1;
  before.present.push_back(replica);
  this->list.onPoll(before, this->in(milliseconds{ 0 }));
  replica.id = replicaId("one", 2'000);
  replica.layers.reset();
  ReplicaPoll after;
  after.next = 2;
  after.present.push_back(replica);
  this->list.onPoll(after, this->in(seconds{ 1 }));
  ASSERT_EQ(this->list.size(), 1U);
  EXPECT_NE(this->list.view().replicas[0].id, replicaId("one", 1'000));
  EXPECT_FALSE(this->list.view().replicas[0].layers);
}

TEST_F(ReplicaListTest, AnUnreadableEntryIsDroppedAndAffectsNoOther)
{
  // Another writer corrupts the entry of a replica, which may have said that
  // the replica drains. The entry must be dropped right after an outage too,
  // and not kept as an expired one.
  this->list.onPoll(snapshotOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 1 }));
  ReplicaPoll poll;
  poll.next = 3;
  poll.unreadable.push_back({ "one", "no known state" });
  this->list.onPoll(poll, this->in(seconds{ 2 }));
  ASSERT_EQ(this->list.size(), 1U);
  EXPECT_EQ(this->list.view().replicas[0].registeredAs, "two");
}

TEST_F(ReplicaListTest, AnOlderPollDoesNotRestoreADrainingReplica)
{
  // A replica reports that it drains. Another thread's full read, which began
  // before, is applied after that change and shows the replica as ready. If it
  // replaced the newer entry, the replica would get work until it exited.
  this->list.onPoll(snapshotOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  ReplicaPoll change;
  change.next = 7;
  change.present.push_back(replicaOf("one", "a", "slow"));
  change.present.back().draining = true;
  this->list.onPoll(change, this->in(seconds{ 5 }));
  ReplicaPoll older = snapshotOf({ "one", "two" });
  older.next = 6;
  this->list.onPoll(older, this->in(milliseconds{ 5'010 }));
  const ReplicaView view = this->list.view();
  ASSERT_EQ(view.replicas.size(), 2U);
  EXPECT_TRUE(view.replicas[0].draining);
  EXPECT_EQ(view.version, 7U);
}

TEST_F(ReplicaListTest, EntriesThatExpiredInAnOutageAreKeptUntilRegisteredAgain)
{
  // Every entry expires during an outage of the store. After the outage the
  // list is empty for up to two seconds although all replicas are alive, and
  // callers must still be served.
  this->list.onPoll(snapshotOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 8 }));
  this->list.onPoll(snapshotOf({}), this->in(milliseconds{ 8'300 }));
  EXPECT_EQ(this->list.size(), 2U);
  EXPECT_TRUE(this->list.uncertain());
  ReplicaPoll back = snapshotOf({ "one" });
  back.fullSnapshot = false;
  this->list.onPoll(back, this->in(seconds{ 9 }));
  EXPECT_FALSE(this->list.expire(this->in(seconds{ 10 })));
  EXPECT_EQ(this->list.size(), 2U);
  EXPECT_TRUE(this->list.expire(this->in(milliseconds{ 10'400 })));
  EXPECT_EQ(this->list.size(), 1U);
  EXPECT_FALSE(this->list.uncertain());
}

TEST_F(ReplicaListTest, TheFirstPollAfterAnOutageMayComeLate)
{
  // During an outage the store is polled at growing intervals. The first
  // successful poll is 1.4 s after the last failed one and lacks the expired
  // entries. Their replicas are alive, and callers must not be refused.
  this->list.onPoll(snapshotOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 8 }));
  this->list.onPoll(snapshotOf({}), this->in(milliseconds{ 9'400 }));
  EXPECT_EQ(this->list.size(), 2U);
  this->list.onPoll(removalOf("one"), this->in(milliseconds{ 9'800 }));
  EXPECT_EQ(this->list.size(), 2U);
}

TEST_F(ReplicaListTest, ARemovalSomeTimeAfterAnOutageIsADrain)
{
  // The outage was this relay's alone and no entry expired. A replica that
  // drains and is removed 3.5 s later must not be kept for two more seconds.
  this->list.onPoll(snapshotOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 8 }));
  this->list.onPoll(snapshotOf({ "one", "two" }), this->in(seconds{ 9 }));
  this->list.onPoll(removalOf("one"), this->in(milliseconds{ 11'500 }));
  EXPECT_EQ(this->list.size(), 1U);
}

TEST_F(ReplicaListTest, ADrainingReplicaIsNotKeptThroughAnOutage)
{
  ReplicaPoll first = snapshotOf({ "one", "two" });
  first.present[0].draining = true;
  this->list.onPoll(first, this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 1 }));
  this->list.onPoll(snapshotOf({ "two" }), this->in(milliseconds{ 1'200 }));
  EXPECT_EQ(this->list.size(), 1U);
}

TEST_F(ReplicaListTest, DropsNoEntryWhileTheStoreIsUnavailable)
{
  this->list.onPoll(snapshotOf({ "one" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 1 }));
  this->list.onPoll(snapshotOf({}), this->in(milliseconds{ 1'100 }));
  this->list.onUnreachable(this->in(seconds{ 20 }));
  EXPECT_FALSE(this->list.expire(this->in(seconds{ 21 })));
  EXPECT_EQ(this->list.size(), 1U);
}

TEST_F(ReplicaListTest, PollsWithoutChangesKeepTheVersionOfTheLatestChange)
{
  // A full snapshot says nothing of the removals before it, so the list is
  // known to be unchanged only from the snapshot's own version.
  ReplicaPoll snapshot = snapshotOf({ "one", "two" });
  snapshot.next = 7;
  snapshot.lastChange = 3;
  this->list.onPoll(snapshot, this->in(milliseconds{ 0 }));
  ReplicaPoll unchanged;
  unchanged.next = 9;
  this->list.onPoll(unchanged, this->in(seconds{ 1 }));
  EXPECT_EQ(this->list.unchangedSince(), 7U);
  EXPECT_EQ(this->list.knownVersion(), 9U);
  ReplicaPoll removal = removalOf("one");
  removal.next = 12;
  this->list.onPoll(removal, this->in(seconds{ 2 }));
  EXPECT_EQ(this->list.unchangedSince(), 12U);
}

} // namespace
} // namespace poplartrack
