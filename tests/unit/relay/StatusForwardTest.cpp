// Status messages between zones: a relay sends them to a few relays of each
// large zone, which forward them.

#include <algorithm>
#include <set>
#include <vector>

#include <gtest/gtest.h>

#include "PeerSocket.h"
#include "RelayWorld.h"
#include "poplartrack/fleet/StatusTargets.h"

namespace poplartrack {
namespace {

using namespace relaytest;

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

/** Test fixture: a relay that forwards to another one of its zone. */
class StatusForward : public ::testing::Test
{
protected:
  StatusForward()
  {
    this->forwarder.start();
    this->receiver.start();
    this->forwarder.setPeers({ this->receiver.loop->peersAddress() });
  }
  /** Sends the forwarder a status message with this configuration. */
  void sendConfig(const PeerSocket& aFrom,
                  std::uint64_t aVersion,
                  std::string_view aSection)
  {
    PeerStatus status = remoteStatus(aVersion);
    status.config = aVersion;
    aFrom.send(this->forwarder.loop->peersAddress(), status, aSection);
  }

  RelayWorld forwarder;
  RelayWorld receiver;
};

TEST_F(StatusForward, AStatusReachesTheRelaysOfTheForwardersZone)
{
  // A relay of another zone sends its status to one relay of this zone only.
  // The others must learn of it, and of the configuration that it has.
  const PeerSocket remote;
  this->sendConfig(remote, 9, packForwardRequest());
  EXPECT_TRUE(
    waitFor([this] { return this->receiver.shared.peerConfigVersion == 9; }));
  this->receiver.settle();
  const auto peers = this->receiver.shared.peers.read();
  EXPECT_EQ(std::count(peers->begin(), peers->end(), remote.address()), 1);
}

TEST_F(StatusForward, AStatusThatIsNotToBeForwardedIsNot)
{
  // Store readers send to all relays directly. If their messages were forwarded
  // as well, each relay would receive them several times.
  const PeerSocket direct;
  const PeerSocket forwarded;
  this->sendConfig(direct, 20, {});
  // Sent later, so that it is forwarded with the first one or after it.
  this->sendConfig(forwarded, 9, packForwardRequest());
  EXPECT_TRUE(
    waitFor([this] { return this->receiver.shared.peerConfigVersion >= 9; }));
  this->receiver.settle();
  EXPECT_EQ(this->receiver.shared.peerConfigVersion, 9U);
}

TEST(StatusForwarders, TwoRelaysOfALargeZoneAreAskedToForward)
{
  RelayWorld world;
  world.useManualClock();
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
    world.advance(kRound);
    return requests;
  };
  ASSERT_TRUE(waitFor([&] {
    exchange();
    return world.shared.peers.read()->size() == remotes.size() + readers.size();
  }));
  // What it sent before it knew all of them does not count.
  ASSERT_TRUE(waitFor([&] { return exchange() > 0; }));
  exchange();
  asked.clear();
  sentDirectly.clear();
  int requests = 0;
  ASSERT_TRUE(waitFor([&] {
    requests += exchange();
    return requests >= 4;
  }));
  EXPECT_EQ(asked.size(), kForwardersPerZone);
  EXPECT_TRUE(sentDirectly.empty());
}

} // namespace
} // namespace poplartrack
