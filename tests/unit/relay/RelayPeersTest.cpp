// What relays take over from each other's datagrams.

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
  // The report must not expire before the request arrives.
  outdated.useManualClock();
  for (RelayWorld* world : { &upToDate, &outdated }) {
    world->addReplica("one", "plain", drainingListener.address());
    world->start();
  }
  upToDate.replicas["one"].draining = true;
  upToDate.publishReplicas(7);
  outdated.addReplica("two", "plain", readyListener.address());
  outdated.replicas["two"].zone = "b";
  outdated.publishReplicas(2);
  upToDate.setPeers({ outdated.loop->peersAddress() });
  ASSERT_TRUE(waitFor([&] { return outdated.shared.peerListVersion == 7; }));
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
  reader.setPeers({ receiver.loop->peersAddress() });
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
  std::vector<ReplicaListDelta> received;
  ASSERT_TRUE(waitFor([&] {
    if (received.empty()) {
      // Only known peers receive it; a status message is sent every 200 ms.
      reader.shared.sendListDelta(delta);
      received = receiver.shared.listInbox.take();
    }
    return !received.empty();
  }));
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
  connected.setPeers({ cutOff.loop->peersAddress() });
  cutOff.setPeers({ connected.loop->peersAddress() });
  EXPECT_TRUE(waitFor(
    [&] { return cutOff.shared.freshness.age() < std::chrono::minutes{ 2 }; }));
  // The ages grow: the one that must not be less is read last.
  const Duration proved = connected.shared.freshness.age();
  EXPECT_GE(cutOff.shared.freshness.age(), proved);
}

} // namespace
} // namespace poplartrack
