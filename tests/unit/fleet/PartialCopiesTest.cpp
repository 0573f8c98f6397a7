#include "../../../src/fleet/PartialCopies.h"

#include <set>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "FleetSamples.h"
#include "poplartrack/fleet/PathFinder.h"

namespace poplartrack {
namespace {

using namespace fleettest;

/** Returns the replicas of all zones with their assigned layers. */
std::vector<Replica>
assignedReplicas(const PartialCopies& aCopies, const std::string& aKind)
{
  std::vector<Replica> replicas;
  for (std::size_t zone = 0; zone < aCopies.layers.size(); ++zone) {
    for (const LayerRange& range : aCopies.layers[zone]) {
      const std::string name = "z" + std::to_string(zone);
      Replica replica =
        replicaOf(name + "-" + std::to_string(replicas.size()), name, aKind);
      if (range.size() > 0) {
        replica.layers = range;
      }
      replicas.push_back(replica);
    }
  }
  return replicas;
}

/** Returns the path that a request of mean length gets in a zone. */
Result<LayerPath>
pathFrom(const EngineProfile& aProfile,
         const std::vector<Replica>& aReplicas,
         const std::string& aZone)
{
  std::vector<PathCandidate> candidates;
  candidates.reserve(aReplicas.size());
  for (const Replica& replica : aReplicas) {
    candidates.push_back(PathCandidate{ &replica, {}, 1 });
  }
  PathDemand demand;
  demand.promptTokens = aProfile.meanPromptTokens;
  demand.answerTokens = aProfile.meanAnswerTokens;
  demand.zone = aZone;
  return findPath(aProfile, candidates, demand);
}

TEST(PartialCopies, ARequestCrossesOnceWhereNoZoneHoldsAWholeCopy)
{
  // Five zones of two replicas that hold nine of twenty layers each. With one
  // copy spread over all zones, requests would cross at every replica. Links
  // that take 200 ms for a prompt would then be full at a third of the load,
  // and the other requests would be refused although memory is free.
  EngineProfile profile = smallProfile();
  profile.kinds["slow"].memoryMb = 950;
  profile.linkMbps = 640;
  const std::vector<const AcceleratorKind*> zone(2, &profile.kinds["slow"]);
  const PartialCopies copies = planPartialCopies(
    profile, std::vector<std::vector<const AcceleratorKind*>>(5, zone));
  ASSERT_GT(copies.rate, 0);
  const auto replicas = assignedReplicas(copies, "slow");
  const auto path = pathFrom(profile, replicas, "z0");
  ASSERT_TRUE(path);
  EXPECT_TRUE(isValidPath(path.value(), replicas, profile.layers));
  EXPECT_EQ(path.value().crossings.size(), 1U);
}

TEST(PartialCopies, AZoneThatJustHoldsACopyKeepsItIfLinksAreSlow)
{
  // A zone with memory for all layers and two requests serves these without a
  // link. The other two zones share another copy.
  EngineProfile profile = smallProfile();
  profile.kinds["slow"].memoryMb = 1'250;
  profile.linkMbps = 640;
  const AcceleratorKind* slow = &profile.kinds["slow"];
  const PartialCopies copies =
    planPartialCopies(profile, { { slow, slow }, { slow }, { slow } });
  ASSERT_EQ(copies.layers.size(), 3U);
  EXPECT_EQ(copies.layers[0][0].size() + copies.layers[0][1].size(), 20U);
  const auto replicas = assignedReplicas(copies, "slow");
  const auto path = pathFrom(profile, replicas, "z0");
  ASSERT_TRUE(path);
  EXPECT_TRUE(path.value().crossings.empty());
}

TEST(PartialCopies, RateIsZeroIfAllZonesTogetherCannotHoldTheModel)
{
  EngineProfile profile = smallProfile();
  profile.kinds["slow"].memoryMb = 450;
  const AcceleratorKind* slow = &profile.kinds["slow"];
  EXPECT_EQ(planPartialCopies(profile, { { slow, slow }, { slow } }).rate, 0);
}

RC_GTEST_PROP(PartialCopies,
              AssignedLayersFitAndCoverTheModel,
              (const std::vector<std::uint8_t>& aZones, std::uint8_t aLinks))
{
  // Fleets of one to eight zones with up to four replicas of two kinds each,
  // and links of 500 Mbit/s or more.
  constexpr std::size_t kMaxZones = 8;
  EngineProfile profile = smallProfile();
  profile.linkMbps = 500.0 * (1 + aLinks % 16);
  std::vector<std::vector<const AcceleratorKind*>> zones;
  for (const std::uint8_t code : aZones) {
    std::vector<const AcceleratorKind*> kinds;
    for (int i = 0; i < 1 + code % 4; ++i) {
      const bool fast = (code >> (2 + i)) % 2 != 0;
      kinds.push_back(&profile.kinds[fast ? "fast" : "slow"]);
    }
    std::sort(
      kinds.begin(), kinds.end(), [](const auto* aOne, const auto* aTwo) {
        return aOne->stepFactor < aTwo->stepFactor;
      });
    zones.push_back(kinds);
    if (zones.size() == kMaxZones) {
      break;
    }
  }
  RC_PRE(!zones.empty());
  const PartialCopies copies = planPartialCopies(profile, zones);
  RC_PRE(copies.rate > 0);
  std::set<std::uint32_t> held;
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    RC_ASSERT(copies.layers[zone].size() == zones[zone].size());
    for (std::size_t i = 0; i < zones[zone].size(); ++i) {
      const LayerRange range = copies.layers[zone][i];
      RC_ASSERT(range.to <= profile.layers);
      RC_ASSERT(range.size() * profile.layerMb <= zones[zone][i]->memoryMb);
      for (std::uint32_t layer = range.from; layer < range.to; ++layer) {
        held.insert(layer);
      }
    }
  }
  RC_ASSERT(held.size() == profile.layers);
}

} // namespace
} // namespace poplartrack
