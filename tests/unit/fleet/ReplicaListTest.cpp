#include "poplartrack/fleet/ReplicaList.h"

#include <gtest/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using std::chrono::milliseconds;
using std::chrono::seconds;

ReplicaPoll
wholeOf(const std::vector<std::string>& aIds)
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
goneOf(const std::string& aId)
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

TEST_F(ReplicaListTest, AnEntryThatIsRemovedIsGoneAtOnce)
{
  // New work sent to a replica whose entry is gone breaks the bound on leaving
  // ones.
  this->list.onPoll(wholeOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onPoll(goneOf("one"), this->in(seconds{ 5 }));
  EXPECT_EQ(this->list.size(), 1U);
}

TEST_F(ReplicaListTest, AnEndpointThatStartsAgainIsAnotherReplica)
{
  // An endpoint crashes and starts again under its name before its entry has
  // lapsed. What was known of the old start must not be taken for the new one:
  // the list has one replica of that name, under another id.
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

TEST_F(ReplicaListTest, AnEntryThatCannotBeReadDrawsNoWorkAndHarmsNoOther)
{
  // Another writer spoils the entry of a replica; it may have said that it
  // leaves. Right after an outage, too, it is not kept as one that lapsed.
  this->list.onPoll(wholeOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 1 }));
  ReplicaPoll poll;
  poll.next = 3;
  poll.unreadable.push_back({ "one", "no known state" });
  this->list.onPoll(poll, this->in(seconds{ 2 }));
  ASSERT_EQ(this->list.size(), 1U);
  EXPECT_EQ(this->list.view().replicas[0].registeredAs, "two");
}

TEST_F(ReplicaListTest, AnOlderLookDoesNotBringALeavingReplicaBack)
{
  // A replica says that it leaves. A whole read that another thread had begun
  // before is taken over after that change: it shows the replica as ready.
  // Taken for news, it drew work to the replica until that ended.
  this->list.onPoll(wholeOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  ReplicaPoll change;
  change.next = 7;
  change.present.push_back(replicaOf("one", "a", "slow"));
  change.present.back().draining = true;
  this->list.onPoll(change, this->in(seconds{ 5 }));
  ReplicaPoll older = wholeOf({ "one", "two" });
  older.next = 6;
  this->list.onPoll(older, this->in(milliseconds{ 5'010 }));
  const ReplicaView view = this->list.view();
  ASSERT_EQ(view.replicas.size(), 2U);
  EXPECT_TRUE(view.replicas[0].draining);
  EXPECT_EQ(view.version, 7U);
}

TEST_F(ReplicaListTest, EntriesThatLapsedInAnOutageAreKeptUntilTheyAreBack)
{
  // Callers keep being served through an outage of the store in which every
  // entry lapsed: after its return the list is empty for up to two seconds,
  // although all replicas live.
  this->list.onPoll(wholeOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 8 }));
  this->list.onPoll(wholeOf({}), this->in(milliseconds{ 8'300 }));
  EXPECT_EQ(this->list.size(), 2U);
  EXPECT_TRUE(this->list.uncertain());
  ReplicaPoll back = wholeOf({ "one" });
  back.fullSnapshot = false;
  this->list.onPoll(back, this->in(seconds{ 9 }));
  EXPECT_FALSE(this->list.expire(this->in(seconds{ 10 })));
  EXPECT_EQ(this->list.size(), 2U);
  EXPECT_TRUE(this->list.expire(this->in(milliseconds{ 10'400 })));
  EXPECT_EQ(this->list.size(), 1U);
  EXPECT_FALSE(this->list.uncertain());
}

TEST_F(ReplicaListTest, TheFirstLookAfterAnOutageMayComeLate)
{
  // While the store is away it is asked less and less often. The first answer
  // comes 1.4 s after the last failure, without the entries that lapsed; their
  // replicas live, and callers must not be refused.
  this->list.onPoll(wholeOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 8 }));
  this->list.onPoll(wholeOf({}), this->in(milliseconds{ 9'400 }));
  EXPECT_EQ(this->list.size(), 2U);
  this->list.onPoll(goneOf("one"), this->in(milliseconds{ 9'800 }));
  EXPECT_EQ(this->list.size(), 2U);
}

TEST_F(ReplicaListTest, ARemovalSomeTimeAfterAnOutageIsALeaving)
{
  // The outage was this relay's alone: nothing lapsed, and a replica that
  // leaves 3.5 s later must not be kept for two seconds more.
  this->list.onPoll(wholeOf({ "one", "two" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 8 }));
  this->list.onPoll(wholeOf({ "one", "two" }), this->in(seconds{ 9 }));
  this->list.onPoll(goneOf("one"), this->in(milliseconds{ 11'500 }));
  EXPECT_EQ(this->list.size(), 1U);
}

TEST_F(ReplicaListTest, OneThatSaidItLeavesDoesNotComeBack)
{
  ReplicaPoll first = wholeOf({ "one", "two" });
  first.present[0].draining = true;
  this->list.onPoll(first, this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 1 }));
  this->list.onPoll(wholeOf({ "two" }), this->in(milliseconds{ 1'200 }));
  EXPECT_EQ(this->list.size(), 1U);
}

TEST_F(ReplicaListTest, NobodyIsDroppedWhileTheStoreIsAway)
{
  this->list.onPoll(wholeOf({ "one" }), this->in(milliseconds{ 0 }));
  this->list.onUnreachable(this->in(seconds{ 1 }));
  this->list.onPoll(wholeOf({}), this->in(milliseconds{ 1'100 }));
  this->list.onUnreachable(this->in(seconds{ 20 }));
  EXPECT_FALSE(this->list.expire(this->in(seconds{ 21 })));
  EXPECT_EQ(this->list.size(), 1U);
}

} // namespace
} // namespace poplartrack
