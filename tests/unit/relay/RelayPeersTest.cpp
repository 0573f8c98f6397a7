// What relays take over from each other's datagrams.

#include <thread>

#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

TEST(RelayPeers, AReplicaReportedAsDrainingGetsNoNewWork)
{
  // One relay's poll of the list hangs, so its list still shows a draining
  // replica as ready. Another relay has the newer list and reports the drain. A
  // caller of the first relay must be served by the other replica.
  RawListener drainingListener;
  RawListener readyListener;
  RelayWorld upToDate;
  RelayWorld outdated;
  for (RelayWorld* world : { &upToDate, &outdated }) {
    world->addReplica("one", "plain", drainingListener.address());
    world->start();
  }
  upToDate.replicas["one"].draining = true;
  upToDate.publishReplicas(7);
  outdated.addReplica("two", "plain", readyListener.address());
  outdated.replicas["two"].zone = "b";
  outdated.publishReplicas(2);
  upToDate.shared.peers.replace(std::make_shared<const std::vector<Address>>(
    std::vector<Address>{ outdated.loop->peersAddress() }));
  const TimePoint latest = runtimeNow() + std::chrono::seconds{ 60 };
  while (outdated.shared.peerListVersion < 7 && runtimeNow() < latest) {
    std::this_thread::yield();
  }
  ASSERT_EQ(outdated.shared.peerListVersion, 7U);
  RawSocket caller = outdated.sendRequest("/once/x", "id-1");
  RawSocket replica = readyListener.accept();
  EXPECT_TRUE(has(replica.readUntil("\r\n\r\n"), "X-Expect: two\r\n"));
}

TEST(RelayPeers, ReplicaListUpdatesReachTheRelaysOfTheZone)
{
  // One relay polls the list and finds a draining replica. The other relay does
  // not poll: it must receive the entry with all its fields.
  RelayWorld reader;
  RelayWorld receiver;
  reader.start();
  receiver.start();
  reader.shared.peers.replace(std::make_shared<const std::vector<Address>>(
    std::vector<Address>{ receiver.loop->peersAddress() }));
  Replica replica;
  replica.registeredAs = "one";
  replica.startedAtMs = 7;
  replica.id = replicaId("one", 7);
  replica.address = { "127.0.0.1", 9 };
  replica.zone = "a";
  replica.kind = "fast";
  replica.layers = LayerRange{ 3, 5 };
  replica.draining = true;
  ReplicaListDelta delta;
  delta.after = 4;
  delta.poll.next = 5;
  delta.poll.present.push_back(replica);
  delta.poll.removed = { "two" };
  const TimePoint latest = runtimeNow() + std::chrono::seconds{ 60 };
  std::vector<ReplicaListDelta> received;
  while (received.empty() && runtimeNow() < latest) {
    // Only known peers receive it; a status message is sent every 200 ms.
    reader.shared.sendListDelta(delta);
    std::this_thread::yield();
    received = receiver.shared.listInbox.take();
  }
  ASSERT_FALSE(received.empty());
  EXPECT_EQ(received[0].after, 4U);
  EXPECT_EQ(received[0].poll.next, 5U);
  EXPECT_EQ(received[0].poll.removed, std::vector<std::string>{ "two" });
  ASSERT_EQ(received[0].poll.present.size(), 1U);
  EXPECT_EQ(received[0].poll.present[0], replica);
}

TEST(RelayPeers, ARelayWithoutTheStoreAdoptsAnothersProof)
{
  // One relay reaches the store, the other does not. The second must adopt the
  // freshness proof of the first, and not date it later than the first does.
  RelayWorld connected;
  RelayWorld cutOff;
  connected.start();
  cutOff.start(std::chrono::hours{ 1 });
  const auto setPeer = [](RelayWorld& aFrom, const RelayWorld& aTo) {
    aFrom.shared.peers.replace(std::make_shared<const std::vector<Address>>(
      std::vector<Address>{ aTo.loop->peersAddress() }));
  };
  setPeer(connected, cutOff);
  setPeer(cutOff, connected);
  // The limit ends a failing test; a status message is sent every 200 ms.
  const TimePoint latest = runtimeNow() + std::chrono::seconds{ 60 };
  while (cutOff.shared.freshness.age() > std::chrono::minutes{ 2 } &&
         runtimeNow() < latest) {
    std::this_thread::yield();
  }
  EXPECT_LT(cutOff.shared.freshness.age(), std::chrono::minutes{ 2 });
  EXPECT_GE(cutOff.shared.freshness.age(), connected.shared.freshness.age());
}

} // namespace
} // namespace poplartrack
