#include "poplartrack/admit/FairShare.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

/** Returns what an account gets. */
double
grantOf(const FairShare& aShare, const ShareClaim& aClaim)
{
  return std::min(aClaim.demand, aShare.of(aClaim));
}

TEST(FairShare, WhatOneAccountLeavesGoesToTheOthersByWeight)
{
  // Guards against capacity that stays unused because one account asks for
  // less than an even part.
  const FairShare share =
    divideCapacity(100, { { 1, 10 }, { 1, 90 }, { 2, 90 } });
  EXPECT_DOUBLE_EQ(share.level, 30);
  EXPECT_DOUBLE_EQ(share.of({ 2, 90 }), 60);
}

TEST(FairShare, EnoughCapacityBoundsNoAccount)
{
  EXPECT_TRUE(std::isinf(divideCapacity(100, { { 1, 60 }, { 1, 40 } }).level));
  EXPECT_TRUE(std::isinf(divideCapacity(0, {}).level));
  EXPECT_DOUBLE_EQ(divideCapacity(0, { { 1, 5 } }).level, 0);
}

TEST(FairShare, UnusableWeightsCountAsOne)
{
  // Guards against a weight that takes all capacity, or makes every share
  // something that is not a number.
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinite = std::numeric_limits<double>::infinity();
  for (const double weight : { 0.0, -3.0, nan, infinite }) {
    EXPECT_DOUBLE_EQ(usableWeight(weight), 1);
    const FairShare share =
      divideCapacity(100, { { weight, 500 }, { 1, 500 } });
    EXPECT_DOUBLE_EQ(share.of({ weight, 500 }), 50);
  }
  EXPECT_DOUBLE_EQ(usableWeight(1e300), 1'000);
  for (const double demand : { nan, infinite, -1.0 }) {
    EXPECT_DOUBLE_EQ(divideCapacity(10, { { 1, demand }, { 1, 20 } }).level,
                     10);
  }
}

TEST(FairShare, AMultipliedDemandTakesLittleFromTheOthers)
{
  // Guards against an account that gains by asking for a hundred times as much.
  std::vector<ShareClaim> claims(23, ShareClaim{ 1, 100 });
  claims.push_back({ 1, 10'000 });
  const FairShare share = divideCapacity(2'400, claims);
  EXPECT_GE(grantOf(share, { 1, 100 }), 97);
}

TEST(FairShare, ALargeAccountKeepsAQuarterOfTheMeanServedFraction)
{
  // Guards against an account that is served a sliver of its demand because
  // all others are small.
  std::vector<ShareClaim> claims(40, ShareClaim{ 1, 100 });
  claims.push_back({ 1, 500 });
  const FairShare share = divideCapacity(4'090, claims);
  EXPECT_GE(grantOf(share, { 1, 500 }) / 500, 0.24);
  EXPECT_GE(grantOf(share, { 1, 100 }), 97);
}

RC_GTEST_PROP(FairShare, TheCapacityIsUsedUpAndNotExceeded, ())
{
  const auto demands = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5'000)));
  std::vector<ShareClaim> claims;
  double total = 0;
  for (const int demand : demands) {
    claims.push_back({ 1.0 + demand % 4, static_cast<double>(demand) });
    total += demand;
  }
  const double capacity = *rc::gen::inRange(0, 100'000);
  const FairShare share = divideCapacity(capacity, claims);
  double granted = 0;
  for (const ShareClaim& claim : claims) {
    granted += grantOf(share, claim);
  }
  const double expected = std::min(capacity, total);
  // Less would leave capacity unused, and the capacity counts what is in use:
  // it would fall with each request that ends. Raised shares may pass a lowered
  // level by a part of what they cost.
  RC_ASSERT(granted <= expected * 1.02 + 1e-6);
  RC_ASSERT(granted >= expected - 1e-6);
}

} // namespace
} // namespace poplartrack
