#include <random>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "FleetSamples.h"
#include "poplartrack/fleet/PathFinder.h"

namespace poplartrack {
namespace {

using namespace fleettest;

/** Requests against replicas of one zone, on paths by remaining capacity. */
struct SpreadZone
{
  EngineProfile profile = smallProfile();
  std::vector<Replica> replicas;
  LoadTracker loads;

  SpreadZone()
  {
    // Then the number of requests has no influence on the time.
    this->profile.perRequestMs = 0;
    this->profile.kinds["slow"].memoryMb = 11'000;
    this->profile.kinds["fast"].memoryMb = 11'000;
  }
  void add(const std::string& aId, const std::string& aKind, LayerRange aLayers)
  {
    this->replicas.push_back(replicaOf(aId, "a", aKind));
    this->replicas.back().layers = aLayers;
    this->replicas.back().slots = 1'000;
  }
  [[nodiscard]] Result<LayerPath> find(double aTokens, bool aSpreads) const
  {
    std::vector<PathCandidate> candidates;
    for (const Replica& replica : this->replicas) {
      candidates.push_back({ &replica, this->loads.at(replica.id) });
    }
    PathDemand demand;
    demand.promptTokens = aTokens * 3 / 4;
    demand.answerTokens = aTokens / 4;
    demand.zone = "a";
    demand.spreads = aSpreads;
    return findPath(this->profile, candidates, demand);
  }
  [[nodiscard]] double used(std::size_t aIndex) const
  {
    const Replica& replica = this->replicas[aIndex];
    return this->loads.at(replica.id).tokenLayers /
           tokenLayerCapacity(this->profile, replica);
  }
};

// Guards against one of two equal replicas that fills up while the other is
// half empty: requests differ nine times in size.
TEST(PathSpread, EqualReplicasHaveNearlyEqualShares)
{
  SpreadZone zone;
  for (const std::uint32_t from : { 0U, 0U, 10U, 10U }) {
    const std::string id = "r" + std::to_string(zone.replicas.size());
    zone.add(id, "slow", { from, from + 10 });
  }
  std::mt19937 random{ 7 };
  std::vector<std::pair<LayerPath, double>> running;
  for (const double level : { 0.5, 0.7, 0.9 }) {
    for (int i = 0; i < 1'000; ++i) {
      while (zone.used(0) + zone.used(1) < 2 * level) {
        const double tokens = 200 * static_cast<double>(1 + random() % 9);
        const auto path = zone.find(tokens, true);
        ASSERT_TRUE(path);
        zone.loads.add(path.value(), tokens);
        running.emplace_back(path.value(), tokens);
      }
      EXPECT_NEAR(zone.used(0), zone.used(1), 0.2);
      EXPECT_NEAR(zone.used(2), zone.used(3), 0.2);
      std::swap(running[random() % running.size()], running.back());
      zone.loads.remove(running.back().first, running.back().second);
      running.pop_back();
    }
  }
}

// Guards against a slow path that is the first choice because it looks empty.
TEST(PathSpread, TheFastPathIsChosenAtLowLoad)
{
  SpreadZone zone;
  zone.add("fast", "fast", { 0, 20 });
  zone.add("slow", "slow", { 0, 20 });
  zone.profile.kinds["slow"] = AcceleratorKind{ 11'000, 2.1, 2.1 };
  while (zone.used(0) < 0.4) {
    const auto path = zone.find(1'000, true);
    ASSERT_TRUE(path);
    EXPECT_EQ(path.value().parts[0].replica, "fast");
    zone.loads.add(path.value(), 1'000);
  }
}

// Guards against answers that become longer than callers accept for the sake of
// remaining capacity.
RC_GTEST_PROP(PathSpread, AnswersBecomeAtMostATenthLonger, ())
{
  SpreadZone zone;
  zone.profile.perRequestMs = 0.05;
  for (std::uint32_t i = 0; i < 16; ++i) {
    const std::uint32_t from = i % 4 * 5;
    zone.add("r" + std::to_string(i),
             *rc::gen::element<std::string>("fast", "slow"),
             { from, from + 5 });
    LayerPath load;
    load.parts.push_back({ "r" + std::to_string(i), {}, { from, from + 1 } });
    for (int j = *rc::gen::inRange(0, 10); j > 0; --j) {
      zone.loads.add(load, 110'000);
    }
  }
  const auto plain = zone.find(1'000, false);
  const auto spread = zone.find(1'000, true);
  RC_ASSERT(plain.operator bool() == spread.operator bool());
  if (plain) {
    const auto time = [](const LayerPath& aPath) {
      return std::chrono::duration<double>(aPath.firstToken +
                                           250 * aPath.perToken)
        .count();
    };
    RC_ASSERT(time(spread.value()) <= 1.1 * time(plain.value()) + 1e-3);
  }
}

} // namespace
} // namespace poplartrack
