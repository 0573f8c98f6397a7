#include "poplartrack/retry/RetryBudgets.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

SharedRetryPolicy
policy()
{
  SharedRetryPolicy policy;
  policy.ratio = 0.2;
  policy.slack = 0;
  return policy;
}

TEST(RetryBudgets, RequestsForOneServiceEarnNoRetriesAtAnother)
{
  // Guards against a budget that is shared by services: replicas of the engines
  // fail while a plain service has a thousand calls. Counted together, they
  // allowed 170 retries at the engines, which had fifty requests.
  RetryBudgets budgets{ policy() };
  for (int i = 0; i < 1'000; ++i) {
    budgets.of("plain").onRequest(kStart);
  }
  for (int i = 0; i < 50; ++i) {
    budgets.of("engines").onRequest(kStart);
  }
  const TimePoint later = kStart + std::chrono::seconds{ 2 };
  int retries = 0;
  while (budgets.of("engines").tryRetry(RetryPriority::Started, later)) {
    ++retries;
  }
  EXPECT_GT(retries, 0);
  EXPECT_LE(retries, 10);
  EXPECT_TRUE(budgets.of("plain").tryRetry(RetryPriority::Started, later));
}

TEST(RetryBudgets, RetriesOfAnIncarnationStillCountAfterARestart)
{
  // A relay uses up the budget and is restarted. The new process starts with
  // zero counts; reported under the same name, they would free the budget
  // again.
  SharedRetryPolicy slack = policy();
  slack.slack = 100;
  RetryBudgets budgets{ slack };
  budgets.setRelays(2);
  SharedRetryBudget& budget = budgets.of("engines");
  budget.onPeer("10.0.0.1:1/7", RetryCounts{ 0, 100 }, kStart);
  budget.onPeer("10.0.0.1:1/8", RetryCounts{ 0, 0 }, kStart);
  EXPECT_FALSE(budget.mayRetry(RetryPriority::Started, kStart));
}

} // namespace
} // namespace poplartrack
