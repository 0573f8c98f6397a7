#include "poplartrack/retry/RetryBudget.h"

#include <iterator>
#include <random>
#include <set>

#include <gtest/gtest.h>
// RapidCheck's macros need GoogleTest's first.
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

/** Checks the bound on retries, of which some are booked if aBooks. */
void
checkBound(std::uint64_t aSeed, bool aBooks)
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
  std::multiset<TimePoint> booked;
  for (int i = 0; i < 2000; ++i) {
    now += Duration{ static_cast<std::int64_t>(random() % 20'000) };
    if (random() % 3 == 0) {
      budget.onRequest(now);
      requests += 1;
    } else if (!aBooks || random() % 2 == 0) {
      if (budget.tryRetry(now)) {
        booked.insert(now);
      }
    } else if (const auto when =
                 budget.bookRetry(now, now + std::chrono::seconds{ 5 })) {
      RC_ASSERT(*when >= now && *when <= now + std::chrono::seconds{ 5 });
      booked.insert(*when);
    }
    const auto retries = static_cast<double>(
      std::distance(booked.begin(), booked.upper_bound(now)));
    const double seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(retries <= policy.ratio * requests + policy.perSecond * seconds +
                           std::max(policy.perSecond, policy.reserve) + 1e-6);
  }
}

RC_GTEST_PROP(RetryBudget, retriesNeverExceedTheBound, (std::uint64_t aSeed))
{
  checkBound(aSeed, false);
}

RC_GTEST_PROP(RetryBudget,
              bookedRetriesNeverExceedTheBound,
              (std::uint64_t aSeed))
{
  checkBound(aSeed, true);
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

TEST(RetryBudget, aRetryWaitsForItsTurn)
{
  // Guards against streams that are cut in a second loss within seconds,
  // although their callers have time left and endpoints are free.
  RetryBudget budget(RetryBudgetPolicy{});
  const TimePoint now{ std::chrono::hours{ 1 } };
  const TimePoint latest = now + std::chrono::seconds{ 3 };
  while (budget.tryRetry(now)) {
  }
  EXPECT_EQ(budget.bookRetry(now, latest), now + std::chrono::seconds{ 1 });
  EXPECT_EQ(budget.bookRetry(now, latest), now + std::chrono::seconds{ 2 });
  EXPECT_EQ(budget.bookRetry(now, latest), latest);
  EXPECT_FALSE(budget.bookRetry(now, latest));
  // Nothing is taken from those that wait.
  EXPECT_FALSE(budget.tryRetry(latest));
  EXPECT_TRUE(budget.tryRetry(latest + std::chrono::seconds{ 1 }));
}

TEST(RetryBudget, noMoreRetriesAreBookedThanTheReserveHolds)
{
  // Guards against long streams that book all retries of the next minutes, so
  // that a request whose deadline is near finds none.
  const RetryBudgetPolicy policy;
  RetryBudget budget(policy);
  const TimePoint now{ std::chrono::hours{ 1 } };
  while (budget.tryRetry(now)) {
  }
  int booked = 0;
  while (budget.bookRetry(now, now + std::chrono::hours{ 1 })) {
    ++booked;
  }
  EXPECT_EQ(booked, static_cast<int>(policy.reserve));
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
