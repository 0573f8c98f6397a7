// Status messages between zones: a relay sends them to a few relays of each
// large zone, which forward them.

#include <algorithm>
#include <chrono>
#include <set>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "PeerSocket.h"
#include "RelayWorld.h"
#include "poplartrack/fleet/StatusTargets.h"

namespace poplartrack {
namespace {

using relaytest::PeerSocket;
using relaytest::RelayWorld;

/** Ends a test that fails. */
constexpr Duration kTimeout = std::chrono::seconds{ 60 };
constexpr Duration kPause = std::chrono::milliseconds{ 10 };

/** Returns a status message of a relay of zone "b". */
PeerStatus
remoteStatus(std::uint64_t aIncarnation)
{
  PeerStatus status;
  status.incarnation = aIncarnation;
  status.zone = "b";
  status.sentAt = runtimeNow().time_since_epoch().count();
  status.forwards = true;
  return status;
}

/** Returns a status message of a store reader of zone "a" on a fast link. */
PeerStatus
readerStatus(std::uint64_t aIncarnation)
{
  PeerStatus status = remoteStatus(aIncarnation);
  status.zone = "a";
  status.polls = true;
  status.linkMbps = 1'000'000;
  return status;
}

void
setPeers(RelayWorld& aWorld, std::vector<Address> aPeers)
{
  aWorld.shared.peers.replace(
    std::make_shared<const std::vector<Address>>(std::move(aPeers)));
}

TEST(StatusForward, AStatusReachesTheRelaysOfTheForwardersZone)
{
  // A relay of another zone sends its status to one relay of this zone only.
  // The others must learn of it, and of the configuration that it has.
  RelayWorld forwarder;
  RelayWorld receiver;
  forwarder.start();
  receiver.start();
  setPeers(forwarder, { receiver.loop->peersAddress() });
  const PeerSocket remote;
  const TimePoint latest = runtimeNow() + kTimeout;
  while (receiver.shared.peerConfigVersion < 9 && runtimeNow() < latest) {
    PeerStatus status = remoteStatus(1);
    status.config = 9;
    remote.send(forwarder.loop->peersAddress(), status, packForwardRequest());
    std::this_thread::sleep_for(kPause);
  }
  EXPECT_EQ(receiver.shared.peerConfigVersion, 9U);
  const auto peers = receiver.shared.peers.read();
  EXPECT_EQ(std::count(peers->begin(), peers->end(), remote.address()), 1);
}

TEST(StatusForward, AStatusThatIsNotToBeForwardedIsNot)
{
  // Store readers send to all relays directly. If their messages were forwarded
  // as well, each relay would receive them several times.
  RelayWorld forwarder;
  RelayWorld receiver;
  forwarder.start();
  receiver.start();
  setPeers(forwarder, { receiver.loop->peersAddress() });
  const PeerSocket direct;
  const PeerSocket forwarded;
  const TimePoint latest = runtimeNow() + kTimeout;
  while (receiver.shared.peerConfigVersion < 9 && runtimeNow() < latest) {
    PeerStatus status = remoteStatus(1);
    status.config = 20;
    direct.send(forwarder.loop->peersAddress(), status);
    status = remoteStatus(2);
    status.config = 9;
    forwarded.send(
      forwarder.loop->peersAddress(), status, packForwardRequest());
    std::this_thread::sleep_for(kPause);
  }
  EXPECT_EQ(receiver.shared.peerConfigVersion, 9U);
}

TEST(StatusForward, TwoRelaysOfALargeZoneAreAskedToForward)
{
  RelayWorld world;
  world.start();
  std::vector<PeerSocket> remotes(12);
  // The relays of its zone that poll the store, so that it does not.
  const std::vector<PeerSocket> readers(2);
  const Address relay = world.loop->peersAddress();
  std::set<std::size_t> asked;
  std::set<std::size_t> sentDirectly;
  const auto exchange = [&] {
    int requests = 0;
    for (std::size_t i = 0; i < readers.size(); ++i) {
      readers[i].send(relay, readerStatus(100 + i));
    }
    for (std::size_t i = 0; i < remotes.size(); ++i) {
      remotes[i].send(relay, remoteStatus(i + 1));
      while (const auto message = remotes[i].receive()) {
        (message->forward.wanted ? asked : sentDirectly).insert(i);
        requests += message->forward.wanted ? 1 : 0;
      }
    }
    std::this_thread::sleep_for(kPause);
    return requests;
  };
  const TimePoint latest = runtimeNow() + kTimeout;
  while (world.shared.peers.read()->size() < remotes.size() + readers.size() &&
         runtimeNow() < latest) {
    exchange();
  }
  // What it sent before it knew all of them does not count.
  while (exchange() == 0 && runtimeNow() < latest) {
  }
  exchange();
  asked.clear();
  sentDirectly.clear();
  for (int requests = 0; requests < 4 && runtimeNow() < latest;) {
    requests += exchange();
  }
  EXPECT_EQ(asked.size(), kForwardersPerZone);
  EXPECT_TRUE(sentDirectly.empty());
}

} // namespace
} // namespace poplartrack
