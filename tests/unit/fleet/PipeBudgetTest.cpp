#include "poplartrack/fleet/PipeBudget.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

const ZonePair kPipe = zonePair("b", "a");
const ZonePair kOther = zonePair("a", "c");
constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr double kShare = 1e6;

TEST(PipeBudgetTest, APipeIsClosedUntilWhatWasSentIsPaidFor)
{
  PipeBudget budget;
  budget.setShare(kShare);
  EXPECT_TRUE(budget.closed(kStart).empty());
  // Twice the share of a second, less what stood ready for 200 ms of it.
  budget.take(kPipe, 2 * kShare, kStart);
  EXPECT_TRUE(budget.closed(kStart).contains(zonePair("a", "b")));
  EXPECT_TRUE(budget.closed(kStart + milliseconds{ 1'790 }).contains(kPipe));
  EXPECT_TRUE(budget.closed(kStart + milliseconds{ 1'810 }).empty());
}

TEST(PipeBudgetTest, EachPipeHasABucketOfItsOwn)
{
  PipeBudget budget;
  budget.setShare(kShare);
  budget.take(kPipe, 2 * kShare, kStart);
  EXPECT_FALSE(budget.closed(kStart).contains(kOther));
}

TEST(PipeBudgetTest, ManyStreamsAtOnceCannotHoldThePipeForLong)
{
  // A zone loses a layer under seventy streams. Each asks for a path through
  // another zone in the same instant; all of them would hold the pipe for
  // seconds. No more may start than are paid for within a second.
  PipeBudget budget;
  budget.setShare(kShare);
  constexpr double kPrompt = kShare / 4;
  TimePoint now = kStart;
  int sent = 0;
  for (int round = 0; round < 10; ++round) {
    for (int stream = 0; stream < 70; ++stream) {
      if (!budget.closed(now).contains(kPipe)) {
        budget.take(kPipe, kPrompt, now);
        ++sent;
      }
    }
    now += milliseconds{ 100 };
  }
  EXPECT_GE(sent, 3);
  EXPECT_LE(sent * kPrompt, 1.5 * kShare);
}

} // namespace
} // namespace poplartrack
