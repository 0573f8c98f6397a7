#include "poplartrack/retry/RetryBudget.h"

#include <random>

#include <gtest/gtest.h>
// RapidCheck's macros need GoogleTest's first.
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

RC_GTEST_PROP(RetryBudget, retriesNeverExceedTheBound, (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  RetryBudgetPolicy policy;
  policy.ratio = 0.01 * static_cast<double>(random() % 50);
  policy.perSecond = static_cast<double>(random() % 4);
  policy.reserve = static_cast<double>(random() % 20);
  RetryBudget budget(policy);
  const TimePoint start{ std::chrono::hours{ 1 } };
  TimePoint now = start;
  double requests = 0;
  double retries = 0;
  for (int i = 0; i < 2000; ++i) {
    now += Duration{ static_cast<std::int64_t>(random() % 20'000) };
    if (random() % 3 == 0) {
      budget.onRequest(now);
      requests += 1;
    } else {
      retries += budget.tryRetry(now) ? 1 : 0;
    }
    const double seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(retries <= policy.ratio * requests + policy.perSecond * seconds +
                           std::max(policy.perSecond, policy.reserve) + 1e-6);
  }
}

TEST(RetryBudget, anEntryWithFewRequestsMayStillRetry)
{
  RetryBudgetPolicy policy;
  policy.reserve = 0;
  RetryBudget budget(policy);
  EXPECT_TRUE(budget.tryRetry(TimePoint{ std::chrono::hours{ 1 } }));
  EXPECT_FALSE(budget.tryRetry(TimePoint{ std::chrono::hours{ 1 } }));
  EXPECT_TRUE(budget.tryRetry(TimePoint{ std::chrono::hours{ 2 } }));
}

TEST(RetryBudget, theReserveCoversOneLostStageOnce)
{
  // An entry with few requests has ten in flight through one stage when it
  // crashes. All ten are retried. If the stage continues to fail, the same
  // number of retries is not available again at once.
  RetryBudget budget(RetryBudgetPolicy{});
  const TimePoint now{ std::chrono::hours{ 1 } };
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(budget.tryRetry(now));
  }
  int more = 0;
  while (budget.tryRetry(now)) {
    ++more;
  }
  EXPECT_LE(more, 6);
}

TEST(RetryBudget, earnedRetriesDecayWithTheWindow)
{
  RetryBudgetPolicy policy;
  policy.ratio = 0.15;
  policy.window = std::chrono::seconds{ 10 };
  policy.reserve = 0;
  RetryBudget budget(policy);
  TimePoint now{ std::chrono::hours{ 1 } };
  for (int i = 0; i < 10'000; ++i) {
    now += std::chrono::milliseconds{ 10 };
    budget.onRequest(now);
  }
  EXPECT_LT(budget.balance(), 160);
  now += std::chrono::minutes{ 2 };
  EXPECT_FALSE(budget.tryRetry(now) && budget.tryRetry(now));
}

} // namespace
} // namespace poplartrack
