#include "poplartrack/route/FlowBound.h"

#include <algorithm>
#include <bit>
#include <random>

#include <gtest/gtest.h>
// RapidCheck's macros need GoogleTest's first.
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

TEST(FlowBound, theSlowestLayersLimitTheFlow)
{
  EXPECT_NEAR(
    flowBound({ { { 0, 4 }, 400, 0 }, { { 4, 8 }, 100, 0 } }, 8), 25, 1e-6);
}

TEST(FlowBound, anOverlappingEndpointHelpsWhereItIsNeeded)
{
  // Only the second endpoint holds layers 4 to 7. Running these 4 layers at 100
  // tokens per second uses all of its 400, which leaves nothing for layers 0 to
  // 3: the first endpoint runs these at 100 as well.
  EXPECT_NEAR(
    flowBound({ { { 0, 4 }, 400, 0 }, { { 0, 8 }, 400, 0 } }, 8), 100, 1e-6);
}

TEST(FlowBound, aSlowLinkLimitsTheFlowThroughAnEndpoint)
{
  EXPECT_NEAR(
    flowBound({ { { 0, 8 }, 800, 10 }, { { 0, 8 }, 80, 0 } }, 8), 20, 1e-6);
}

TEST(FlowBound, anUncoveredLayerMeansNoFlow)
{
  EXPECT_NEAR(
    flowBound({ { { 0, 3 }, 800, 0 }, { { 4, 8 }, 80, 0 } }, 8), 0, 1e-6);
}

/** Returns the exact maximum flow without link limits, by Hall's condition: for
 * each set of layers, the endpoints that hold any of them must run all of
 * them. */
double
flowByAllSets(const std::vector<FlowEndpoint>& aEndpoints,
              std::uint32_t aLayers)
{
  double least = 1e18;
  for (std::uint32_t set = 1; set < (1U << aLayers); ++set) {
    double supply = 0;
    for (const FlowEndpoint& endpoint : aEndpoints) {
      const std::uint32_t held =
        (1U << endpoint.holds.to) - (1U << endpoint.holds.from);
      supply += (held & set) != 0 ? endpoint.layerTokensPerSecond : 0;
    }
    least = std::min(least, supply / std::popcount(set));
  }
  return least;
}

RC_GTEST_PROP(FlowBound,
              agreesWithTheMinimumOverAllSetsOfLayers,
              (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  constexpr std::uint32_t kLayers = 8;
  std::vector<FlowEndpoint> endpoints;
  const auto count = 1 + random() % 12;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto from = static_cast<std::uint32_t>(random() % kLayers);
    const auto to =
      from + 1 + static_cast<std::uint32_t>(random() % (kLayers - from));
    endpoints.push_back(
      { { from, to }, static_cast<double>(1 + random() % 100), 0 });
  }
  const double wanted = flowByAllSets(endpoints, kLayers);
  const double got = flowBound(endpoints, kLayers);
  RC_ASSERT(got <= wanted * (1 + 1e-6) + 1e-9);
  RC_ASSERT(got >= wanted * (1 - 1e-6) - 1e-9);
}

} // namespace
} // namespace poplartrack
