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

} // namespace
} // namespace poplartrack
