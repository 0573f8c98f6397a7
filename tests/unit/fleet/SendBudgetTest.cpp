#include "poplartrack/fleet/SendBudget.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

TEST(SendBudget, WhatWasSentDelaysTheNextMessage)
{
  SendBudget budget{ Duration{ 0 } };
  budget.setRate(1'000);
  EXPECT_TRUE(budget.mayBegin(kStart));
  budget.take(500, kStart);
  EXPECT_FALSE(budget.mayBegin(kStart + milliseconds{ 499 }));
  EXPECT_TRUE(budget.mayBegin(kStart + milliseconds{ 500 }));
}

TEST(SendBudget, APauseIsWorthNoMoreThanTheBurst)
{
  SendBudget budget{ seconds{ 1 } };
  budget.setRate(1'000);
  budget.take(900, kStart);
  EXPECT_TRUE(budget.mayBegin(kStart));
  budget.take(200, kStart);
  EXPECT_FALSE(budget.mayBegin(kStart));
  const TimePoint later = kStart + seconds{ 60 };
  budget.take(1'100, later);
  EXPECT_FALSE(budget.mayBegin(later + milliseconds{ 99 }));
  EXPECT_TRUE(budget.mayBegin(later + milliseconds{ 100 }));
}

TEST(SendBudget, ARateOfZeroIsNoBound)
{
  SendBudget budget{ Duration{ 0 } };
  budget.take(1'000'000, kStart);
  EXPECT_TRUE(budget.mayBegin(kStart));
}

} // namespace
} // namespace poplartrack
