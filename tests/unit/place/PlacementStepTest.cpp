#include "poplartrack/place/PlacementStep.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "PlacementWorld.h"

namespace poplartrack {
namespace {

using placetest::World;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kLayers = 8;
/** Layers that each engine holds. */
constexpr std::uint32_t kHeld = 4;

Configuration
configurationOf(std::uint32_t aMinCopies)
{
  Configuration configuration;
  ModelSpec spec;
  spec.layers = kLayers;
  spec.version = "v1";
  spec.minCopies = aMinCopies;
  configuration.models["toy"] = spec;
  configuration.models["other"] = spec;
  return configuration;
}

EndpointInfo
engineOf(int aNumber, const std::string& aModel, std::uint32_t aFrom)
{
  EndpointInfo info;
  info.name = "engine-" + std::to_string(aNumber);
  info.service = "engine";
  info.incarnation = 1;
  info.model = aModel;
  info.modelVersion = "v1";
  info.holds = { aFrom, aFrom + kHeld };
  return info;
}

PlannedHold
holdOf(const EndpointInfo& aInfo,
       const std::string& aModel,
       std::uint32_t aFrom)
{
  return { aInfo.name, aModel, "v1", { aFrom, aFrom + kHeld } };
}

/** Advances one second per round; in each round all loads finish, the newest
 * placer's view is updated and all its orders are delivered and answered. */
void
run(World& aWorld, int aRounds)
{
  const std::size_t newest = aWorld.placers() - 1;
  for (int i = 0; i < aRounds; ++i) {
    aWorld.clock.advance(seconds{ 1 });
    for (std::size_t at = 0; at < aWorld.engines(); ++at) {
      aWorld.finishLoad(at);
      aWorld.refreshView(newest, at);
    }
    aWorld.sendOrders(newest);
    while (aWorld.ordersInFlight() > 0) {
      aWorld.deliver(0, true);
    }
  }
}

// The only holder of layers 0-3 is to hold 4-7 instead, and an empty endpoint
// is to load 0-3. If both loads were ordered at once, or in the wrong order, no
// request could be served until the new copy had loaded.
TEST(PlacementStep, theLastCopyMovesOnlyAfterItsReplacementHasLoaded)
{
  EndpointInfo empty = engineOf(2, "", 0);
  empty.holds = {};
  const std::vector<EndpointInfo> engines{ engineOf(1, "toy", 0), empty };
  World world{ configurationOf(1), engines };
  PlacementPlan plan;
  plan.holds = { holdOf(engines[0], "toy", 4), holdOf(engines[1], "toy", 0) };
  world.takeOver(plan);
  run(world, 4);
  EXPECT_EQ(world.newest().step.loading(), 1);
  EXPECT_EQ(world.engine(0).actual.holds, (LayerRange{ 0, 4 }));
  run(world, 8);
  EXPECT_TRUE(world.planCompleted());
  EXPECT_EQ(world.uncovered(), 0);
}

// Each of two endpoints holds the layers planned for the other, and there are
// no further copies. No load is safe: none is ordered, and blocked() counts
// both.
TEST(PlacementStep, swappingTwoLastCopiesIsBlocked)
{
  const std::vector<EndpointInfo> engines{ engineOf(1, "toy", 0),
                                           engineOf(2, "toy", 4) };
  World world{ configurationOf(1), engines };
  PlacementPlan plan;
  plan.holds = { holdOf(engines[0], "toy", 4), holdOf(engines[1], "toy", 0) };
  world.takeOver(plan);
  run(world, 10);
  EXPECT_EQ(world.newest().step.blocked(), 2);
  EXPECT_EQ(world.engine(0).actual.holds, (LayerRange{ 0, 4 }));
}

TEST(PlacementStep, concurrentLoadsAreLimited)
{
  std::vector<EndpointInfo> engines;
  PlacementPlan plan;
  for (int i = 0; i < 20; ++i) {
    engines.push_back(engineOf(i, "", 0));
    engines.back().holds = {};
    plan.holds.push_back(holdOf(engines.back(), "toy", 0));
  }
  World world{ configurationOf(1), engines };
  world.takeOver(plan);
  for (int i = 0; i < 10; ++i) {
    run(world, 1);
    EXPECT_LE(world.newest().step.loading(), PlacementLimits{}.maxLoads);
  }
  run(world, 40);
  EXPECT_TRUE(world.planCompleted());
}

// A lease holder was suspended until after its lease had expired and then sends
// an order with its old fencing number. The side has seen the new number and
// refuses; after this the old holder sends no further orders.
TEST(PlacementStep, aFormerLeaseHolderStopsAfterTheFirstRefusal)
{
  const std::vector<EndpointInfo> engines{ engineOf(1, "toy", 0),
                                           engineOf(2, "toy", 0) };
  World world{ configurationOf(1), engines };
  world.takeOver({});
  world.takeOver({});
  run(world, 3);
  world.sendOrders(0);
  ASSERT_GT(world.ordersInFlight(), 0);
  world.deliver(0, true);
  world.clock.advance(seconds{ 60 });
  const std::size_t before = world.ordersInFlight();
  world.sendOrders(0);
  EXPECT_EQ(world.ordersInFlight(), before);
}

// An order of the previous lease holder is still in flight when the next holder
// wants to count the same endpoint as cover and move the other one. Until the
// endpoint has accepted the new fencing number, the old order could drop the
// last copy.
TEST(PlacementStep, anEndpointThatAnOldOrderMayReachIsNotCounted)
{
  const std::vector<EndpointInfo> engines{ engineOf(1, "toy", 0),
                                           engineOf(2, "toy", 0) };
  World world{ configurationOf(1), engines };
  PlacementPlan first;
  first.holds = { holdOf(engines[0], "toy", 4) };
  world.takeOver(first);
  run(world, 2);
  world.clock.advance(seconds{ 1 });
  world.refreshView(0, 0);
  world.refreshView(0, 1);
  world.sendOrders(0);
  ASSERT_EQ(world.ordersInFlight(), 1);
  PlacementPlan second;
  second.holds = { holdOf(engines[1], "toy", 4) };
  world.takeOver(second);
  // Orders of the new holder reach only the other endpoint; the one that the
  // old order is for is unreachable.
  for (int i = 0; i < 8; ++i) {
    world.clock.advance(seconds{ 1 });
    world.refreshView(1, 0);
    world.refreshView(1, 1);
    world.sendOrders(1);
    while (world.ordersInFlight() > 1) {
      if (world.destination(1) == engines[0].name) {
        world.drop(1);
      } else {
        world.deliver(1, true);
      }
    }
  }
  EXPECT_EQ(world.newest().step.blocked(), 1);
  world.deliver(0, true);
  EXPECT_EQ(world.uncovered(), 0);
}

// An order gets no answer and is delivered only after the same holder has a new
// plan and has moved the other endpoint. Its fencing number is lower than that
// of the fencing order sent in between, so it is refused.
TEST(PlacementStep, aDelayedOrderOfTheSameHolderIsRefused)
{
  const std::vector<EndpointInfo> engines{ engineOf(1, "toy", 0),
                                           engineOf(2, "toy", 0) };
  World world{ configurationOf(1), engines };
  PlacementPlan first;
  first.holds = { holdOf(engines[0], "toy", 4) };
  world.takeOver(first);
  run(world, 2);
  world.clock.advance(seconds{ 1 });
  world.refreshView(0, 0);
  world.refreshView(0, 1);
  world.sendOrders(0);
  ASSERT_EQ(world.ordersInFlight(), 1);
  world.newest().plan.holds = { holdOf(engines[1], "toy", 4) };
  for (int i = 0; i < 30; ++i) {
    world.clock.advance(seconds{ 1 });
    world.refreshView(0, 0);
    world.refreshView(0, 1);
    world.sendOrders(0);
    while (world.ordersInFlight() > 1) {
      world.deliver(1, true);
    }
  }
  EXPECT_EQ(world.newest().step.loading(), 1);
  world.deliver(0, true);
  EXPECT_EQ(world.uncovered(), 0);
}

// A side is replaced and has lost the fencing number that it had accepted. An
// older order could drop the layers that it reports, so they are not counted
// until it has accepted the number again.
TEST(PlacementStep, aReplacedSideIsNotCountedUntilItHasAcceptedTheNumberAgain)
{
  const std::vector<EndpointInfo> engines{ engineOf(1, "toy", 0),
                                           engineOf(2, "toy", 0) };
  World world{ configurationOf(1), engines };
  world.takeOver({});
  run(world, 4);
  world.restart(0);
  world.newest().plan.holds = { holdOf(engines[1], "toy", 4) };
  run(world, 1);
  EXPECT_EQ(world.newest().step.loading(), 0);
  EXPECT_EQ(world.newest().step.blocked(), 1);
  run(world, 4);
  EXPECT_TRUE(world.planCompleted());
}

// A new version replaces the old one copy by copy: the old version keeps copies
// of all layers until the new one has them.
TEST(PlacementStep, aNewVersionIsCompleteBeforeTheOldOneIsDropped)
{
  const std::vector<EndpointInfo> engines{ engineOf(1, "toy", 0),
                                           engineOf(2, "toy", 4),
                                           engineOf(3, "toy", 0),
                                           engineOf(4, "toy", 4) };
  Configuration configuration = configurationOf(2);
  configuration.models["toy"].version = "v2";
  World world{ configuration, engines };
  PlacementPlan plan;
  for (const EndpointInfo& engine : engines) {
    plan.holds.push_back({ engine.name, "toy", "v2", engine.holds });
  }
  world.takeOver(plan);
  for (int i = 0; i < 20; ++i) {
    run(world, 1);
    EXPECT_TRUE(world.coversAll("v1", kLayers) ||
                world.coversAll("v2", kLayers))
      << i;
  }
  EXPECT_TRUE(world.planCompleted());
}

/** What can happen next in a random run. */
enum class Action : std::uint8_t
{
  Advance,
  RefreshView,
  SendOrders,
  Deliver,
  DeliverUnanswered,
  Drop,
  FinishLoad,
  Restart,
  TakeOver,
};

/** One step of a random run. */
struct Step
{
  Action action = Action::Advance;
  /** Random numbers that select the engine, order, placer, time or plan. */
  std::size_t first = 0;
  std::size_t second = 0;
};

rc::Gen<std::vector<Step>>
steps()
{
  const auto step = rc::gen::build<Step>(
    rc::gen::set(
      &Step::action,
      rc::gen::weightedElement<Action>({ { 4, Action::Advance },
                                         { 12, Action::RefreshView },
                                         { 4, Action::SendOrders },
                                         { 8, Action::Deliver },
                                         { 2, Action::DeliverUnanswered },
                                         { 1, Action::Drop },
                                         { 3, Action::FinishLoad },
                                         { 1, Action::Restart },
                                         { 1, Action::TakeOver } })),
    rc::gen::set(&Step::first, rc::gen::inRange<std::size_t>(0, 1'000)),
    rc::gen::set(&Step::second, rc::gen::inRange<std::size_t>(0, 1'000)));
  return rc::gen::scale(6, rc::gen::container<std::vector<Step>>(step));
}

/** Returns a random plan in which each engine holds layers of one of the two
 * models. */
PlacementPlan
planFrom(const std::vector<EndpointInfo>& aEngines, std::size_t aSeed)
{
  PlacementPlan plan;
  for (const EndpointInfo& engine : aEngines) {
    aSeed = aSeed * 6'364'136'223'846'793'005U + 1'442'695'040'888'963'407U;
    const auto from = static_cast<std::uint32_t>((aSeed >> 40U) % 5);
    const bool toy = ((aSeed >> 50U) & 1U) == 0;
    plan.holds.push_back(holdOf(engine, toy ? "toy" : "other", from));
  }
  return plan;
}

void
apply(World& aWorld,
      const Step& aStep,
      const std::vector<EndpointInfo>& aEngines)
{
  const std::size_t engine = aStep.first % aWorld.engines();
  const std::size_t placer = aStep.second % aWorld.placers();
  const bool anyInFlight = aWorld.ordersInFlight() > 0;
  switch (aStep.action) {
    case Action::Advance:
      aWorld.clock.advance(milliseconds{ 100 + aStep.first * 3 });
      return;
    case Action::RefreshView:
      aWorld.refreshView(placer, engine);
      return;
    case Action::SendOrders:
      aWorld.sendOrders(placer);
      return;
    case Action::Deliver:
    case Action::DeliverUnanswered:
      if (anyInFlight) {
        aWorld.deliver(aStep.first % aWorld.ordersInFlight(),
                       aStep.action == Action::Deliver);
      }
      return;
    case Action::Drop:
      if (anyInFlight) {
        aWorld.drop(aStep.first % aWorld.ordersInFlight());
      }
      return;
    case Action::FinishLoad:
      aWorld.finishLoad(engine);
      return;
    case Action::Restart:
      aWorld.restart(engine);
      return;
    case Action::TakeOver:
      aWorld.takeOver(planFrom(aEngines, aStep.first));
      return;
  }
}

// Orders arrive late, out of order or not at all, answers are lost, sides are
// replaced, and former lease holders with other plans resume and send orders.
// No order that takes effect may leave a layer without a copy. Once the faults
// stop, the newest plan is executed, except for loads that are blocked.
RC_GTEST_PROP(PlacementStep, noOrderDropsTheLastCopyAndPlansAreExecuted, ())
{
  const int copies = *rc::gen::inRange(1, 5);
  std::vector<EndpointInfo> engines;
  for (int i = 0; i < copies; ++i) {
    for (const char* model : { "toy", "other" }) {
      engines.push_back(engineOf(i * 4, model, 0));
      engines.push_back(engineOf(i * 4 + 1, model, 4));
    }
  }
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].name = "engine-" + std::to_string(i);
  }
  const auto minCopies = *rc::gen::inRange<std::uint32_t>(1, 3);
  World world{ configurationOf(minCopies), engines };
  world.takeOver(planFrom(engines, 1));
  for (const Step& step : *steps()) {
    apply(world, step, engines);
    RC_ASSERT(world.uncovered() == 0);
  }
  run(world, 120);
  RC_ASSERT(world.uncovered() == 0);
  RC_ASSERT(world.planCompleted() || world.newest().step.blocked() > 0);
}

} // namespace
} // namespace poplartrack
