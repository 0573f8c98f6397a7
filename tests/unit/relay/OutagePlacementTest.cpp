#include "FleetControlFixture.h"
#include "PeerSocket.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

TEST_F(FleetControlTest, TheHolderLeadsThroughAnOutageUntilAnotherHolderIsHeard)
{
  // Lost layers stayed without a holder until the store was back.
  this->settings.load.outagePlacement = true;
  FleetControl<ScriptedStore> control{
    this->settings, this->shared, this->store, ignoreOrder
  };
  EXPECT_TRUE(waitFor([this] { return this->shared.holdsLease.load(); }));
  this->store.failRows();
  this->store.end();
  this->shared.peers.replace(std::make_shared<const std::vector<Address>>(
    std::vector{ Address{ "10.0.0.1", 7 } }));
  this->shared.freshPeers = 1;
  // The view stays up to date, however slowly the test runs.
  this->shared.outageViewAt =
    (this->shared.clock.now() + std::chrono::hours{ 1 })
      .time_since_epoch()
      .count();
  // The thread sets these one after the other.
  EXPECT_TRUE(waitFor([this] {
    return this->shared.leadsOutage && this->shared.holdsLease &&
           has(this->shared.metrics.render(), "placement_outage_leader 1");
  }));
  this->shared.peerHoldsLease = true;
  EXPECT_TRUE(waitFor([this] { return this->shared.releasedFence != 0; }));
  EXPECT_FALSE(this->shared.holdsLease);
  EXPECT_FALSE(this->shared.leadsOutage);
}

/** Publishes the announcement of a release, as a placement round does. */
void
publishRelease(RelayShared& aShared)
{
  aShared.releases.replace(std::make_shared<const std::vector<ReleasedLayers>>(
    std::vector<ReleasedLayers>{ { "big", { 0, 5 } } }));
}

TEST_F(FleetControlTest, ALostLeaseEndsTheAnnouncedReleases)
{
  // A relay that regained the lease announced the releases of its last one
  // until its first round had ended.
  FleetControl<ScriptedStore> control{
    this->settings, this->shared, this->store, ignoreOrder
  };
  EXPECT_TRUE(waitFor([this] { return this->shared.holdsLease.load(); }));
  publishRelease(this->shared);
  this->store.failRows();
  this->store.end();
  EXPECT_TRUE(waitFor([this] { return !this->shared.holdsLease.load(); }));
  EXPECT_TRUE(
    waitFor([this] { return this->shared.releases.read()->empty(); }));
}

TEST_F(FleetControlTest, AReleasedLeaseEndsTheAnnouncedReleases)
{
  // The layers would not be used until the announcement times out.
  FleetControl<ScriptedStore> control{
    this->settings, this->shared, this->store, ignoreOrder
  };
  EXPECT_TRUE(waitFor([this] { return this->shared.holdsLease.load(); }));
  publishRelease(this->shared);
  this->store.end();
  control.releaseLease();
  EXPECT_TRUE(this->shared.releases.read()->empty());
}

TEST(OutageProbes, AnIdleReplicaThatHasExitedIsFoundWhileTheStoreIsUnavailable)
{
  // No request finds out that it is gone, and the list keeps it. A busy replica
  // whose report is late must keep its layers.
  const PeerSocket peer;
  const Address gone{ "127.0.0.1", 1 };
  std::atomic<int> busyAsked{ 0 };
  RelayWorld world;
  world.load.outagePlacement = true;
  world.addModelReplica("busy", { "127.0.0.1", 2 }, { 0, 10 }, "a");
  world.addModelReplica("gone", gone, { 0, 10 }, "a");
  world.onQuery = [&](const Address& aReplica, auto aDone) {
    ReplicaReport report;
    report.refused = aReplica == gone;
    busyAsked += report.refused ? 0 : 1;
    aDone(report);
  };
  world.shared.holdsLease = true;
  world.shared.leadsOutage = true;
  world.start();
  PeerStatus status;
  status.incarnation = 1;
  const auto isLost = [&](const char* aReplica) {
    return world.shared.lostReplicas.read()->contains(aReplica);
  };
  EXPECT_TRUE(waitFor([&] {
    peer.send(world.loop->peersAddress(), status);
    return isLost("gone") && busyAsked > 1;
  }));
  EXPECT_FALSE(isLost("busy"));
}

} // namespace
} // namespace poplartrack
