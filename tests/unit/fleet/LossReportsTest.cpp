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

TEST(LossReports, OneReportOfACertainLossIsEnough)
{
  LossReports reports;
  LossReport report;
  report.confirmed.insert("one");
  EXPECT_TRUE(reports.onPeer("a", report, kStart).differs);
  EXPECT_TRUE(reports.lost("one", false, 20));
  EXPECT_FALSE(reports.lost("two", false, 20));
}

TEST(LossReports, OneRelayThatCannotReachAReplicaIsNotEnough)
{
  // One relay reaches no replica. The others must keep using all of them.
  LossReports reports;
  reports.onPeer("cut", unreachable("one"), kStart);
  EXPECT_FALSE(reports.lost("one", false, 5));
  EXPECT_TRUE(reports.lost("one", true, 5));
}

TEST(LossReports, SeveralRelaysThatCannotReachAReplicaMakeItLost)
{
  // The first replica of a copy crashes. No replica is blocked on it, since
  // none sends work to it, and the leader may have no work there at all.
  LossReports reports;
  for (int i = 0; i < 4; ++i) {
    reports.onPeer(std::to_string(i), unreachable("one"), kStart);
  }
  EXPECT_FALSE(reports.lost("one", false, 23));
  reports.onPeer("4", unreachable("one"), kStart);
  EXPECT_TRUE(reports.lost("one", false, 23));
}

TEST(LossReports, ForgetsReportsOfSilentRelays)
{
  LossReports reports;
  LossReport report;
  report.confirmed.insert("one");
  report.slow.emplace("two", 3.0);
  reports.onPeer("a", report, kStart);
  EXPECT_EQ(reports.slowdown("two"), 3.0);
  reports.expire(kStart + std::chrono::seconds{ 3 });
  EXPECT_FALSE(reports.lost("one", false, 2));
  EXPECT_EQ(reports.slowdown("two"), 1.0);
}

TEST(LossReports, NoMoreThanAThirdOfTheReplicasAreLostByVotes)
{
  // Relays whose links are congested reach no replica in time.
  constexpr std::size_t kReplicas = 30;
  LossReports reports;
  reports.setListed(kReplicas);
  LossReport report;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    report.unreachable.insert("r" + std::to_string(i));
  }
  reports.onPeer("a", report, kStart);
  reports.onPeer("b", report, kStart);
  reports.onPeer("c", unreachable("r29"), kStart);
  std::size_t lost = 0;
  for (const std::string& replica : report.unreachable) {
    lost += reports.lost(replica, true, 8) ? 1 : 0;
  }
  EXPECT_EQ(lost, kReplicas / 3);
  EXPECT_TRUE(reports.lost("r29", false, 8));
}

TEST(LossReports, NamesWhoReportsAReplica)
{
  LossReports reports;
  reports.onPeer("a", unreachable("two"), kStart);
  reports.onPeer("b", unreachable("one"), kStart);
  LossReport slow;
  slow.slow.emplace("one", 4.0);
  reports.onPeer("c", slow, kStart);
  EXPECT_EQ(reports.reporters("one").count, 2U);
  EXPECT_EQ(reports.reporters("one").first, "b");
  EXPECT_EQ(reports.reporters("three").count, 0U);
}

TEST(LossReports, ReturnsWhetherAReportDiffers)
{
  LossReports reports;
  EXPECT_FALSE(reports.onPeer("a", LossReport{}, kStart).differs);
  EXPECT_TRUE(reports.onPeer("a", unreachable("one"), kStart).differs);
  EXPECT_FALSE(reports.onPeer("a", unreachable("one"), kStart).differs);
  EXPECT_TRUE(reports.onPeer("a", LossReport{}, kStart).differs);
}

TEST(LossReports, ReturnsWhatARelayNoLongerTakesForLost)
{
  LossReports reports;
  LossReport both = unreachable("one");
  both.confirmed.insert("two");
  reports.onPeer("a", both, kStart);
  EXPECT_EQ(reports.lostFor("one"), std::vector<std::string>{ "a" });
  const LossReportChange change =
    reports.onPeer("a", unreachable("two"), kStart);
  EXPECT_EQ(change.withdrawn, std::set<std::string>{ "one" });
  EXPECT_TRUE(reports.lostFor("one").empty());
}

} // namespace
} // namespace poplartrack
