#include "poplartrack/place/PlacementPlanner.h"

#include <set>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

/** A region whose endpoints hold the layers of the last executed plan. */
class Region
{
public:
  void addModel(const std::string& aName,
                std::uint32_t aLayers,
                std::uint32_t aMinCopies,
                double aDemand)
  {
    ModelSpec spec;
    spec.layers = aLayers;
    spec.version = "v1";
    spec.minCopies = aMinCopies;
    this->configuration.models[aName] = spec;
    this->demand[aName] = aDemand;
  }

  void addEndpoint(std::uint32_t aCapacity, double aSpeed)
  {
    PlacementEndpoint endpoint;
    const std::size_t number = this->endpoints.size();
    endpoint.info.name = "engine-" + std::to_string(number);
    endpoint.info.service = "engine";
    endpoint.info.zone = "zone-" + std::to_string(number % 3);
    endpoint.capacityLayers = aCapacity;
    endpoint.speed = aSpeed;
    this->endpoints.push_back(std::move(endpoint));
  }

  [[nodiscard]] PlacementPlan plan() const
  {
    return planPlacement({ this->configuration, this->endpoints, this->demand },
                         PlacementPolicy{});
  }

  /** Sets what the endpoints hold to the plan. */
  void execute(const PlacementPlan& aPlan)
  {
    for (const PlannedHold& hold : aPlan.holds) {
      for (PlacementEndpoint& endpoint : this->endpoints) {
        if (endpoint.info.name == hold.endpoint) {
          endpoint.info.model = hold.model;
          endpoint.info.modelVersion = hold.version;
          endpoint.info.holds = hold.holds;
        }
      }
    }
  }

  /** Plans and executes until a plan moves no endpoint. Returns the number of
   * plans before that one, or -1 if 100 plans do not suffice. */
  int planUntilStable()
  {
    for (int i = 0; i < 100; ++i) {
      const PlacementPlan next = this->plan();
      this->execute(next);
      if (next.moves == 0) {
        return i;
      }
    }
    return -1;
  }

  [[nodiscard]] std::uint32_t copies(const std::string& aModel,
                                     std::uint32_t aLayer) const
  {
    std::uint32_t count = 0;
    for (const PlacementEndpoint& endpoint : this->endpoints) {
      count += this->covers(endpoint, aModel, aLayer) ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of zones that have a copy of the layer. */
  [[nodiscard]] std::size_t zoneCount(const std::string& aModel,
                                      std::uint32_t aLayer) const
  {
    std::set<std::string> zones;
    for (const PlacementEndpoint& endpoint : this->endpoints) {
      if (this->covers(endpoint, aModel, aLayer)) {
        zones.insert(endpoint.info.zone);
      }
    }
    return zones.size();
  }

  /** Returns the speed of all endpoints of the model together. */
  [[nodiscard]] double speedOf(const std::string& aModel) const
  {
    double speed = 0;
    for (const PlacementEndpoint& endpoint : this->endpoints) {
      speed += endpoint.info.model == aModel ? endpoint.speed : 0;
    }
    return speed;
  }

  Configuration configuration;
  std::vector<PlacementEndpoint> endpoints;
  std::map<std::string, double> demand;

private:
  [[nodiscard]] static bool covers(const PlacementEndpoint& aEndpoint,
                                   const std::string& aModel,
                                   std::uint32_t aLayer)
  {
    return aEndpoint.info.model == aModel && !aEndpoint.info.draining &&
           aEndpoint.info.holds.contains({ aLayer, aLayer + 1 });
  }
};

/** Smallest capacity of a random endpoint, in layers. */
constexpr std::uint32_t kMinCapacity = 4;

/** Forty endpoints of four capacities and speeds, and two models. */
Region
mixedRegion()
{
  Region region;
  region.addModel("msaidizi", 24, 2, 100);
  region.addModel("pairing-llm", 32, 2, 300);
  for (int i = 0; i < 40; ++i) {
    region.addEndpoint(6 + (i % 4) * 2, 1 << (i % 4));
  }
  return region;
}

RC_GTEST_PROP(PlacementPlanner,
              coversAllLayersAndBecomesStableWithAmpleMemory,
              ())
{
  Region region;
  const int models = *rc::gen::inRange(1, 5);
  std::uint32_t enginesNeeded = 0; // endpoints of kMinCapacity
  for (int i = 0; i < models; ++i) {
    const auto layers = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto copies = *rc::gen::inRange<std::uint32_t>(1, 4);
    region.addModel(
      "model-" + std::to_string(i), layers, copies, *rc::gen::inRange(0, 100));
    enginesNeeded += (layers + kMinCapacity - 1) / kMinCapacity * copies;
  }
  // Half as many again are needed: an endpoint holds only one model, and ranges
  // overlap where the capacity does not divide the number of layers.
  for (std::uint32_t i = 0; i < enginesNeeded + enginesNeeded / 2; ++i) {
    region.addEndpoint(*rc::gen::inRange(kMinCapacity, 16U),
                       *rc::gen::inRange(1, 9));
  }
  RC_ASSERT(region.planUntilStable() >= 0);
  RC_ASSERT(region.plan().shortModels.empty());
  for (const auto& [name, model] : region.configuration.models) {
    for (std::uint32_t layer = 0; layer < model.layers; ++layer) {
      RC_ASSERT(region.copies(name, layer) >= model.minCopies);
    }
  }
}

TEST(PlacementPlanner, speedFollowsDemandAndCopiesSpreadOverZones)
{
  Region region = mixedRegion();
  ASSERT_GE(region.planUntilStable(), 0);
  // Work is demand times layers: 9600 and 2400.
  const double share =
    region.speedOf("pairing-llm") /
    (region.speedOf("pairing-llm") + region.speedOf("msaidizi"));
  EXPECT_NEAR(share, 0.8, 0.05);
  for (std::uint32_t layer = 0; layer < 24; ++layer) {
    EXPECT_GE(region.zoneCount("msaidizi", layer), 2) << layer;
  }
}

TEST(PlacementPlanner, losingOneEndpointMovesFewOthers)
{
  Region region = mixedRegion();
  ASSERT_GE(region.planUntilStable(), 0);
  for (std::size_t lost = 0; lost < region.endpoints.size(); ++lost) {
    Region smaller = region;
    smaller.endpoints.erase(smaller.endpoints.begin() +
                            static_cast<std::ptrdiff_t>(lost));
    EXPECT_LE(smaller.plan().moves, 2) << lost;
    EXPECT_TRUE(smaller.plan().shortModels.empty()) << lost;
  }
}

TEST(PlacementPlanner, smallDemandChangesMoveNothing)
{
  Region region = mixedRegion();
  ASSERT_GE(region.planUntilStable(), 0);
  region.demand["msaidizi"] *= 1.1;
  EXPECT_EQ(region.plan().moves, 0);
  region.demand["msaidizi"] *= 0.8;
  EXPECT_EQ(region.plan().moves, 0);
}

TEST(PlacementPlanner, aDemandSurgeMovesAFewEndpointsPerPlan)
{
  Region region = mixedRegion();
  ASSERT_GE(region.planUntilStable(), 0);
  const double before = region.speedOf("msaidizi");
  region.demand["msaidizi"] *= 10;
  EXPECT_GT(region.plan().moves, 0);
  EXPECT_LE(region.plan().moves, PlacementPolicy{}.maxBalanceMoves);
  ASSERT_GE(region.planUntilStable(), 0);
  EXPECT_GT(region.speedOf("msaidizi"), 1.5 * before);
}

TEST(PlacementPlanner, aDrainingEndpointIsNotCounted)
{
  Region region = mixedRegion();
  ASSERT_GE(region.planUntilStable(), 0);
  for (std::size_t i = 0; i < 10; ++i) {
    region.endpoints[i].info.draining = true;
  }
  ASSERT_GE(region.planUntilStable(), 0);
  for (std::uint32_t layer = 0; layer < 32; ++layer) {
    EXPECT_GE(region.copies("pairing-llm", layer), 2) << layer;
  }
}

TEST(PlacementPlanner, aNewVersionKeepsAllRanges)
{
  Region region = mixedRegion();
  ASSERT_GE(region.planUntilStable(), 0);
  region.configuration.models["msaidizi"].version = "v2";
  const PlacementPlan plan = region.plan();
  EXPECT_EQ(plan.moves, 0);
  for (const PlannedHold& hold : plan.holds) {
    EXPECT_EQ(hold.version, hold.model == "msaidizi" ? "v2" : "v1");
  }
}

TEST(PlacementPlanner, aModelThatDoesNotFitIsReported)
{
  Region region;
  region.addModel("large", 40, 2, 1);
  for (int i = 0; i < 7; ++i) {
    region.addEndpoint(10, 1);
  }
  region.planUntilStable();
  EXPECT_EQ(region.plan().shortModels, std::vector<std::string>{ "large" });
}

} // namespace
} // namespace poplartrack
