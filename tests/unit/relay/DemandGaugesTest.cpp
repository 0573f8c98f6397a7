#include "relay/DemandGauges.h"

#include <gtest/gtest.h>

#include "PeerSocket.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

// Guards against a gauge that shows the last demand of a zone that asks nothing
// any more.
TEST(DemandGauges, AZoneThatAsksNothingShowsZero)
{
  DemandGauges gauges;
  gauges.update({ { "a", 2.0 }, { "b", 3.0 } });
  const auto& values = gauges.update({ { "b", 1.0 } });
  EXPECT_EQ(values,
            (std::map<std::string, double>{ { "zone_demand_milli_a", 0.0 },
                                            { "zone_demand_milli_b", 1.0 } }));
}

// Guards against gauges whose number grows with each round, and against zones
// that lose theirs to another one.
TEST(DemandGauges, TheFirstSixteenZonesKeepTheirGauges)
{
  DemandGauges gauges;
  std::map<std::string, double> demand;
  for (char zone = 'b'; zone < 'b' + 16; ++zone) {
    demand[std::string(1, zone)] = 1;
  }
  gauges.update(demand);
  demand["a"] = 5;
  demand.erase("c");
  const auto& values = gauges.update(demand);
  EXPECT_EQ(values.size(), DemandGauges::kMaxGauges);
  EXPECT_FALSE(values.contains("zone_demand_milli_a"));
  EXPECT_EQ(values.at("zone_demand_milli_b"), 1);
  EXPECT_EQ(values.at("zone_demand_milli_c"), 0);
}

// Guards against one gauge that two zones overwrite in turn.
TEST(DemandGauges, ZonesWithTheSameMetricNameAreSummed)
{
  DemandGauges gauges;
  EXPECT_EQ(
    gauges.update({ { "a-1", 2.0 }, { "a_1", 3.0 } }),
    (std::map<std::string, double>{ { "zone_demand_milli_a_1", 5.0 } }));
}

/** Test fixture: a relay that holds the placement lease, and another one in
 * zone "b" that the test plays. */
class LeaseHolder : public ::testing::Test
{
protected:
  LeaseHolder()
  {
    this->world.load.demandPlacement = true;
    this->world.shared.holdsLease = true;
    this->status.incarnation = 1;
    this->status.zone = "b";
  }
  /** Sends the status message until a condition holds; returns whether it does.
   */
  template<typename Condition>
  bool sendUntil(Condition aCondition)
  {
    return waitFor([&] {
      ++this->status.sentAt;
      this->peer.send(this->world.loop->peersAddress(), this->status);
      return aCondition();
    });
  }

  const PeerSocket peer;
  RelayWorld world;
  PeerStatus status;
};

// Guards against requests of a relay of an older version that are not counted:
// its rows have three fields.
TEST_F(LeaseHolder, RowsWithoutRequestsHaveTheDeclaredSize)
{
  this->world.start();
  this->status.demand = { { "model", 3'000, 1'000 },
                          { "model", 3'000, 1'000, 500, 4 } };
  EXPECT_TRUE(this->sendUntil([this] {
    const auto demand = this->world.shared.demand.read();
    return demand->contains("model") &&
           demand->at("model").at("b") == TokenRate{ 6'000, 2'000, 200.5, 2 };
  }));
}

// Guards against a planner that does not know how slow replicas are, or takes a
// lost one for a slow one.
TEST_F(LeaseHolder, PublishesHowSlowReplicasAre)
{
  this->world.addModelReplica("slow", { "127.0.0.1", 1 }, { 0, 10 }, "a");
  this->world.addModelReplica("gone", { "127.0.0.1", 2 }, { 0, 10 }, "a");
  this->world.start();
  this->status.slow = { { "slow", 4.04 }, { "gone", 4 } };
  this->status.lost = { "gone" };
  EXPECT_TRUE(this->sendUntil([this] {
    return *this->world.shared.slowdowns.read() ==
           RelayShared::Slowdowns{ { "slow", 4 } };
  }));
}

// Guards against demand that a relay still shows, and would plan by at first,
// after another relay has held the placement lease.
TEST_F(LeaseHolder, ARelayThatLosesTheLeaseShowsNoDemand)
{
  this->world.start();
  this->status.demand = { { "model", 500'000, 500'000 } };
  const auto gauge = [this] {
    const std::string text = this->world.shared.metrics.render();
    const std::string name = "zone_demand_milli_b ";
    const auto at = text.rfind(name);
    return at == std::string::npos ? -1
                                   : std::stoll(text.substr(at + name.size()));
  };
  EXPECT_TRUE(this->sendUntil(
    [&] { return gauge() > 0 && !this->world.shared.demand.read()->empty(); }));
  this->world.shared.holdsLease = false;
  EXPECT_TRUE(waitFor(
    [&] { return gauge() == 0 && this->world.shared.demand.read()->empty(); }));
}

} // namespace
} // namespace poplartrack
