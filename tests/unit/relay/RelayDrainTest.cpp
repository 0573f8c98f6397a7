// Replicas that announce in their answers that they drain.

#include "AnsweringReplica.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

constexpr const char* kAnnounce =
  "X-Stamp: s\r\nX-Draining: 1\r\nConnection: close\r\n";

std::string
answerAndAnnounce(const std::string& aHead)
{
  return RelayWorld::answer(
    headerValue(aHead, "X-Id"), "{}\n", "200 OK", kAnnounce);
}

/** Sends a request and returns the status line and the fields of its answer. */
std::string
headOfAnswer(const RelayWorld& aWorld, const std::string& aId)
{
  return aWorld.sendRequest("/again/x", aId).readUntil("\r\n\r\n");
}

TEST(RelayDrain, AReplicaThatAnnouncesItsDrainGetsNoNewRequests)
{
  AnsweringReplica replica{ answerAndAnnounce };
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  EXPECT_TRUE(headOfAnswer(world, "first").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(headOfAnswer(world, "second").starts_with("HTTP/1.1 503"));
  // The list may be older than the announcement, or lose the entry for a while.
  world.publishReplicas(2);
  EXPECT_TRUE(headOfAnswer(world, "third").starts_with("HTTP/1.1 503"));
  const auto kept = world.replicas;
  world.replicas.clear();
  world.addReplica("other", "model", replica.address());
  world.publishReplicas(3);
  EXPECT_TRUE(headOfAnswer(world, "fourth").starts_with("HTTP/1.1 503"));
  world.replicas = kept;
  world.publishReplicas(4);
  EXPECT_TRUE(headOfAnswer(world, "fifth").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(replica.heads().size(), 1U);
}

TEST(RelayDrain, TheNextIncarnationOfADrainedReplicaGetsRequests)
{
  AnsweringReplica replica{ answerAndAnnounce };
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  EXPECT_TRUE(headOfAnswer(world, "first").starts_with("HTTP/1.1 200"));
  world.restartReplica("one");
  world.publishReplicas(2);
  EXPECT_TRUE(headOfAnswer(world, "second").starts_with("HTTP/1.1 200"));
}

TEST(RelayDrain, AnAnnouncementOfAnOldIncarnationDoesNotBarTheNextOne)
{
  AnsweringReplica replica{ [](const std::string& aHead) {
    return headerValue(aHead, "X-Expect") == "old"
             ? RelayWorld::answer(
                 headerValue(aHead, "X-Id"), "{}\n", "200 OK", kAnnounce)
             : RelayWorld::answer(headerValue(aHead, "X-Id"),
                                  "{}\n",
                                  "200 OK",
                                  "X-Stamp: s\r\nConnection: close\r\n");
  } };
  RelayWorld world;
  world.addReplica("old", "plain", replica.address());
  world.start();
  EXPECT_TRUE(headOfAnswer(world, "first").starts_with("HTTP/1.1 200"));
  world.addReplica("new", "plain", replica.address());
  world.publishReplicas(2);
  world.shared.onReplicaSignals(replica.address(),
                                parseSignals({ 200, {}, {}, "1" }));
  EXPECT_TRUE(headOfAnswer(world, "second").starts_with("HTTP/1.1 200"));
}

TEST(RelayDrain, AnAnswerWithoutTheAnnouncementDoesNotTakeItBack)
{
  RawListener replica;
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  RawSocket earlier = world.sendRequest("/again/x", "earlier");
  RawSocket slow = replica.accept();
  slow.readUntil("\r\n\r\n");
  RawSocket later = world.sendRequest("/again/x", "later");
  RawSocket fast = replica.accept();
  fast.readUntil("\r\n\r\n");
  fast.send(answerAndAnnounce("X-Id: later\r\n"));
  later.readUntil("{}\n");
  slow.send(RelayWorld::answer("earlier", "{}\n"));
  earlier.readUntil("{}\n");
  EXPECT_TRUE(headOfAnswer(world, "last").starts_with("HTTP/1.1 503"));
}

TEST(RelayDrain, AnAnswerThatIsDiscardedAnnouncesADrainToo)
{
  RawListener replica;
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  RawSocket caller = world.sendRequest("/again/x", "first");
  RawSocket connection = replica.accept();
  connection.readUntil("\r\n\r\n");
  connection.send(answerAndAnnounce("X-Id: another\r\n"));
  connection.send(RelayWorld::answer("first", "{}\n"));
  caller.readUntil("{}\n");
  EXPECT_TRUE(headOfAnswer(world, "second").starts_with("HTTP/1.1 503"));
}

TEST(RelayDrain, AnAnnouncementReachesTheOtherRelays)
{
  AnsweringReplica replica{ answerAndAnnounce };
  RelayWorld first;
  RelayWorld second;
  for (RelayWorld* world : { &first, &second }) {
    world->addReplica("one", "plain", replica.address());
    world->start();
  }
  first.setPeers({ second.loop->peersAddress() });
  headOfAnswer(first, "first");
  ASSERT_TRUE(
    waitFor([&] { return !second.shared.announcedDrains.read()->empty(); }));
  EXPECT_TRUE(headOfAnswer(second, "second").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(replica.heads().size(), 1U);
}

} // namespace
} // namespace poplartrack
