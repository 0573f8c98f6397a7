#include "../../../src/fleet/ZoneThroughput.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;

/** Returns a profile whose links carry aRate mean requests per second. */
EngineProfile
profileWithLinks(double aRate)
{
  EngineProfile profile = smallProfile();
  const double bytes = (profile.meanPromptTokens + profile.meanAnswerTokens) *
                       profile.activationBytes;
  profile.linkMbps = aRate * bytes * 8 / 1e6;
  return profile;
}

TEST(ZoneThroughput, AWholeCopyCarriesItsRateWithoutLinks)
{
  const ZoneHolding whole{ { { 0, 20 } }, 7 };
  EXPECT_NEAR(zoneThroughput(profileWithLinks(0.001), { whole }), 7, 1e-6);
  EXPECT_NEAR(
    zoneThroughput(profileWithLinks(0.001), { whole, whole }), 14, 1e-6);
}

TEST(ZoneThroughput, ZeroIfNoZoneHoldsALayer)
{
  const ZoneHolding front{ { { 0, 12 } }, 7 };
  const ZoneHolding back{ { { 13, 20 } }, 7 };
  EXPECT_EQ(zoneThroughput(profileWithLinks(100), { front, back }), 0);
  EXPECT_EQ(zoneThroughput(profileWithLinks(100), {}), 0);
}

TEST(ZoneThroughput, TheLinkBoundsTwoZonesThatShareTheLayers)
{
  const ZoneHolding front{ { { 0, 12 } }, 7 };
  const ZoneHolding back{ { { 10, 20 } }, 7 };
  EXPECT_NEAR(zoneThroughput(profileWithLinks(3), { front, back }), 3, 1e-6);
  EXPECT_NEAR(zoneThroughput(profileWithLinks(300), { front, back }), 7, 1e-6);
}

TEST(ZoneThroughput, ZonesThatLeaveOutDifferentRangesUseAllLinks)
{
  // Three zones each lack a different fifth of the layers. Any two of them
  // serve a request with one crossing, so all three links are used. With the
  // first layers in one zone and the last ones in the other two, only two links
  // would be.
  const ZoneHolding first{ { { 4, 20 } }, 100 };
  const ZoneHolding middle{ { { 0, 8 }, { 12, 20 } }, 100 };
  const ZoneHolding last{ { { 0, 16 } }, 100 };
  EXPECT_NEAR(
    zoneThroughput(profileWithLinks(3), { first, middle, last }), 9, 0.6);
}

TEST(ZoneThroughput, LinksAreFastIfAPromptTakesThemOnlyBriefly)
{
  // A token waits behind a prompt for the time that the prompt takes up the
  // link: 33 ms at the first rate. The second gives 200 ms, which is close to
  // the longest pause that callers accept.
  EXPECT_TRUE(hasFastLinks(profileWithLinks(30)));
  EXPECT_FALSE(hasFastLinks(profileWithLinks(5)));
  EXPECT_NEAR(linkRequestRate(profileWithLinks(5)), 5, 1e-9);
  EngineProfile unbounded = smallProfile();
  unbounded.linkMbps = 0;
  EXPECT_TRUE(hasFastLinks(unbounded));
}

RC_GTEST_PROP(ZoneThroughput,
              NeverExceedsTheRateOfTheZonesThatHoldALayer,
              (const std::vector<std::uint8_t>& aCodes))
{
  const EngineProfile profile = profileWithLinks(5);
  std::vector<ZoneHolding> zones;
  for (const std::uint8_t code : aCodes) {
    const std::uint32_t from = code % 16;
    const std::uint32_t size = 1 + code / 16;
    zones.push_back(ZoneHolding{
      { { from, std::min<std::uint32_t>(from + size, 20) } }, 1.0 + code % 7 });
  }
  const double throughput = zoneThroughput(profile, zones);
  for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
    double rate = 0;
    for (const ZoneHolding& zone : zones) {
      rate += zone.ranges[0].contains({ layer, layer + 1 }) ? zone.rate : 0;
    }
    RC_ASSERT(throughput <= rate * 1.001);
  }
}

} // namespace
} // namespace poplartrack
