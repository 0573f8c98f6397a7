#include "poplartrack/fleet/LinkBudget.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

const ZonePair kLink = zonePair("b", "a");
const ZonePair kOther = zonePair("a", "c");
constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr double kShare = 1e6;

TEST(LinkBudgetTest, APipeIsClosedUntilWhatWasSentIsPaidFor)
{
  LinkBudget budget;
  budget.setRate(kShare);
  EXPECT_TRUE(budget.closedLinks(kStart).empty());
  // Twice the share of a second, less what stood ready for 200 ms of it.
  budget.take(kLink, 2 * kShare, kStart);
  EXPECT_TRUE(budget.closedLinks(kStart).contains(zonePair("a", "b")));
  EXPECT_TRUE(
    budget.closedLinks(kStart + milliseconds{ 1'790 }).contains(kLink));
  EXPECT_TRUE(budget.closedLinks(kStart + milliseconds{ 1'810 }).empty());
}

TEST(LinkBudgetTest, EachPipeHasABucketOfItsOwn)
{
  LinkBudget budget;
  budget.setRate(kShare);
  budget.take(kLink, 2 * kShare, kStart);
  EXPECT_FALSE(budget.closedLinks(kStart).contains(kOther));
}

TEST(LinkBudgetTest, ManyStreamsAtOnceCannotHoldThePipeForLong)
{
  // A zone loses a layer under seventy streams. Each asks for a path through
  // another zone in the same instant; all of them would hold the pipe for
  // seconds. No more may start than are paid for within a second.
  LinkBudget budget;
  budget.setRate(kShare);
  constexpr double kPrompt = kShare / 4;
  TimePoint now = kStart;
  int sent = 0;
  for (int round = 0; round < 10; ++round) {
    for (int stream = 0; stream < 70; ++stream) {
      if (!budget.closedLinks(now).contains(kLink)) {
        budget.take(kLink, kPrompt, now);
        ++sent;
      }
    }
    now += milliseconds{ 100 };
  }
  EXPECT_GE(sent, 3);
  EXPECT_LE(sent * kPrompt, 1.5 * kShare);
}

TEST(LinkBudgetTest, WhatAnotherRelaySentIsBookedOnceAndFromItsFirstWordOn)
{
  // Two relays send across one pipe. A word may be lost or come twice; each
  // tells the total since the start, so the next one brings what was missed.
  LinkBudget budget;
  budget.setRate(kShare);
  const auto total = [](double aSeconds) {
    return LinkTotals{ { kLink,
                         static_cast<std::uint64_t>(aSeconds * kShare) } };
  };
  budget.onPeer("other", total(100), kStart);
  EXPECT_TRUE(budget.closedLinks(kStart).empty());
  budget.onPeer("other", total(102), kStart);
  budget.onPeer("other", total(102), kStart);
  EXPECT_TRUE(
    budget.closedLinks(kStart + milliseconds{ 1'790 }).contains(kLink));
  EXPECT_TRUE(budget.closedLinks(kStart + milliseconds{ 1'810 }).empty());
  EXPECT_TRUE(budget.own().empty());
}

TEST(LinkBudgetTest, TellsHowLongAPipeIsBusy)
{
  LinkBudget budget;
  budget.setRate(kShare);
  EXPECT_TRUE(budget.linkWaits(kStart).empty());
  budget.take(kLink, kShare / 10, kStart);
  EXPECT_EQ(budget.linkWaits(kStart).at(kLink), milliseconds{ 100 });
  EXPECT_EQ(budget.linkWaits(kStart + milliseconds{ 60 }).at(kLink),
            milliseconds{ 40 });
  EXPECT_EQ(budget.own().at(kLink), 100'000U);
}

} // namespace
} // namespace poplartrack
