#include "../../../src/fleet/FasterRange.h"

#include <algorithm>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

/** Step factors of 20 layers: slow ones from aFrom to aTo, fast ones else. */
std::vector<double>
slowBetween(std::uint32_t aFrom, std::uint32_t aTo)
{
  std::vector<double> best(20, 2);
  std::fill(best.begin() + aFrom, best.begin() + aTo, 16);
  return best;
}

TEST(FasterRange, TakesExactlyWhatOnlySlowerOnesHold)
{
  const auto range = fasterRange(slowBetween(7, 13), 2, 10);
  EXPECT_EQ(range, (LayerRange{ 7, 13 }));
}

TEST(FasterRange, TakesAsManyAsItMayHold)
{
  const auto range = fasterRange(slowBetween(7, 20), 2, 10);
  ASSERT_TRUE(range);
  EXPECT_EQ(range->size(), 10U);
}

// Guards against loads of weights that make nothing faster.
TEST(FasterRange, NothingBesideReplicasOfItsOwnPace)
{
  EXPECT_FALSE(fasterRange(slowBetween(7, 13), 16, 10));
  EXPECT_FALSE(fasterRange(slowBetween(0, 0), 2, 10));
}

RC_GTEST_PROP(FasterRange, FitsAndEndsWhereItIsFaster, (std::uint8_t aMost))
{
  const auto best = *rc::gen::container<std::vector<double>>(
    20, rc::gen::element(2.0, 5.0, 16.0));
  const std::uint32_t most = aMost % 24U;
  const auto range = fasterRange(best, 5, most);
  if (!range) {
    RC_ASSERT(most == 0U || *std::max_element(best.begin(), best.end()) <= 5);
    return;
  }
  RC_ASSERT(range->to <= 20U);
  RC_ASSERT(range->size() <= most);
  RC_ASSERT(best[range->from] > 5);
  RC_ASSERT(best[range->to - 1] > 5);
}

} // namespace
} // namespace poplartrack
