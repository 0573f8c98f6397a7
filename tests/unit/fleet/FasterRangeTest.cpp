#include "../../../src/fleet/FasterRange.h"

#include <algorithm>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

/** Returns the step factors of 20 layers: slow in [aFrom, aTo), fast elsewhere.
 */
std::vector<double>
slowBetween(std::uint32_t aFrom, std::uint32_t aTo)
{
  std::vector<double> stepFactors(20, 2);
  std::fill(stepFactors.begin() + aFrom, stepFactors.begin() + aTo, 16);
  return stepFactors;
}

TEST(FasterRange, TakesExactlyTheLayersThatOnlySlowerReplicasHold)
{
  const auto range = fasterRange(slowBetween(7, 13), 2, 10);
  EXPECT_EQ(range, (LayerRange{ 7, 13 }));
}

TEST(FasterRange, TakesAsManyLayersAsItMayHold)
{
  const auto range = fasterRange(slowBetween(7, 20), 2, 10);
  ASSERT_TRUE(range);
  EXPECT_EQ(range->size(), 10U);
}

// Guards against loading weights that make no layer faster.
TEST(FasterRange, NothingWhereNoReplicaIsSlower)
{
  EXPECT_FALSE(fasterRange(slowBetween(7, 13), 16, 10));
  EXPECT_FALSE(fasterRange(slowBetween(0, 0), 2, 10));
}

RC_GTEST_PROP(FasterRange,
              FitsAndBeginsAndEndsOnFasterLayers,
              (std::uint8_t aCode))
{
  const auto stepFactors = *rc::gen::container<std::vector<double>>(
    20, rc::gen::element(2.0, 5.0, 16.0));
  const std::uint32_t maxLayers = aCode % 24U;
  const auto range = fasterRange(stepFactors, 5, maxLayers);
  if (!range) {
    RC_ASSERT(maxLayers == 0U ||
              *std::max_element(stepFactors.begin(), stepFactors.end()) <= 5);
    return;
  }
  RC_ASSERT(range->to <= 20U);
  RC_ASSERT(range->size() <= maxLayers);
  RC_ASSERT(stepFactors[range->from] > 5);
  RC_ASSERT(stepFactors[range->to - 1] > 5);
}

} // namespace
} // namespace poplartrack
