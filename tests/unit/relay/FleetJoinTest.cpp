// How a relay that starts or lags learns from other relays instead of the
// store.

#include "poplartrack/relay/FleetControl.h"

#include <gtest/gtest.h>

#include "FleetControlFixture.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using namespace relaytest;

TEST_F(FleetControlTest, ARelayThatStartsLearnsTheStateFromAContact)
{
  // If each relay that starts read the configuration and the replica list from
  // the store, a start of all would be hundreds of reads of the same bytes.
  this->addContacts();
  SnapshotQuery asked;
  this->joinLimits.contacts = std::chrono::minutes{ 10 };
  this->join([&asked](const Address&, const SnapshotQuery& aQuery, Duration) {
    asked = aQuery;
    return Result<FleetSnapshot>{ contactSnapshot() };
  });
  EXPECT_EQ(this->storeReads(), 0U);
  EXPECT_TRUE(asked.newerReplicas.has_value());
  EXPECT_EQ(this->shared.config.read()->version, 5U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
  EXPECT_GE(this->shared.freshness.age(), std::chrono::milliseconds{ 100 });
  EXPECT_EQ(this->shared.peers.read()->size(), 3U);
  EXPECT_FALSE(this->shared.polls);
}

TEST_F(FleetControlTest, ARelayThatNoContactAnswersReadsTheStore)
{
  this->addContacts();
  this->store.scriptConfig(configPoll(5));
  this->store.scriptReplicas(replicaPoll("one"));
  this->join([](const Address&, const SnapshotQuery&, Duration) {
    return Result<FleetSnapshot>{ fail(ErrorKind::PlatformUnavailable) };
  });
  EXPECT_GT(this->storeReads(), 0U);
  EXPECT_EQ(this->shared.replicas.read()->replicas.size(), 1U);
  EXPECT_EQ(this->shared.joinedPeersAt, 0);
}

TEST_F(FleetControlTest, ARelayWaitsForContactsThatReadTheStore)
{
  // All relays start at once, and the contacts take a second to read the list.
  // If the others gave up just then, they would read it too, and all would be
  // slower than without contacts.
  this->addContacts();
  int asked = 0;
  this->joinLimits.contacts = std::chrono::minutes{ 10 };
  this->join([&asked](const Address&, const SnapshotQuery&, Duration) {
    constexpr int kAsksUntilRead = 12;
    FleetSnapshot snapshot = contactSnapshot();
    if (++asked < kAsksUntilRead) {
      snapshot.replicas.reset();
    }
    return Result<FleetSnapshot>{ snapshot };
  });
  EXPECT_EQ(this->storeReads(), 0U);
  EXPECT_NE(this->shared.joinedPeersAt, 0);
}

TEST_F(FleetControlTest, ARelayDoesNotJoinThroughAContactWithAnOldProof)
{
  // The contact is cut off from the store. The relay that starts is not, and
  // would begin with a configuration that may be out of date.
  this->addContacts();
  this->store.scriptConfig(configPoll(6));
  this->store.scriptReplicas(replicaPoll("one"));
  this->joinAndThen(
    [](const Address&, const SnapshotQuery&, Duration) {
      FleetSnapshot old = contactSnapshot();
      old.configAge = std::chrono::seconds{ 60 };
      return Result<FleetSnapshot>{ old };
    },
    [] {},
    [this] { return this->storeReads() > 0; });
  EXPECT_GT(this->storeReads(), 0U);
  EXPECT_EQ(this->shared.joinedPeersAt, 0);
}

TEST_F(FleetControlTest, ANewerConfigurationComesFromARelayOfTheZone)
{
  // If each relay read a changed configuration from the store, one change would
  // be a call for each relay of the fleet.
  this->addContacts();
  const Address holder{ "10.0.0.2", 7 };
  std::atomic<bool> askedHolder{ false };
  const auto fetch =
    [&](const Address& aRelay, const SnapshotQuery& aQuery, Duration) {
      FleetSnapshot snapshot = contactSnapshot();
      if (aQuery.newerConfig == 5) {
        askedHolder = aRelay == holder;
        snapshot.configVersion = 6;
        snapshot.configText = "6";
      }
      return Result<FleetSnapshot>{ snapshot };
    };
  const auto version = [this] { return this->shared.config.read()->version; };
  this->joinWithoutStore(
    fetch,
    [&] {
      this->shared.configHolders.report(6, holder);
      this->shared.peerConfigVersion = 6;
    },
    [&] { return version() == 6; });
  EXPECT_EQ(version(), 6U);
  EXPECT_TRUE(askedHolder);
  EXPECT_EQ(this->storeReads(), 0U);
}

TEST_F(FleetControlTest,
       ANewerConfigurationThatNobodyHandsOutIsReadFromTheStore)
{
  // The only relay of the zone that reported it has died. A configuration must
  // be in force everywhere within its deadline.
  this->addContacts();
  this->store.scriptConfig(configPoll(6));
  const auto fetch = [](const Address&, const SnapshotQuery& aQuery, Duration) {
    return aQuery.newerConfig == 5
             ? Result<FleetSnapshot>{ fail(ErrorKind::PlatformUnavailable) }
             : Result<FleetSnapshot>{ contactSnapshot() };
  };
  const auto version = [this] { return this->shared.config.read()->version; };
  this->joinAndThen(
    fetch,
    [this] {
      this->shared.configHolders.report(6, Address{ "10.0.0.2", 7 });
      this->shared.peerConfigVersion = 6;
    },
    [&] { return version() == 6; });
  EXPECT_EQ(version(), 6U);
}

TEST_F(FleetControlTest, ARelayThatTheStoreRejectsLearnsFromOtherZones)
{
  // The store rejects this relay, the only one of its zone. The relays of other
  // zones have a newer configuration. Without them, it would reject requests as
  // soon as its proof is old, although its peers can be reached.
  this->addContacts();
  const auto fetch = [](const Address&, const SnapshotQuery& aQuery, Duration) {
    FleetSnapshot snapshot = contactSnapshot();
    if (aQuery.newerConfig == 5) {
      snapshot.configVersion = 6;
      snapshot.configText = "6";
    }
    return Result<FleetSnapshot>{ snapshot };
  };
  const auto version = [this] { return this->shared.config.read()->version; };
  this->joinWithoutStore(
    fetch,
    [this] {
      this->shared.pollsFail = true;
      this->shared.remoteConfigHolders.report(6, Address{ "10.0.0.2", 7 });
      this->shared.peerConfigVersion = 6;
    },
    [&] { return version() == 6; });
  EXPECT_EQ(version(), 6U);
  EXPECT_EQ(this->storeReads(), 0U);
}

TEST_F(FleetControlTest, AListWithAMissedUpdateComesFromARelayOfTheZone)
{
  // The datagram with a change was lost. Its sender still has the list.
  this->addContacts();
  const auto fetch = [](const Address&, const SnapshotQuery& aQuery, Duration) {
    FleetSnapshot snapshot = contactSnapshot();
    snapshot.replicas->lastChange = 9;
    if (aQuery.newerReplicas && *aQuery.newerReplicas == 9) {
      snapshot.replicas->present.push_back(replicaOf("two", "a", "slow"));
      snapshot.replicas->lastChange = 12;
      snapshot.replicas->next = 12;
    }
    return Result<FleetSnapshot>{ snapshot };
  };
  const auto listed = [this] {
    return this->shared.replicas.read()->replicas.size();
  };
  this->joinWithoutStore(
    fetch,
    [this] {
      this->shared.listHolders.report(12, Address{ "10.0.0.2", 7 });
      this->shared.peerListVersion = 12;
    },
    [&] { return listed() == 2; });
  EXPECT_EQ(listed(), 2U);
  EXPECT_EQ(this->storeReads(), 0U);
}

} // namespace
} // namespace poplartrack
