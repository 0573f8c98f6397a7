#include "poplartrack/relay/PlacementController.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include <gtest/gtest.h>

#include "unit/fleet/FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PlacementControllerTest : public ::testing::Test
{
protected:
  PlacementControllerTest()
    : logFd(::open("/dev/null", O_WRONLY))
    , shared(logFd)
    , controller(shared,
                 [this](const Replica& aReplica,
                        LayerRange aLayers,
                        std::uint64_t,
                        const std::function<void(Result<Done>)>& aDone) {
                   this->ordered.push_back(aReplica.id);
                   if (aReplica.id == this->replacedId) {
                     aDone(
                       fail(ErrorKind::NotFound, "another replica answered"));
                     return;
                   }
                   this->replicas.at(aReplica.id).layers = aLayers;
                   aDone(Done{});
                 })
  {
    auto config = std::make_shared<RelayConfig>();
    config->services["model"].name = "model";
    config->services["model"].engine = smallProfile();
    this->shared.config.replace(config);
  }
  ~PlacementControllerTest() override { ::close(this->logFd); }
  PlacementControllerTest(const PlacementControllerTest&) = delete;
  PlacementControllerTest& operator=(const PlacementControllerTest&) = delete;

  void list(const Replica& aReplica)
  {
    this->replicas.insert_or_assign(aReplica.id, aReplica);
  }
  /** Publishes the replicas and runs one placement round after this time. */
  void runRoundAfter(Duration aTime)
  {
    this->now += aTime;
    this->shared.replicas.replace(std::make_shared<const ReplicaView>(
      ReplicaView::of(++this->version, this->replicas)));
    this->controller.runRound(1, this->now);
  }

  int logFd;
  RelayShared shared;
  std::map<std::string, Replica> replicas;
  std::vector<std::string> ordered;
  /** Id of a replica at whose address another one answers. */
  std::string replacedId;
  TimePoint now = TimePoint{} + seconds{ 100 };
  std::uint64_t version = 0;
  PlacementController controller;
};

TEST_F(PlacementControllerTest,
       NoSecondOrderToAReplicaWhoseAddressAnotherOneHas)
{
  // A replica dies right after it registered without layers, and its endpoint
  // restarts at the same address under another name. The dead one stays listed
  // for seconds. When layers are lost, the planner must order them from the new
  // replica: orders to the dead one reach another replica and never take
  // effect.
  for (int i = 0; i < 4; ++i) {
    const std::uint32_t from = 5 * static_cast<std::uint32_t>(i);
    this->list(holding("r" + std::to_string(i), "a", { from, from + 5 }));
  }
  this->runRoundAfter(seconds{ 1 });
  ASSERT_TRUE(this->ordered.empty());
  this->replicas.erase("r1");
  this->list(replicaOf("dead", "a", "fast"));
  this->replacedId = "dead";
  this->runRoundAfter(milliseconds{ 100 });
  this->list(replicaOf("new", "a", "fast"));
  for (int i = 0; i < 30; ++i) {
    this->runRoundAfter(milliseconds{ 100 });
  }
  EXPECT_EQ(std::count(this->ordered.begin(), this->ordered.end(), "dead"), 1);
  std::vector<bool> held(20, false);
  for (const auto& [id, replica] : this->replicas) {
    const LayerRange layers = replica.layers.value_or(LayerRange{});
    std::fill(held.begin() + layers.from, held.begin() + layers.to, true);
  }
  EXPECT_EQ(std::count(held.begin(), held.end(), false), 0);
}

TEST_F(PlacementControllerTest, NoLayersForAReplicaThatHasAnnouncedItsDrain)
{
  this->list(replicaOf("one", "a", "fast"));
  this->list(replicaOf("two", "a", "fast"));
  this->list(replicaOf("three", "a", "fast"));
  this->shared.announcedDrains.replace(
    std::make_shared<const std::set<std::string>>(
      std::set<std::string>{ "one" }));
  for (int i = 0; i < 100; ++i) {
    this->runRoundAfter(milliseconds{ 100 });
  }
  EXPECT_EQ(std::count(this->ordered.begin(), this->ordered.end(), "one"), 0);
  EXPECT_GE(std::count(this->ordered.begin(), this->ordered.end(), "two"), 1);
}

TEST_F(PlacementControllerTest, NoOrderToAReplicaThatHasAskedForABackoff)
{
  this->list(replicaOf("one", "a", "fast"));
  this->list(replicaOf("two", "a", "fast"));
  this->shared.backingOff.replace(std::make_shared<const std::set<std::string>>(
    std::set<std::string>{ "one" }));
  for (int i = 0; i < 100; ++i) {
    this->runRoundAfter(milliseconds{ 100 });
  }
  EXPECT_EQ(std::count(this->ordered.begin(), this->ordered.end(), "one"), 0);
  this->shared.backingOff.replace(
    std::make_shared<const std::set<std::string>>());
  for (int i = 0; i < 100; ++i) {
    this->runRoundAfter(milliseconds{ 100 });
  }
  EXPECT_GE(std::count(this->ordered.begin(), this->ordered.end(), "one"), 1);
}

/** A controller that announces the release of layers of one replica, which
 * others hold as well. */
class ReleaseControllerTest : public PlacementControllerTest
{
protected:
  ReleaseControllerTest()
    : following(
        shared,
        [this](const Replica&,
               LayerRange aLayers,
               std::uint64_t,
               const std::function<void(Result<Done>)>& aDone) {
          this->sent.push_back(aLayers);
          aDone(Done{});
        },
        policy())
  {
    auto config = std::make_shared<RelayConfig>(*this->shared.config.read());
    config->services["model"].engine->kinds["fast"].memoryMb = 2'400;
    this->shared.config.replace(config);
    Replica big = replicaOf("big", "a", "fast");
    big.layers = LayerRange{ 0, 20 };
    this->list(big);
    for (std::uint32_t i = 0; i < 3; ++i) {
      this->list(holding("r" + std::to_string(i), "a", { 5 * i, 5 * i + 5 }));
    }
    this->shared.busyReplicas.replace(
      std::make_shared<const std::set<std::string>>(
        std::set<std::string>{ "big", "r0", "r1", "r2" }));
  }
  static LayerPlannerPolicy policy()
  {
    LayerPlannerPolicy policy;
    policy.followsDemand = true;
    return policy;
  }
  void runFor(int aRounds)
  {
    for (int i = 0; i < aRounds; ++i) {
      this->now += milliseconds{ 100 };
      this->shared.replicas.replace(std::make_shared<const ReplicaView>(
        ReplicaView::of(++this->version, this->replicas)));
      this->following.runRound(1, this->now);
    }
  }
  void reportNoUse()
  {
    this->shared.releaseUse.replace(
      std::make_shared<const std::map<std::string, std::uint32_t>>(
        std::map<std::string, std::uint32_t>{ { "big", 0 } }));
  }

  std::vector<LayerRange> sent;
  PlacementController following;
};

// Guards against moves for want of capacity that a degraded replica still has.
TEST_F(ReleaseControllerTest, DegradedReplicasCountForMoves)
{
  const EngineProfile& profile =
    *this->shared.config.read()->services.at("model").engine;
  this->replicas.clear();
  std::vector<PlacedReplica> placed;
  for (const std::uint32_t from : { 0U, 0U, 0U, 7U, 7U, 14U, 14U }) {
    this->list(holding("r" + std::to_string(this->replicas.size()),
                       "a",
                       { from, std::min(from + 7, 20U) }));
  }
  for (const auto& [id, replica] : this->replicas) {
    if (id != "r4") {
      placed.push_back({ &replica, *replica.layers });
    }
  }
  const double tokens = 1.2 * 1'000 * carriedRate(profile, placed);
  this->shared.demand.replace(std::make_shared<const RelayShared::Demand>(
    RelayShared::Demand{ { "model", { { "a", { tokens, 0 } } } } }));
  this->shared.lostReplicas.replace(
    std::make_shared<const RelayShared::LostReplicas>(
      RelayShared::LostReplicas{ { "r4", true } }));
  this->shared.slowdowns.replace(std::make_shared<const RelayShared::Slowdowns>(
    RelayShared::Slowdowns{ { "r4", 2.5 } }));
  this->runFor(150);
  EXPECT_TRUE(this->shared.releases.read()->empty());
  this->shared.slowdowns.replace(
    std::make_shared<const RelayShared::Slowdowns>());
  this->runFor(20);
  EXPECT_EQ(this->shared.releases.read()->size(), 1U);
}

// Guards against a release that goes on after a relay has fallen silent.
TEST_F(ReleaseControllerTest, ARelayThatFallsSilentEndsTheRelease)
{
  this->runFor(130);
  ASSERT_EQ(this->shared.releases.read()->size(), 1U);
  this->shared.peerSilentAt = this->now.time_since_epoch().count();
  this->runFor(1);
  EXPECT_TRUE(this->shared.releases.read()->empty());
}

// Guards against releases that the relays never learn of, and that stay
// announced after the order.
TEST_F(ReleaseControllerTest, PublishesAReleaseUntilItIsOrdered)
{
  this->runFor(130);
  ASSERT_EQ(this->shared.releases.read()->size(), 1U);
  EXPECT_EQ(this->shared.releases.read()->front().replica, "big");
  EXPECT_TRUE(this->sent.empty());
  this->reportNoUse();
  this->runFor(2);
  EXPECT_EQ(this->sent.size(), 1U);
  EXPECT_TRUE(this->shared.releases.read()->empty());
  EXPECT_EQ(this->shared.metrics.counter("layer_releases_total"), 1U);
  EXPECT_EQ(this->shared.metrics.counter("layer_releases_ordered_total"), 1U);
}

// Guards against the announcements of an earlier lease, which other relays
// would follow until the first round under the new one has ended.
TEST_F(ReleaseControllerTest, ANewLeaseBeginsWithoutAnnouncements)
{
  this->runFor(102);
  ASSERT_EQ(this->shared.releases.read()->size(), 1U);
  // Without a configuration, a round ends before it plans.
  this->shared.config.replace(nullptr);
  this->following.runRound(2, this->now);
  EXPECT_TRUE(this->shared.releases.read()->empty());
}

// Guards against layers that change hands while replicas can neither register
// what they hold nor leave: the list that the release rests on is outdated.
TEST_F(ReleaseControllerTest, NoneWhileTheStoreIsUnavailable)
{
  this->runFor(102);
  ASSERT_EQ(this->shared.releases.read()->size(), 1U);
  this->shared.leadsOutage = true;
  this->runFor(1);
  EXPECT_TRUE(this->shared.releases.read()->empty());
  this->runFor(200);
  EXPECT_TRUE(this->shared.releases.read()->empty());
  // Entries that nobody has registered again may be those of lost replicas.
  this->shared.leadsOutage = false;
  this->shared.listUncertain = true;
  this->runFor(150);
  EXPECT_TRUE(this->shared.releases.read()->empty());
  this->shared.listUncertain = false;
  this->runFor(102);
  EXPECT_EQ(this->shared.releases.read()->size(), 1U);
}

// Guards against an order right after an interruption of the lease: the other
// relays have dropped the announcement, and begin paths through the layers.
TEST_F(ReleaseControllerTest, AWithdrawnReleaseIsAnnouncedForItsFullTimeAgain)
{
  this->reportNoUse();
  this->runFor(120);
  ASSERT_EQ(this->shared.releases.read()->size(), 1U);
  this->following.withdrawReleases();
  EXPECT_TRUE(this->shared.releases.read()->empty());
  EXPECT_EQ(this->shared.metrics.counter("layer_releases_changed_total"), 1U);
  this->runFor(20);
  EXPECT_EQ(this->shared.releases.read()->size(), 1U);
  EXPECT_TRUE(this->sent.empty());
  this->runFor(10);
  EXPECT_EQ(this->sent.size(), 1U);
}

} // namespace
} // namespace poplartrack
