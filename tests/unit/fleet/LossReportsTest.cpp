#include "poplartrack/fleet/LossReports.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

LossReport
unreachable(const std::string& aReplica)
{
  LossReport report;
  report.unreachable.insert(aReplica);
  return report;
}

TEST(LossReports, WhatAReplicaNamedCountsFromOneRelay)
{
  LossReports reports;
  LossReport report;
  report.blockedOn.insert("one");
  EXPECT_TRUE(reports.onPeer("a", report, kStart));
  EXPECT_TRUE(reports.lost("one", false, 20));
  EXPECT_FALSE(reports.lost("two", false, 20));
}

TEST(LossReports, ARelayThatIsCutOffConvincesNobody)
{
  // One relay reaches no replica. The others must go on using all of them.
  LossReports reports;
  reports.onPeer("cut", unreachable("one"), kStart);
  EXPECT_FALSE(reports.lost("one", false, 5));
  EXPECT_TRUE(reports.lost("one", true, 5));
}

TEST(LossReports, SeveralRelaysThatCannotReachItAreBelieved)
{
  // The first replica of a copy crashes. No replica names it, since nothing
  // passes to it from one; the leader may have no work there at all.
  LossReports reports;
  for (int i = 0; i < 4; ++i) {
    reports.onPeer(std::to_string(i), unreachable("one"), kStart);
  }
  EXPECT_FALSE(reports.lost("one", false, 23));
  reports.onPeer("4", unreachable("one"), kStart);
  EXPECT_TRUE(reports.lost("one", false, 23));
}

TEST(LossReports, WhatSilentRelaysToldIsForgotten)
{
  LossReports reports;
  LossReport report;
  report.blockedOn.insert("one");
  report.slow.emplace("two", 3.0);
  reports.onPeer("a", report, kStart);
  EXPECT_EQ(reports.slowdown("two"), 3.0);
  reports.expire(kStart + std::chrono::seconds{ 3 });
  EXPECT_FALSE(reports.lost("one", false, 2));
  EXPECT_EQ(reports.slowdown("two"), 1.0);
}

TEST(LossReports, SaysWhetherAWordBroughtNews)
{
  LossReports reports;
  EXPECT_FALSE(reports.onPeer("a", LossReport{}, kStart));
  EXPECT_TRUE(reports.onPeer("a", unreachable("one"), kStart));
  EXPECT_FALSE(reports.onPeer("a", unreachable("one"), kStart));
  EXPECT_TRUE(reports.onPeer("a", LossReport{}, kStart));
}

} // namespace
} // namespace poplartrack
