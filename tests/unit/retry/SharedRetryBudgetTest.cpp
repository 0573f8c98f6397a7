#include "poplartrack/retry/SharedRetryBudget.h"

#include <deque>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>
// RapidCheck's macros need GoogleTest's first.
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

SharedRetryPolicy
policy()
{
  SharedRetryPolicy policy;
  policy.ratio = 0.2;
  policy.slack = 230;
  return policy;
}

int
retriesNow(SharedRetryBudget& aBudget, TimePoint aNow)
{
  int count = 0;
  while (aBudget.tryRetry(RetryPriority::Started, aNow)) {
    ++count;
  }
  return count;
}

TEST(SharedRetryBudgetTest, ARelayWithMoreRequestsGetsMoreRetries)
{
  // Two replicas crash. Most streams that ran through them belong to one relay;
  // the other 22 have few. It must not cut streams while the common budget
  // still allows retries.
  SharedRetryBudget budget{ policy() };
  budget.setRelays(23);
  for (int i = 0; i < 400; ++i) {
    budget.onRequest(kStart);
  }
  const TimePoint loss = kStart + std::chrono::seconds{ 2 };
  for (int peer = 0; peer < 22; ++peer) {
    budget.onPeer(std::to_string(peer), RetryCounts{ 20, 0 }, loss);
  }
  // An even division of the slack gives each relay ten.
  EXPECT_GE(retriesNow(budget, loss), 120);
}

// Guards against streams that are cut because a release and full replicas have
// used up the budget.
TEST(SharedRetryBudgetTest, PartOfTheBudgetIsReservedForStartedStreams)
{
  SharedRetryBudget budget{ policy() };
  budget.setRelays(1);
  for (int i = 0; i < 400; ++i) {
    budget.onRequest(kStart);
  }
  const auto spend = [&](RetryPriority aPriority) {
    int count = 0;
    while (budget.tryRetry(aPriority, kStart + std::chrono::seconds{ 2 })) {
      ++count;
    }
    return count;
  };
  const int planned = spend(RetryPriority::Planned);
  const int fresh = spend(RetryPriority::Unanswered);
  const int started = spend(RetryPriority::Started);
  EXPECT_GT(planned, 0);
  EXPECT_GT(fresh, 0);
  EXPECT_GE(started, (planned + fresh + started) / 4);
  EXPECT_LE(planned + fresh + started, 0.2 * 400 + 230);
}

TEST(SharedRetryBudgetTest, RetriesOfOtherRelaysUseUpTheBudget)
{
  SharedRetryBudget budget{ policy() };
  budget.setRelays(2);
  budget.onRequest(kStart);
  budget.onPeer("other", RetryCounts{ 10, 300 }, kStart);
  EXPECT_FALSE(budget.mayRetry(RetryPriority::Started, kStart));
  // Allowed again after the window has passed.
  EXPECT_TRUE(budget.mayRetry(RetryPriority::Started,
                              kStart + std::chrono::seconds{ 11 }));
}

TEST(SharedRetryBudgetTest, AnIsolatedRelayUsesOnlyItsOwnSlack)
{
  SharedRetryBudget budget{ policy() };
  budget.setRelays(23);
  EXPECT_LE(retriesNow(budget, kStart), 10);
}

RC_GTEST_PROP(SharedRetryBudget,
              allRelaysTogetherKeepTheBound,
              (std::uint64_t aSeed))
{
  // Relays with unequal load retry as much as they may, in bursts that hit all
  // of them at the same moment. Their status messages are sent every 200 ms,
  // and some are lost.
  std::mt19937_64 random(aSeed);
  const std::size_t relays = 2 + random() % 8;
  std::vector<SharedRetryBudget> budgets(relays, SharedRetryBudget{ policy() });
  for (SharedRetryBudget& budget : budgets) {
    budget.setRelays(relays);
  }
  struct Moment
  {
    TimePoint at;
    int requests;
    int retries;
  };
  std::deque<Moment> window;
  TimePoint now = kStart;
  for (int step = 0; step < 200; ++step) {
    Moment moment{ now, 0, 0 };
    const bool burst = random() % 10 == 0;
    for (std::size_t i = 0; i < relays; ++i) {
      const auto requests = static_cast<int>(random() % (4 * (i + 1)));
      for (int k = 0; k < requests; ++k) {
        budgets[i].onRequest(now);
      }
      moment.requests += requests;
      const int wanted = burst ? 100 : static_cast<int>(random() % 3);
      for (int k = 0; k < wanted; ++k) {
        moment.retries +=
          budgets[i].tryRetry(RetryPriority::Started, now) ? 1 : 0;
      }
    }
    for (std::size_t i = 0; i < relays; ++i) {
      for (std::size_t k = 0; k < relays; ++k) {
        if (i != k && random() % 20 != 0) {
          budgets[k].onPeer(std::to_string(i), budgets[i].own(now), now);
        }
      }
    }
    window.push_back(moment);
    while (now - window.front().at >= std::chrono::seconds{ 10 }) {
      window.pop_front();
    }
    double requests = 0;
    double retries = 0;
    for (const Moment& one : window) {
      requests += one.requests;
      retries += one.retries;
    }
    RC_ASSERT(retries <= 0.2 * requests + 230);
    now += milliseconds{ 200 };
  }
}

} // namespace
} // namespace poplartrack
