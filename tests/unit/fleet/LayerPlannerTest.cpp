#include "poplartrack/fleet/LayerPlanner.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A planner and its replicas, which carry out orders when the test says so. */
class Fleet
{
public:
  explicit Fleet(std::vector<Replica> aReplicas)
    : replicas(std::move(aReplicas))
  {
  }

  std::vector<LayerOrder> plan(bool aUncertain = false)
  {
    return this->planner.plan(
      this->profile, this->replicas, aUncertain, this->busy, this->clock.now());
  }
  /** Advances the clock, then plans. */
  std::vector<LayerOrder> planAfter(Duration aPause)
  {
    this->clock.advance(aPause);
    return this->plan();
  }
  void carryOut(const std::vector<LayerOrder>& aOrders)
  {
    for (const LayerOrder& order : aOrders) {
      this->at(order.replica).layers = order.layers;
    }
  }
  Replica& at(const std::string& aId)
  {
    for (Replica& replica : this->replicas) {
      if (replica.id == aId) {
        return replica;
      }
    }
    ADD_FAILURE() << "no replica " << aId;
    return this->replicas.front();
  }
  /** Adds a replica for which there is no gap and advances the clock until it
   * may duplicate layers of others. */
  void joinForLong(Replica aReplica)
  {
    this->replicas.push_back(std::move(aReplica));
    EXPECT_TRUE(this->plan().empty());
    this->clock.advance(LayerPlannerPolicy{}.duplicateDelay);
  }
  void lose(const std::string& aId)
  {
    std::erase_if(this->replicas,
                  [&](const Replica& aReplica) { return aReplica.id == aId; });
  }
  [[nodiscard]] bool covered(const std::string& aZone) const
  {
    std::vector<bool> held(this->profile.layers, false);
    for (const Replica& replica : this->replicas) {
      if (replica.zone != aZone || !replica.layers) {
        continue;
      }
      for (auto i = replica.layers->from; i < replica.layers->to; ++i) {
        held[i] = true;
      }
    }
    return std::find(held.begin(), held.end(), false) == held.end();
  }
  [[nodiscard]] bool withinMemory() const
  {
    for (const Replica& replica : this->replicas) {
      const double most = this->profile.kinds.at(replica.kind).memoryMb;
      if (replica.layers &&
          replica.layers->size() * this->profile.layerMb > most) {
        return false;
      }
    }
    return true;
  }
  /** Waits for the first plan and carries it out. Expects no order after it. */
  void start()
  {
    this->plan();
    this->carryOut(this->planAfter(seconds{ 2 }));
    EXPECT_TRUE(this->planAfter(seconds{ 1 }).empty());
  }

  EngineProfile profile = smallProfile();
  ManualClock clock;
  LayerPlanner planner{ LayerPlannerPolicy{} };
  std::vector<Replica> replicas;
  std::set<std::string> busy;
};

/** Returns two zones of one fast and four slow replicas each. */
std::vector<Replica>
fourInEachOfTwoZones()
{
  std::vector<Replica> replicas;
  for (const std::string zone : { "a", "b" }) {
    replicas.push_back(replicaOf(zone + "0", zone, "fast"));
    for (int i = 1; i < 5; ++i) {
      replicas.push_back(replicaOf(zone + std::to_string(i), zone, "slow"));
    }
  }
  return replicas;
}

TEST(LayerPlanner, GivesEachZoneAWholeCopyOnceReplicasHaveRegistered)
{
  Fleet fleet{ fourInEachOfTwoZones() };
  EXPECT_TRUE(fleet.plan().empty());
  EXPECT_TRUE(fleet.planAfter(milliseconds{ 500 }).empty());
  const auto orders = fleet.planAfter(seconds{ 1 });
  fleet.carryOut(orders);
  EXPECT_TRUE(fleet.covered("a"));
  EXPECT_TRUE(fleet.covered("b"));
  EXPECT_TRUE(fleet.withinMemory());
}

TEST(LayerPlanner, FastAcceleratorsTakeTheMostLayers)
{
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  EXPECT_GT(fleet.at("a0").layers->size(), fleet.at("a1").layers->size());
}

/** Returns the answers per second of a zone's copy while its memory is full of
 * mean requests, computed from the layers of each replica. */
double
answersPerSecondOf(const Fleet& aFleet, const std::string& aZone)
{
  const EngineProfile& profile = aFleet.profile;
  const double meanRequestTokens =
    profile.meanPromptTokens + profile.meanAnswerTokens;
  double requests = profile.slots;
  double weightedStepFactor = 0;
  for (const Replica& replica : aFleet.replicas) {
    if (replica.zone != aZone) {
      continue;
    }
    const AcceleratorKind& kind = profile.kinds.at(replica.kind);
    const double layers = replica.layers->size();
    const double free = kind.memoryMb - profile.layerMb * layers;
    requests = std::min(
      requests, free / (profile.tokenLayerMb() * layers) / meanRequestTokens);
    weightedStepFactor += kind.stepFactor * layers / profile.layers;
  }
  const double tokenMs =
    weightedStepFactor * (profile.stepMs + requests * profile.perRequestMs);
  return 1'000 * requests / (tokenMs * profile.meanAnswerTokens);
}

TEST(LayerPlanner, ACopyIsLaidOutForAnswersPerSecondWithMemoryForHalfTheSlots)
{
  // When a zone loses its copy, the other zone serves all callers. Its answers
  // per second and its memory for requests decide how many of them it refuses.
  // A layout for the most memory, all 8 slots of each replica, puts 8 layers on
  // the fast replica and gives 5.447 answers per second. The chosen layout must
  // not give fewer, and must keep at least half of that memory.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  const EngineProfile& profile = fleet.profile;
  const double meanRequestTokens =
    profile.meanPromptTokens + profile.meanAnswerTokens;
  for (const Replica& replica : fleet.replicas) {
    const double free = profile.kinds.at(replica.kind).memoryMb -
                        profile.layerMb * replica.layers->size();
    const double tokens =
      free / (profile.tokenLayerMb() * replica.layers->size());
    EXPECT_GE(tokens, profile.slots * meanRequestTokens / 2) << replica.id;
  }
  constexpr double kMinAnswersPerSecond = 5.45;
  EXPECT_GE(answersPerSecondOf(fleet, "a"), kMinAnswersPerSecond);
  EXPECT_GE(answersPerSecondOf(fleet, "b"), kMinAnswersPerSecond);
}

TEST(LayerPlanner, AZoneWithMemoryForTwoCopiesGetsTwo)
{
  // When any one replica is lost, streams continue through the other copy of
  // the same zone within their attempt: the zone never lacks a layer.
  std::vector<Replica> replicas = fourInEachOfTwoZones();
  for (int i = 5; i < 10; ++i) {
    replicas.push_back(replicaOf("a" + std::to_string(i), "a", "slow"));
  }
  Fleet fleet{ replicas };
  fleet.start();
  for (int lost = 0; lost < 10; ++lost) {
    Fleet after{ fleet.replicas };
    after.lose("a" + std::to_string(lost));
    EXPECT_TRUE(after.covered("a")) << lost;
  }
}

TEST(LayerPlanner, ZonesTooSmallForACopyShareOne)
{
  Fleet fleet{ { replicaOf("a1", "a", "slow"),
                 replicaOf("a2", "a", "slow"),
                 replicaOf("b1", "b", "slow"),
                 replicaOf("b2", "b", "slow") } };
  fleet.plan();
  fleet.carryOut(fleet.planAfter(seconds{ 2 }));
  std::vector<bool> held(20, false);
  for (const Replica& replica : fleet.replicas) {
    for (auto i = replica.layers->from; i < replica.layers->to; ++i) {
      held[i] = true;
    }
  }
  EXPECT_EQ(std::count(held.begin(), held.end(), false), 0);
}

TEST(LayerPlanner, NeighboursExtendOverLostLayers)
{
  // Otherwise requests of the zone would have to cross to another one for these
  // layers. The layers that the neighbours hold stay in service while they
  // load.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  const LayerRange lost = *fleet.at("a2").layers;
  fleet.lose("a2");
  EXPECT_TRUE(fleet.planAfter(milliseconds{ 10 }).empty());
  const auto orders = fleet.planAfter(milliseconds{ 400 });
  ASSERT_FALSE(orders.empty());
  for (const LayerOrder& order : orders) {
    const LayerRange before = *fleet.at(order.replica).layers;
    EXPECT_TRUE(order.layers.contains(before)) << order.replica;
  }
  fleet.carryOut(orders);
  EXPECT_TRUE(fleet.covered("a"));
  EXPECT_TRUE(fleet.withinMemory());
  EXPECT_GT(lost.size(), 0U);
}

TEST(LayerPlanner, WaitsLongerWhenOnlyTheLeaderMissesAReplica)
{
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  fleet.lose("a2");
  fleet.plan(true);
  fleet.clock.advance(milliseconds{ 600 });
  EXPECT_TRUE(fleet.plan(true).empty());
  fleet.clock.advance(milliseconds{ 1'000 });
  EXPECT_FALSE(fleet.plan(true).empty());
}

TEST(LayerPlanner, AReplicaWithoutLayersTakesTheMissingOnes)
{
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  const LayerRange lost = *fleet.at("a0").layers;
  fleet.lose("a0");
  fleet.planAfter(milliseconds{ 100 });
  fleet.replicas.push_back(replicaOf("a9", "a", "fast"));
  const auto orders = fleet.planAfter(milliseconds{ 100 });
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].replica, "a9");
  EXPECT_EQ(orders[0].layers, lost);
}

TEST(LayerPlanner, ASlowReplicaAndTheNeighboursShareAFastOnesPart)
{
  // A zone loses the replica with the most layers and gets one of a slower
  // kind, which alone can take only some of them with memory for all slots. If
  // the others stayed open, callers of the zone would be refused while its
  // other replicas idle.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  const LayerRange lost = *fleet.at("a0").layers;
  ASSERT_GT(lost.size(), 5U);
  fleet.lose("a0");
  fleet.replicas.push_back(replicaOf("a9", "a", "slow"));
  const auto orders = fleet.planAfter(milliseconds{ 10 });
  ASSERT_EQ(orders.size(), 2U);
  for (const LayerOrder& order : orders) {
    if (fleet.at(order.replica).layers) {
      EXPECT_TRUE(order.layers.contains(*fleet.at(order.replica).layers));
    }
  }
  fleet.carryOut(orders);
  EXPECT_TRUE(fleet.covered("a"));
  EXPECT_TRUE(fleet.withinMemory());
}

TEST(LayerPlanner, ASecondHolderIsMovedToAGapThatNeighboursCannotFill)
{
  // A zone loses its replica with the most layers while another one only
  // duplicates layers of others. The neighbour of the gap has room for less
  // than the gap. If nothing moved, requests would cross zones, or be refused,
  // until a new replica joins.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  fleet.joinForLong(replicaOf("a9", "a", "slow"));
  fleet.carryOut(fleet.planAfter(milliseconds{ 100 }));
  ASSERT_TRUE(fleet.at("a9").layers);
  fleet.lose("a0");
  fleet.planAfter(milliseconds{ 10 });
  const auto orders = fleet.planAfter(milliseconds{ 400 });
  ASSERT_FALSE(orders.empty());
  EXPECT_TRUE(fleet.planner.gaps().empty());
  fleet.carryOut(orders);
  EXPECT_TRUE(fleet.covered("a"));
  EXPECT_TRUE(fleet.withinMemory());
}

TEST(LayerPlanner, AZoneThatStaysIncompleteIsPartitionedAgain)
{
  // A zone permanently loses its replica with the most layers, the neighbour
  // has too little room, and no replica joins. The remaining replicas would
  // idle while the other zone, with half of the memory, refuses callers. After
  // 6 s they share all layers.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  fleet.lose("a0");
  fleet.planAfter(milliseconds{ 10 });
  EXPECT_TRUE(fleet.planAfter(seconds{ 5 }).empty());
  EXPECT_FALSE(fleet.planner.gaps().empty());
  const auto orders = fleet.planAfter(seconds{ 2 });
  ASSERT_FALSE(orders.empty());
  for (const LayerOrder& order : orders) {
    EXPECT_EQ(fleet.at(order.replica).zone, "a");
  }
  fleet.carryOut(orders);
  EXPECT_TRUE(fleet.covered("a"));
  EXPECT_TRUE(fleet.withinMemory());
}

TEST(LayerPlanner, ExtendedReplicasShrinkOneAtATime)
{
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  fleet.lose("a2");
  fleet.planAfter(milliseconds{ 10 });
  fleet.carryOut(fleet.planAfter(milliseconds{ 400 }));
  fleet.replicas.push_back(replicaOf("a9", "a", "slow"));
  fleet.carryOut(fleet.planAfter(milliseconds{ 100 }));
  for (int i = 0; i < 10; ++i) {
    const auto orders = fleet.planAfter(seconds{ 1 });
    EXPECT_LE(orders.size(), 1U);
    fleet.carryOut(orders);
    EXPECT_TRUE(fleet.covered("a"));
  }
}

TEST(LayerPlanner, AReplicaThatCarriesRequestsDoesNotShrink)
{
  // A replica that was extended over lost layers carries requests when others
  // hold these layers again. If it had to release them, it would refuse all
  // work until the last answer through them ends, seconds later.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  fleet.lose("a1");
  fleet.lose("a2");
  fleet.lose("a3");
  fleet.planAfter(milliseconds{ 10 });
  fleet.carryOut(fleet.planAfter(milliseconds{ 400 }));
  ASSERT_TRUE(fleet.covered("a"));
  fleet.replicas.push_back(replicaOf("a7", "a", "slow"));
  fleet.replicas.push_back(replicaOf("a8", "a", "slow"));
  fleet.joinForLong(replicaOf("a9", "a", "slow"));
  fleet.carryOut(fleet.planAfter(milliseconds{ 100 }));
  for (const Replica& replica : fleet.replicas) {
    fleet.busy.insert(replica.id);
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(fleet.planAfter(seconds{ 1 }).empty());
  }
  fleet.busy.clear();
  EXPECT_FALSE(fleet.planAfter(seconds{ 1 }).empty());
}

TEST(LayerPlanner, PartitionsACopyAgainIfNoReplicaHoldsALayer)
{
  // Both copies lose the same layers of their fast replicas, which are more
  // than the neighbours can take. Until they are held again, every request is
  // refused.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.profile.kinds["slow"].memoryMb = 600;
  fleet.start();
  fleet.lose("a0");
  fleet.lose("b0");
  fleet.replicas.push_back(replicaOf("a8", "a", "slow"));
  std::vector<LayerOrder> orders;
  for (int i = 0; i < 10; ++i) {
    orders = fleet.planAfter(seconds{ 1 });
    fleet.carryOut(orders);
  }
  EXPECT_TRUE(fleet.covered("a") || fleet.covered("b"));
  EXPECT_TRUE(fleet.withinMemory());
}

TEST(LayerPlanner, ANewReplicaTakesTheLayersThatItsZoneLacks)
{
  // Three zones share the layers, each without one range. When one loses a
  // replica, the other two still hold all layers between them, but paths from
  // the first would cross twice. The new replica there takes the lost layers.
  Fleet fleet{ {} };
  fleet.profile.kinds["slow"].memoryMb = 900;
  for (const std::string zone : { "a", "b", "c" }) {
    for (int i = 0; i < 2; ++i) {
      fleet.replicas.push_back(
        replicaOf(zone + std::to_string(i), zone, "slow"));
    }
  }
  fleet.start();
  ASSERT_FALSE(fleet.covered("a"));
  const LayerRange before = fleet.at("a0").layers.value();
  fleet.lose("a0");
  fleet.carryOut(fleet.planAfter(seconds{ 2 }));
  fleet.replicas.push_back(replicaOf("a9", "a", "slow"));
  fleet.carryOut(fleet.planAfter(seconds{ 2 }));
  EXPECT_EQ(fleet.at("a9").layers, before);
  EXPECT_TRUE(fleet.withinMemory());
}

TEST(LayerPlanner, AReplicaThatRefusedIsLeftAloneForASecond)
{
  // It is still carrying out an earlier order. Without a backoff, four orders
  // per second for eight seconds would cause 32 refused calls.
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  fleet.joinForLong(replicaOf("a9", "a", "slow"));
  ASSERT_EQ(fleet.planAfter(milliseconds{ 100 }).size(), 1U);
  fleet.planner.onRefused("a9");
  EXPECT_TRUE(fleet.planAfter(milliseconds{ 250 }).empty());
  EXPECT_TRUE(fleet.planAfter(milliseconds{ 250 }).empty());
  EXPECT_EQ(fleet.planAfter(milliseconds{ 600 }).size(), 1U);
}

TEST(LayerPlanner, AnOrderWithoutEffectIsIssuedAgainAfterItsTimeout)
{
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.start();
  fleet.joinForLong(replicaOf("a9", "a", "slow"));
  ASSERT_EQ(fleet.planAfter(milliseconds{ 100 }).size(), 1U);
  EXPECT_TRUE(fleet.planAfter(seconds{ 2 }).empty());
  EXPECT_EQ(fleet.planAfter(seconds{ 13 }).size(), 1U);
}

/** Returns a zone whose two fast replicas hold one copy and whose slow ones
 * hold another. */
std::vector<Replica>
fastAndSlowCopy()
{
  std::vector<Replica> replicas{ replicaOf("f1", "a", "fast"),
                                 replicaOf("f2", "a", "fast") };
  for (int i = 0; i < 8; ++i) {
    replicas.push_back(replicaOf("s" + std::to_string(i), "a", "slow"));
  }
  return replicas;
}

// Guards against a fast replica that returns and duplicates the layers of
// another fast one, while its former layers stay on slow ones.
TEST(LayerPlanner, ANewFastReplicaTakesLayersThatOnlySlowOnesHold)
{
  Fleet fleet{ fastAndSlowCopy() };
  fleet.start();
  const LayerRange lost = *fleet.at("f1").layers;
  fleet.lose("f1");
  EXPECT_TRUE(fleet.covered("a"));
  fleet.planAfter(seconds{ 1 });
  fleet.replicas.push_back(replicaOf("f3", "a", "fast"));
  fleet.carryOut(fleet.planAfter(milliseconds{ 100 }));
  ASSERT_TRUE(fleet.at("f3").layers);
  EXPECT_EQ(*fleet.at("f3").layers, lost);
}

// Guards against a rolling release in which each new replica loads other layers
// before the old one drains, and is then missing in its place.
TEST(LayerPlanner, ANewcomerWaitsForThePartOfTheOneThatLeaves)
{
  Fleet fleet{ fastAndSlowCopy() };
  fleet.start();
  const LayerRange lost = *fleet.at("f1").layers;
  fleet.replicas.push_back(replicaOf("f3", "a", "fast"));
  EXPECT_TRUE(fleet.planAfter(milliseconds{ 100 }).empty());
  EXPECT_TRUE(fleet.planAfter(seconds{ 2 }).empty());
  fleet.lose("f1");
  fleet.carryOut(fleet.planAfter(milliseconds{ 100 }));
  ASSERT_TRUE(fleet.at("f3").layers);
  EXPECT_EQ(*fleet.at("f3").layers, lost);
}

// Guards against a process that ends because an entry of the replica list names
// layers that the model does not have.
TEST(LayerPlanner, AReplicaWithLayersThatTheModelDoesNotHaveIsNotPlanned)
{
  for (const LayerRange odd : { LayerRange{ 0, 1'000'000 },
                                LayerRange{ 900'000, 1'000'000 },
                                LayerRange{ 0, 21 } }) {
    Fleet fleet{ fourInEachOfTwoZones() };
    fleet.start();
    fleet.replicas.push_back(holding("odd", "a", odd));
    for (int i = 0; i < 10; ++i) {
      EXPECT_TRUE(fleet.planAfter(seconds{ 3 }).empty());
    }
  }
}

RC_GTEST_PROP(LayerPlanner,
              NeverOrdersMoreThanMemoryHolds,
              (const std::vector<std::uint8_t>& aLosses))
{
  Fleet fleet{ fourInEachOfTwoZones() };
  fleet.plan();
  fleet.carryOut(fleet.planAfter(seconds{ 2 }));
  int added = 0;
  for (const std::uint8_t loss : aLosses) {
    if (loss % 3 == 0 || fleet.replicas.size() < 3) {
      fleet.replicas.push_back(replicaOf("n" + std::to_string(added++),
                                         loss % 2 == 0 ? "a" : "b",
                                         loss % 5 == 0 ? "fast" : "slow"));
    } else {
      fleet.lose(fleet.replicas[loss % fleet.replicas.size()].id);
    }
    for (int i = 0; i < 3; ++i) {
      fleet.carryOut(fleet.planAfter(milliseconds{ 700 }));
      RC_ASSERT(fleet.withinMemory());
    }
  }
}

} // namespace
} // namespace poplartrack
