#include "../../../src/fleet/ZoneThroughput.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;

/** A pipe that carries this many usual requests a second. */
EngineProfile
profileWithLinks(double aRate)
{
  EngineProfile profile = smallProfile();
  const double bytes = (profile.meanPromptTokens + profile.meanAnswerTokens) *
                       profile.activationBytes;
  profile.linkMbps = aRate * bytes * 8 / 1e6;
  return profile;
}

TEST(ZoneFlow, AWholeCopyCarriesItsRateWithoutPipes)
{
  const ZoneHolding whole{ { { 0, 20 } }, 7 };
  EXPECT_NEAR(carriedRate(profileWithLinks(0.001), { whole }), 7, 1e-6);
  EXPECT_NEAR(carriedRate(profileWithLinks(0.001), { whole, whole }), 14, 1e-6);
}

TEST(ZoneFlow, NothingIsCarriedWhereALayerIsHeldNowhere)
{
  const ZoneHolding front{ { { 0, 12 } }, 7 };
  const ZoneHolding back{ { { 13, 20 } }, 7 };
  EXPECT_EQ(carriedRate(profileWithLinks(100), { front, back }), 0);
  EXPECT_EQ(carriedRate(profileWithLinks(100), {}), 0);
}

TEST(ZoneFlow, ThePipeBoundsWhatAFrontAndABackCarry)
{
  const ZoneHolding front{ { { 0, 12 } }, 7 };
  const ZoneHolding back{ { { 10, 20 } }, 7 };
  EXPECT_NEAR(carriedRate(profileWithLinks(3), { front, back }), 3, 1e-6);
  EXPECT_NEAR(carriedRate(profileWithLinks(300), { front, back }), 7, 1e-6);
}

TEST(ZoneFlow, ZonesThatLeaveOutStretchesApartUseAllPipesBetweenThem)
{
  // Three zones that each lack another fifth: any two of them serve a request
  // with one crossing, over three pipes. As a front and two backs they would
  // have two.
  const ZoneHolding first{ { { 4, 20 } }, 100 };
  const ZoneHolding middle{ { { 0, 8 }, { 12, 20 } }, 100 };
  const ZoneHolding last{ { { 0, 16 } }, 100 };
  EXPECT_NEAR(
    carriedRate(profileWithLinks(3), { first, middle, last }), 9, 0.6);
}

TEST(ZoneFlow, StreamsCrossSteadilyWherePromptsPassAPipeQuickly)
{
  // A token waits behind a prompt for the time that this takes the pipe: 33 ms
  // here, or 200 ms, which is near the longest pause that callers accept.
  EXPECT_TRUE(hasFastLinks(profileWithLinks(30)));
  EXPECT_FALSE(hasFastLinks(profileWithLinks(5)));
  EXPECT_NEAR(crossingRate(profileWithLinks(5)), 5, 1e-9);
  EngineProfile unbounded = smallProfile();
  unbounded.linkMbps = 0;
  EXPECT_TRUE(hasFastLinks(unbounded));
}

RC_GTEST_PROP(ZoneFlow,
              NeverMoreThanTheZonesThatHoldALayer,
              (const std::vector<std::uint8_t>& aDraws))
{
  const EngineProfile profile = profileWithLinks(5);
  std::vector<ZoneHolding> zones;
  for (const std::uint8_t draw : aDraws) {
    const std::uint32_t from = draw % 16;
    const std::uint32_t size = 1 + draw / 16;
    zones.push_back(ZoneHolding{
      { { from, std::min<std::uint32_t>(from + size, 20) } }, 1.0 + draw % 7 });
  }
  const double carried = carriedRate(profile, zones);
  for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
    double rate = 0;
    for (const ZoneHolding& zone : zones) {
      rate += zone.ranges[0].contains({ layer, layer + 1 }) ? zone.rate : 0;
    }
    RC_ASSERT(carried <= rate * 1.001);
  }
}

} // namespace
} // namespace poplartrack
