#include "poplartrack/fleet/DemandMove.h"

#include <gtest/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 100 } };

/** Two zones; in zone a the first layers have three holders, the others one. */
class DemandMoveTest : public ::testing::Test
{
protected:
  DemandMoveTest()
  {
    this->profile.loadTime = seconds{ 5 };
    for (const std::string zone : { "a", "b" }) {
      for (std::uint32_t i = 0; i < 4; ++i) {
        this->add(zone + std::to_string(i), zone, { 5 * i, 5 * i + 5 });
      }
    }
    this->add("a4", "a", { 0, 5 });
    this->add("a5", "a", { 0, 5 });
    this->add("a6", "a", { 10, 15 });
    this->add("a7", "a", { 15, 20 });
  }
  void add(const std::string& aId, const std::string& aZone, LayerRange aLayers)
  {
    this->replicas.push_back(holding(aId, aZone, aLayers));
    this->replicas.back().slots = 64;
  }
  [[nodiscard]] std::vector<PlacedReplica> placed(
    const std::string& aZone) const
  {
    std::vector<PlacedReplica> all;
    for (const Replica& replica : this->replicas) {
      if (aZone.empty() || replica.zone == aZone) {
        all.push_back({ &replica, *replica.layers, false });
      }
    }
    return all;
  }
  /** Returns a demand of this many times what each zone carries. */
  [[nodiscard]] ZoneDemand demand(double aOfZoneA, double aOfZoneB) const
  {
    const auto tokens = [&](const std::string& aZone, double aTimes) {
      const double rate =
        aTimes * carriedRate(this->profile, this->placed(aZone));
      return TokenRate{ 800 * rate, 200 * rate };
    };
    return { { "a", tokens("a", aOfZoneA) }, { "b", tokens("b", aOfZoneB) } };
  }
  [[nodiscard]] std::optional<DemandMove> move(const ZoneDemand& aDemand) const
  {
    return bestDemandMove(this->profile,
                          this->placed(""),
                          aDemand,
                          [](const Replica&) { return true; });
  }

  EngineProfile profile = smallProfile();
  std::vector<Replica> replicas;
};

// Guards against a zone that rejects requests for want of one layer range while
// another range has three holders.
TEST_F(DemandMoveTest, ASpareReplicaDuplicatesTheScarcestLayers)
{
  const auto move = this->move(this->demand(2, 1));
  ASSERT_TRUE(move);
  EXPECT_EQ(move->zone, "a");
  EXPECT_EQ(move->held, (LayerRange{ 0, 5 }));
  EXPECT_EQ(move->to, (LayerRange{ 5, 10 }));
  EXPECT_GT(move->carriedAfter, 1.5 * move->carriedNow);
  EXPECT_GT(move->gained, move->lost);
}

// Guards against moves that no caller notices.
TEST_F(DemandMoveTest, NoneWhileOtherZonesHaveCapacityLeft)
{
  EXPECT_FALSE(this->move(this->demand(1.4, 0.5)));
  EXPECT_FALSE(this->move(this->demand(0.5, 0.5)));
  EXPECT_FALSE(this->move({}));
}

// Guards against moves whose layers are loaded too late to pay.
TEST_F(DemandMoveTest, NoneThatDoesNotPay)
{
  // The replica holds the scarcest layers among others: until it has given
  // these up and loaded again, the zone carries less.
  this->replicas[0] = holding("a0", "a", { 0, 10 });
  this->replicas[0].kind = "fast";
  this->replicas[0].slots = 64;
  const auto move = this->move(this->demand(2, 2));
  ASSERT_TRUE(move);
  EXPECT_EQ(move->replica, "a0");
  EXPECT_EQ(move->to, (LayerRange{ 5, 10 }));
  EXPECT_GT(move->lost, 0);
  this->profile.loadTime = seconds{ 10'000 };
  EXPECT_FALSE(this->move(this->demand(2, 2)));
  // A zone in which each layer has one holder has nothing to move.
  std::erase_if(this->replicas,
                [](const Replica& aReplica) { return aReplica.zone == "a"; });
  ZoneDemand demand;
  demand["b"] = TokenRate{ 1e6, 1e6 };
  EXPECT_FALSE(this->move(demand));
}

// Guards against a move whose replica serves nobody for longer than its cost
// says: a release takes 2.5 s even if answers are short, and 15 s at most.
TEST_F(DemandMoveTest, TheCostIncludesTheTimeOfTheRelease)
{
  this->replicas[0] = holding("a0", "a", { 0, 10 });
  this->replicas[0].kind = "fast";
  this->replicas[0].slots = 64;
  this->profile.loadTime = Duration{ 0 };
  const auto secondsAway = [this](double aStepMs) {
    this->profile.stepMs = aStepMs;
    auto others = this->placed("a");
    const double now = carriedRate(this->profile, others);
    others.erase(others.begin());
    const auto move = this->move(this->demand(50, 50));
    EXPECT_TRUE(move);
    return move ? move->lost / (now - carriedRate(this->profile, others)) : 0;
  };
  EXPECT_NEAR(secondsAway(0.01), 2.5, 1e-6);
  EXPECT_NEAR(secondsAway(20), 15, 1e-6);
}

// Guards against a replica that is away for seconds while its zone gains hardly
// anything, because the next range of layers is nearly as scarce.
TEST_F(DemandMoveTest, NoneForAGainThatNobodyNotices)
{
  std::erase_if(this->replicas, [](const Replica& aReplica) {
    return aReplica.id == "a6" || aReplica.id == "a7";
  });
  AcceleratorKind larger = this->profile.kinds["slow"];
  const auto useForOtherLayers = [&](double aMoreMb) {
    larger.memoryMb = this->profile.kinds["slow"].memoryMb + aMoreMb;
    this->profile.kinds["larger"] = larger;
    for (Replica& replica : this->replicas) {
      if (replica.layers->from >= 10) {
        replica.kind = "larger";
      }
    }
  };
  // 500 MB are left for requests on the slow kind.
  useForOtherLayers(15);
  EXPECT_FALSE(this->move(this->demand(2, 1)));
  useForOtherLayers(100);
  const auto move = this->move(this->demand(2, 1));
  ASSERT_TRUE(move);
  EXPECT_EQ(move->to, (LayerRange{ 5, 10 }));
}

// Guards against a comparison by the declared requests when callers ask longer
// answers: a copy carries fewer of these.
TEST_F(DemandMoveTest, CapacityFollowsTheRequestsThatCallersAsk)
{
  ZoneDemand demand = this->demand(0.9, 0.9);
  EXPECT_FALSE(this->move(demand));
  for (auto& [zone, rate] : demand) {
    rate.requests = rate.tokens() / 1'000;
    rate.prompt = 100 * rate.requests;
    rate.answer = 900 * rate.requests;
  }
  EXPECT_TRUE(this->move(demand));
}

// Guards against capacity of slow replicas that is ignored, and against moves
// that rely on them.
TEST_F(DemandMoveTest, ADegradedReplicaCountsWithWhatItHasLeft)
{
  auto zone = this->placed("a");
  const double before = carriedRate(this->profile, zone);
  const Replica slow = holding("a8", "a", { 5, 10 });
  zone.push_back({ &slow, *slow.layers, false, 4 });
  EXPECT_NEAR(carriedRate(this->profile, zone), 1.25 * before, 0.05 * before);
  // One or two of the three holders of the first layers are slow.
  for (const std::set<std::string>& degraded :
       { std::set<std::string>{ "a0" }, { "a0", "a5" } }) {
    auto all = this->placed("");
    for (PlacedReplica& placed : all) {
      placed.slowdown = degraded.contains(placed.replica->id) ? 3 : 1;
    }
    const auto move = bestDemandMove(this->profile,
                                     all,
                                     this->demand(9, 9),
                                     [](const Replica&) { return true; });
    EXPECT_EQ(move ? move->replica : "", degraded.size() == 1 ? "a4" : "");
  }
}

// Guards against moves that stop in all zones because one has only slow
// replicas and no whole copy.
TEST_F(DemandMoveTest, AZoneOfDegradedReplicasStopsNoMoves)
{
  auto all = this->placed("");
  const Replica slow = holding("c0", "c", { 0, 5 });
  all.push_back({ &slow, *slow.layers, false, 4 });
  EXPECT_TRUE(
    bestDemandMove(this->profile, all, this->demand(2, 1), [](const Replica&) {
      return true;
    }));
}

// Guards against a zone whose urgent requests are rejected while one that lacks
// a little more for requests without urgency gets the move.
TEST_F(DemandMoveTest, UrgentRequestsWeighMore)
{
  this->add("b4", "b", { 0, 5 });
  this->add("b5", "b", { 0, 5 });
  this->add("b6", "b", { 10, 15 });
  this->add("b7", "b", { 15, 20 });
  ZoneDemand demand = this->demand(2, 1.8);
  ASSERT_TRUE(this->move(demand));
  EXPECT_EQ(this->move(demand)->zone, "a");
  demand["a"].urgency = 7;
  demand["b"].urgency = 2;
  EXPECT_EQ(this->move(demand)->zone, "b");
}

// Guards against an uneven sum when relays report, end and are heard no more.
TEST(DemandTable, AddsTheRelaysOfEachZoneUpAndForgetsSilentOnes)
{
  DemandTable table;
  TimePoint now = kStart;
  for (int i = 0; i < 300; ++i) {
    now += milliseconds{ 100 };
    table.onRequest("model", 800, 200, now);
  }
  const auto own = table.own(16, now);
  ASSERT_EQ(own.size(), 1U);
  EXPECT_NEAR(own[0].second.prompt, 8'000, 400);
  EXPECT_NEAR(own[0].second.answer, 2'000, 100);
  table.onPeer("two", "a", { { "model", { 1'000, 500 } } }, now);
  table.onPeer("three", "b", { { "model", { 3'000, 700 } } }, now);
  auto demand = table.byService("a", now);
  EXPECT_NEAR(demand["model"]["a"].prompt, 9'000, 400);
  EXPECT_EQ(demand["model"]["b"], (TokenRate{ 3'000, 700 }));
  table.expire(now + milliseconds{ 2'001 });
  EXPECT_FALSE(table.byService("a", now)["model"].contains("b"));
  table.expire(now + seconds{ 60 });
  EXPECT_TRUE(table.byService("a", now + seconds{ 60 }).empty());
}

// Guards against urgent requests that are not told from others, and requests
// that are taken to have the declared size.
TEST(DemandTable, CountsRequestsByUrgency)
{
  DemandTable table;
  for (int i = 0; i < 300; ++i) {
    table.onRequest("model", 300, 100, kStart + milliseconds{ 100 * i }, 2);
    table.onRequest("model", 100, 100, kStart + milliseconds{ 100 * i }, 8);
  }
  const TimePoint now = kStart + seconds{ 30 };
  const auto own = table.own(16, now);
  ASSERT_EQ(own.size(), 2U);
  EXPECT_EQ(own[0].second.urgency, 2);
  EXPECT_EQ(own[1].second.urgency, 8);
  EXPECT_NEAR(own[0].second.requests, 10, 0.5);
  table.onPeer("two", "b", own, now);
  const TokenRate sum = table.byService("a", now)["model"]["b"];
  EXPECT_NEAR(sum.requests, 20, 1);
  EXPECT_NEAR(sum.urgency, 4, 0.1);
}

// Guards against status messages that grow with the number of services.
TEST(DemandTable, ReportsTheServicesWithTheMostTokensInTwoDigits)
{
  DemandTable table;
  for (int i = 1; i <= 40; ++i) {
    table.onRequest("s" + std::to_string(i), 1'234.0 * i, 0, kStart);
  }
  const auto own = table.own(16, kStart);
  ASSERT_EQ(own.size(), 16U);
  EXPECT_EQ(own[0].first, "s40");
  EXPECT_EQ(own[0].second.prompt, 16'000);
}

} // namespace
} // namespace poplartrack
