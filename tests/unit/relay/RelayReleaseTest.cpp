// Layers that the holder of the placement lease takes from busy replicas.

#include <optional>

#include "PeerSocket.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** A replica with all layers and one with the first half of them. The time
 * stands still between the exchanges of status messages: what a peer reports
 * expires after 2 s, which could pass before a request on a busy machine. */
class RelayReleaseTest : public ::testing::Test
{
protected:
  RelayReleaseTest()
  {
    this->world.addModelReplica("big", this->big.address(), { 0, 10 }, "a");
    this->world.addModelReplica("half", this->half.address(), { 0, 5 }, "a");
    this->world.load.demandPlacement = true;
  }
  void start()
  {
    this->world.useManualClock();
    this->world.setPeers({ this->peer.address() });
    this->world.start();
  }
  /** Starts it as the holder of the lease, with an announced release. */
  void startAsHolder()
  {
    this->world.shared.holdsLease = true;
    this->world.shared.releases.replace(
      std::make_shared<const std::vector<ReleasedLayers>>(
        std::vector<ReleasedLayers>{ { "big", { 0, 5 } } }));
    this->start();
  }
  /** Sends this status message to the relay, which applies it. */
  void send(PeerStatus& aStatus)
  {
    ++aStatus.sentAt;
    this->peer.send(this->world.loop->peersAddress(), aStatus);
    this->world.settle();
  }
  /** Sends this status message until the relay's own satisfies a condition. */
  template<typename Condition>
  PeerStatus exchangeUntil(PeerStatus aStatus, Condition aCondition)
  {
    std::optional<PeerMessage> message;
    EXPECT_TRUE(this->world.advanceUntil([&] {
      this->send(aStatus);
      message = this->peer.receive();
      return message && aCondition(message->status);
    }))
      << "the relay has not sent the expected status";
    return message ? message->status : PeerStatus{};
  }
  static PeerStatus statusOf(bool aHoldsLease)
  {
    PeerStatus status;
    status.incarnation = 9;
    status.zone = "a";
    status.holdsLease = aHoldsLease;
    return status;
  }

  /** Whether the relay has applied a message of the lease holder. */
  auto isApplied()
  {
    return [this](const PeerStatus&) {
      return this->world.shared.peerHoldsLease.load();
    };
  }

  RawListener big;
  RawListener half;
  PeerSocket peer;
  RelayWorld world;
};

// Guards against requests that begin at layers which the replica is about to
// drop, and against an order that never comes because requests through its
// other layers count.
TEST_F(RelayReleaseTest, NewPathsAvoidAnnouncedLayersAndAreReportedOutside)
{
  this->start();
  PeerStatus announcement = statusOf(true);
  announcement.releases.push_back(ReleaseRow{ "big", 0, 5 });
  this->exchangeUntil(announcement, this->isApplied());
  RawSocket caller = this->world.sendRequest("/stream/x", "id-1");
  RawSocket replica = this->half.accept();
  EXPECT_TRUE(has(replica.readUntil("\r\n\r\n"), "X-Path: half;big;\r\n"));
  const PeerStatus status =
    this->exchangeUntil(announcement, [](const PeerStatus& aStatus) {
      return aStatus.loads.size() == 2;
    });
  for (const LoadRow& row : status.loads) {
    EXPECT_EQ(row.requests, 1U);
    EXPECT_EQ(row.outsideRelease, row.replica == "big" ? 1U : 0U);
  }
}

// Guards against a relay that fills one of two equal replicas first.
TEST_F(RelayReleaseTest, PathsPreferRemainingCapacity)
{
  RawListener twin;
  this->world.addModelReplica("twin", twin.address(), { 0, 10 }, "a");
  this->start();
  PeerStatus status = statusOf(true);
  status.loads.push_back(LoadRow{ "big", 1, 500'000'000 });
  this->exchangeUntil(status, this->isApplied());
  RawSocket caller = this->world.sendRequest("/stream/x", "id-1");
  RawSocket replica = twin.accept();
  EXPECT_TRUE(has(replica.readUntil("\r\n\r\n"), "X-Path: twin;\r\n"));
}

// Guards against an order while a relay that does not know the announcement has
// requests at the replica.
TEST_F(RelayReleaseTest, RequestsOfARelayThatDoesNotKnowItCountAsThroughIt)
{
  this->startAsHolder();
  const auto used = [&](std::uint32_t aRequests) {
    return [this, aRequests](const PeerStatus& aStatus) {
      const auto use = this->world.shared.releaseUse.read();
      return aStatus.releases.size() == 1 && use->contains("big") &&
             use->at("big") == aRequests;
    };
  };
  PeerStatus status = statusOf(false);
  status.loads.push_back(LoadRow{ "big", 2 });
  this->exchangeUntil(status, used(2));
  status.loads[0].outsideRelease = 2;
  this->exchangeUntil(status, used(0));
}

// Guards against an order while a relay that was cut off has requests at the
// replica: they were no longer counted once the relay fell silent.
TEST_F(RelayReleaseTest, UseIsUnknownAfterARelayHasFallenSilent)
{
  this->startAsHolder();
  PeerStatus status = statusOf(false);
  status.loads.push_back(LoadRow{ "big", 2 });
  this->exchangeUntil(status, [this](const PeerStatus&) {
    const auto use = this->world.shared.releaseUse.read();
    return use->contains("big") && use->at("big") == 2;
  });
  EXPECT_TRUE(this->world.advanceUntil([this] {
    const auto use = this->world.shared.releaseUse.read();
    return !use->contains("big") || use->at("big") == 0;
  }));
  EXPECT_FALSE(this->world.shared.releaseUse.read()->contains("big"));
}

/** A stream through three replicas, the second of which is lost, while another
 * relay announces the release of one that holds the same layers. */
class StreamRepairTest : public RelayReleaseTest
{
protected:
  /** Returns the path to which the stream moves if a third holder of the lost
   * layers has no memory left. */
  std::string pathAfterLoss()
  {
    this->world.replicas.clear();
    this->world.onQuery = [](const Address& aTo, auto aDone) {
      ReplicaReport report;
      report.reached = aTo.port != 2;
      aDone(report);
    };
    this->world.addThreeParts(this->big.address());
    this->start();
    RawSocket caller = this->world.sendRequest(
      "/stream/x", "id-1", "X-Tokens: 5,50\r\nX-Hint: 50\r\n");
    RawSocket replica = this->big.accept();
    replica.readUntil("\r\n\r\n");
    this->world.addModelReplica("released", { "127.0.0.1", 4 }, { 3, 6 }, "a");
    this->world.addModelReplica("full", { "127.0.0.1", 5 }, { 3, 6 }, "a");
    this->world.publishReplicas(2);
    PeerStatus status = statusOf(true);
    status.releases.push_back(ReleaseRow{ "released", 3, 6 });
    status.loads.push_back(LoadRow{ "full", 1, 2'000'000'000 });
    this->exchangeUntil(status, [](const PeerStatus&) { return true; });
    replica.send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                 RelayWorld::event(2) + RelayWorld::event(3));
    caller.readUntil("id: 3");
    EXPECT_TRUE(this->world.advanceUntil([&] {
      this->send(status);
      return !this->world.lastRepath().empty();
    }));
    return this->world.lastRepath();
  }
};

// Guards against a stream that breaks off for lack of memory although a replica
// has some: it still serves the layers that it is to release.
TEST_F(StreamRepairTest, AStreamMovesToAnnouncedLayersIfTheOthersAreFull)
{
  EXPECT_EQ(this->pathAfterLoss(), "one;released;three;");
}

} // namespace
} // namespace poplartrack
