#include "../../../src/fleet/LayerPartition.h"

#include <numeric>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;

TEST(LayerPartition, EmptyIfTheReplicasCannotHoldTheModel)
{
  const EngineProfile profile = smallProfile();
  const AcceleratorKind& slow = profile.kinds.at("slow");
  EXPECT_TRUE(partitionLayers(profile, { &slow }, 0, profile.layers).empty());
  EXPECT_EQ(copyTokenCapacity(profile, { &slow }, 1'000), 0);
}

RC_GTEST_PROP(LayerPartition,
              CountsAddUpAndLeaveMemoryForTheTokens,
              (std::uint8_t aFast, std::uint8_t aSlow))
{
  const EngineProfile profile = smallProfile();
  std::vector<const AcceleratorKind*> kinds(aFast % 4,
                                            &profile.kinds.at("fast"));
  kinds.insert(kinds.end(), aSlow % 8, &profile.kinds.at("slow"));
  const double tokens = copyTokenCapacity(profile, kinds, 4'000);
  const auto counts = partitionLayers(profile, kinds, tokens, profile.layers);
  RC_PRE(!counts.empty());
  RC_ASSERT(std::accumulate(counts.begin(), counts.end(), 0U) ==
            profile.layers);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    RC_ASSERT(counts[i] <= layerCapacity(profile, *kinds[i], tokens));
  }
}

TEST(LayerPartition, RepartitioningKeepsMostLayersInPlace)
{
  const std::vector<RepartitionMember> members{ { { 0, 5 }, 8 },
                                                { { 5, 10 }, 8 },
                                                { { 15, 20 }, 8 } };
  const auto ranges = repartitionLayers(20, members);
  ASSERT_EQ(ranges.size(), 3U);
  EXPECT_EQ(ranges.front().from, 0U);
  EXPECT_EQ(ranges.back().to, 20U);
  std::uint32_t next = 0;
  std::uint32_t kept = 0;
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    EXPECT_EQ(ranges[i].from, next);
    next = ranges[i].to;
    EXPECT_LE(ranges[i].size(), 8U);
    kept += LayerRange{ std::max(ranges[i].from, members[i].held.from),
                        std::min(ranges[i].to, members[i].held.to) }
              .size();
  }
  EXPECT_GE(kept, 13U);
}

} // namespace
} // namespace poplartrack
