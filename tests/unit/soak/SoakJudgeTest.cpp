#include "soak/SoakJudge.h"

#include <gtest/gtest.h>

#include <set>

#include "soak/SoakPlan.h"

namespace poplartrack::soak {
namespace {

CallRecord
answered(RequestKind aKind, int aStatus)
{
  return CallRecord{ aKind, "key-1", aStatus, aStatus == 200, {} };
}

TEST(SoakJudge, FindsNothingWhereAllIsWell)
{
  SoakRecord record;
  record.ended("a", answered(RequestKind::Once, 200));
  record.ended("b", answered(RequestKind::Again, 200));
  record.ended("c", answered(RequestKind::Once, 503));
  const SoakVerdict verdict =
    judge(record, { "run a 10", "run b 11", "run b 12" });
  EXPECT_TRUE(verdict.broken.empty());
  EXPECT_EQ(verdict.calls, 3U);
  EXPECT_EQ(verdict.whole, 2U);
  EXPECT_EQ(verdict.refused, 1U);
}

TEST(SoakJudge, FindsEachBrokenPromise)
{
  SoakRecord record;
  record.ended("twice", answered(RequestKind::Once, 502));
  record.ended("refused", answered(RequestKind::Once, 503));
  CallRecord wrong = answered(RequestKind::Stream, 200);
  wrong.wrong = "another answer than the replica's";
  record.ended("wrong", wrong);
  EXPECT_EQ(judge(record, { "run twice 1", "run twice 2" }).broken.size(), 2U);
  EXPECT_EQ(judge(record, { "run refused 1" }).broken.size(), 2U);
  EXPECT_EQ(judge(record, { "run nobody 1" }).broken.size(), 2U);
}

TEST(SoakJudge, AKeyThatWasTakenAwayRunsNoLongerThanTheBound)
{
  SoakRecord record;
  record.keyTaken("key-2", 1'000);
  record.keyBack("key-2", 20'000);
  CallRecord call = answered(RequestKind::Once, 200);
  call.key = "key-2";
  record.ended("a", call);
  EXPECT_TRUE(judge(record, { "run a 5900" }).broken.empty());
  EXPECT_EQ(judge(record, { "run a 6100" }).broken.size(), 1U);
  EXPECT_TRUE(judge(record, { "run a 20100" }).broken.empty());
}

TEST(SoakPlan, TheSameSeedGivesTheSamePlan)
{
  const auto one = planOf(7, std::chrono::seconds{ 60 });
  const auto other = planOf(7, std::chrono::seconds{ 60 });
  ASSERT_EQ(one.size(), other.size());
  for (std::size_t i = 0; i < one.size(); ++i) {
    EXPECT_EQ(one[i].at, other[i].at);
    EXPECT_EQ(one[i].fault, other[i].fault);
    EXPECT_EQ(one[i].lasts, other[i].lasts);
  }
}

TEST(SoakPlan, AllKindsOfFaultsComeAndSomeOverlap)
{
  std::set<Fault> kinds;
  bool overlap = false;
  const auto plan = planOf(1, std::chrono::seconds{ 600 });
  for (std::size_t i = 0; i < plan.size(); ++i) {
    kinds.insert(plan[i].fault);
    overlap =
      overlap || (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].lasts);
  }
  EXPECT_EQ(kinds.size(), kFaultNames.size());
  EXPECT_TRUE(overlap);
}

} // namespace
} // namespace poplartrack::soak
