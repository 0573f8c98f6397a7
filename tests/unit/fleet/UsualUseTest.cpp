#include "poplartrack/fleet/UsualUse.h"

#include <limits>

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 100 } };

/** Accepts ten requests a second of account 1. */
TimePoint
accept(UsualUse& aUse, double aTokens, bool aShort, TimePoint aNow, int aTime)
{
  for (int i = 0; i < 10 * aTime; ++i) {
    aUse.onAccepted(1, aTokens, aShort, aNow);
    aNow += std::chrono::milliseconds{ 100 };
  }
  return aNow;
}

TEST(UsualUse, FollowsTheLoadExceptInAShortage)
{
  // Guards against an estimate that depends on how long the relay has run, and
  // against a burst that raises the share of its own account.
  UsualUse use;
  use.onAccepted(1, 800, false, kStart);
  EXPECT_DOUBLE_EQ(use.of(1), 80) << "one request is no high rate";
  TimePoint now = accept(use, 100, false, kStart, 20);
  EXPECT_NEAR(use.of(1), 1'000, 50);
  now = accept(use, 300, false, now, 60);
  const double usual = use.of(1);
  EXPECT_NEAR(usual, 2'717, 50);
  now = accept(use, 5'000, true, now, 600);
  use.advance(false, now);
  EXPECT_DOUBLE_EQ(use.of(1), usual);
  use.advance(false, now + std::chrono::hours{ 1 });
  EXPECT_GT(use.of(1), 0.9 * usual) << "a suspension is no time without load";
}

TEST(UsualUse, AccountsWithLittleUseAreDropped)
{
  // Guards against memory that grows with the accounts.
  UsualUse use;
  const double infinite = std::numeric_limits<double>::infinity();
  for (const double tokens : { 0.0, -5.0, infinite - infinite, infinite }) {
    use.onAccepted(1, tokens, false, kStart);
  }
  use.onAccepted(1, 9'000, false, kStart);
  for (std::uint64_t account = 2; account < 10'000; ++account) {
    use.onAccepted(account, account == 2 ? 100 : 500, false, kStart);
  }
  EXPECT_EQ(use.size(), UsualUse::kMaxAccounts);
  EXPECT_DOUBLE_EQ(use.of(1), 900) << "bad input counts nothing";
  EXPECT_DOUBLE_EQ(use.of(2), 0);
  accept(use, 10, false, kStart, 900);
  EXPECT_EQ(use.size(), 1U);
}

} // namespace
} // namespace poplartrack
