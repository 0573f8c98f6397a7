#include "poplartrack/fleet/LinkBudget.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

const ZonePair kLink = zonePair("b", "a");
const ZonePair kOtherLink = zonePair("a", "c");
constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr double kRate = 1e6;

TEST(LinkBudgetTest, ALinkIsClosedUntilItsDebtIsPaid)
{
  LinkBudget budget;
  budget.setRate(kRate);
  EXPECT_TRUE(budget.closedLinks(kStart).empty());
  // The bytes of two seconds, of which the burst covers 200 ms.
  budget.take(kLink, 2 * kRate, kStart);
  EXPECT_TRUE(budget.closedLinks(kStart).contains(zonePair("a", "b")));
  EXPECT_TRUE(
    budget.closedLinks(kStart + milliseconds{ 1'790 }).contains(kLink));
  EXPECT_TRUE(budget.closedLinks(kStart + milliseconds{ 1'810 }).empty());
}

TEST(LinkBudgetTest, EachLinkHasItsOwnBucket)
{
  LinkBudget budget;
  budget.setRate(kRate);
  budget.take(kLink, 2 * kRate, kStart);
  EXPECT_FALSE(budget.closedLinks(kStart).contains(kOtherLink));
}

TEST(LinkBudgetTest, ManyStreamsAtOnceCannotOccupyALinkForLong)
{
  // A zone loses a layer, and each of its seventy streams asks for a path
  // through another zone at once. All of them together would occupy the link
  // for seconds. No more of them may start than the link carries in about a
  // second.
  LinkBudget budget;
  budget.setRate(kRate);
  constexpr double kPrompt = kRate / 4;
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
  EXPECT_LE(sent * kPrompt, 1.5 * kRate);
}

TEST(LinkBudgetTest, ChargesWhatAPeerSentOnceAndAfterItsFirstReport)
{
  // Two relays send over one link. A status message may be lost or arrive
  // twice. Each carries the total since the start, so the next one includes
  // what was missed.
  LinkBudget budget;
  budget.setRate(kRate);
  const auto total = [](double aSeconds) {
    return LinkTotals{ { kLink,
                         static_cast<std::uint64_t>(aSeconds * kRate) } };
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

TEST(LinkBudgetTest, ReturnsHowLongALinkIsBusy)
{
  LinkBudget budget;
  budget.setRate(kRate);
  EXPECT_TRUE(budget.linkWaits(kStart).empty());
  budget.take(kLink, kRate / 10, kStart);
  EXPECT_EQ(budget.linkWaits(kStart).at(kLink), milliseconds{ 100 });
  EXPECT_EQ(budget.linkWaits(kStart + milliseconds{ 60 }).at(kLink),
            milliseconds{ 40 });
  EXPECT_EQ(budget.own().at(kLink), 100'000U);
}

} // namespace
} // namespace poplartrack
