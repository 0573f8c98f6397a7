#include "poplartrack/fleet/PathFinder.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "FleetSamples.h"

namespace poplartrack {
namespace {

using namespace fleettest;

std::vector<PathCandidate>
candidatesOf(const std::vector<Replica>& aReplicas)
{
  std::vector<PathCandidate> candidates;
  candidates.reserve(aReplicas.size());
  for (const Replica& replica : aReplicas) {
    candidates.push_back(PathCandidate{ &replica, {}, 1 });
  }
  return candidates;
}

PathDemand
demandIn(const std::string& aZone)
{
  PathDemand demand;
  demand.promptTokens = 800;
  demand.answerTokens = 200;
  demand.zone = aZone;
  return demand;
}

/** Returns a complete copy in each of two zones. */
std::vector<Replica>
twoZones()
{
  return { holding("a1", "a", { 0, 7 }),   holding("a2", "a", { 7, 14 }),
           holding("a3", "a", { 14, 20 }), holding("b1", "b", { 0, 7 }),
           holding("b2", "b", { 7, 14 }),  holding("b3", "b", { 14, 20 }) };
}

TEST(PathFinder, StaysInTheRelaysZone)
{
  const auto replicas = twoZones();
  const auto path =
    findPath(smallProfile(), candidatesOf(replicas), demandIn("b"));
  ASSERT_TRUE(path);
  ASSERT_EQ(path.value().parts.size(), 3U);
  EXPECT_EQ(path.value().parts[0].replica, "b1");
  EXPECT_EQ(path.value().parts[2].replica, "b3");
}

// Guards against requests that queue for a slot of a replica with free memory,
// and are refused there later, while another zone has free slots.
TEST(PathFinder, BeginsWhereASlotIsFree)
{
  const auto replicas = twoZones();
  auto candidates = candidatesOf(replicas);
  ReplicaLoad full;
  full.requests = 8;
  full.pathStarts = 8;
  candidates[0].load = full;
  const auto path = findPath(smallProfile(), candidates, demandIn("a"));
  ASSERT_TRUE(path);
  EXPECT_EQ(path.value().parts[0].replica, "b1");

  candidates[3].load = full;
  const auto none = findPath(smallProfile(), candidates, demandIn("a"));
  ASSERT_FALSE(none);
  EXPECT_EQ(none.error().kind, ErrorKind::Overloaded);

  PathDemand running = demandIn("a");
  running.firstReplica = "a1";
  EXPECT_TRUE(findPath(smallProfile(), candidates, running));
}

TEST(PathFinder, TellsWhatOtherRequestsAddToTheForecast)
{
  // Without it, a long prompt looks like a long queue.
  const auto replicas = twoZones();
  auto candidates = candidatesOf(replicas);
  PathDemand demand = demandIn("a");
  const auto idle = findPath(smallProfile(), candidates, demand);
  ASSERT_TRUE(idle);
  EXPECT_EQ(idle.value().queued, Duration{ 0 });
  EXPECT_EQ(idle.value().idlePerToken, idle.value().perToken);

  demand.avoided = { "b1" };
  candidates[1].load.requests = 4;
  candidates[1].load.prefillTokens = 100;
  const auto busy = findPath(smallProfile(), candidates, demand);
  ASSERT_TRUE(busy);
  EXPECT_GT(busy.value().queued, Duration{ 0 });
  EXPECT_GE(busy.value().firstToken - busy.value().queued,
            idle.value().firstToken);
  EXPECT_GT(busy.value().perToken, idle.value().perToken);
  EXPECT_EQ(busy.value().idlePerToken, idle.value().idlePerToken);
}

TEST(PathFinder, AvoidsReplicasOnRequest)
{
  const auto replicas = twoZones();
  PathDemand demand = demandIn("a");
  demand.avoided = { "a2" };
  const auto path = findPath(smallProfile(), candidatesOf(replicas), demand);
  ASSERT_TRUE(path);
  for (const PathPart& part : path.value().parts) {
    EXPECT_NE(part.replica, "a2");
  }
}

TEST(PathFinder, DoesNotBeginWhereAReplicaTakesNoMoreRequests)
{
  // Streams that move to a replica whose rate limit is used up.
  const auto replicas = twoZones();
  auto candidates = candidatesOf(replicas);
  candidates[0].takesRequests = false;
  for (const bool started : { false, true }) {
    PathDemand demand = demandIn("a");
    demand.started = started;
    const auto path = findPath(smallProfile(), candidates, demand);
    ASSERT_TRUE(path);
    EXPECT_EQ(path.value().parts[0].replica, "b1");
  }
  PathDemand running = demandIn("a");
  running.firstReplica = "a1";
  EXPECT_TRUE(findPath(smallProfile(), candidates, running));
}

/** Returns how often a path changes its zone. */
std::size_t
crossingsOf(const LayerPath& aPath)
{
  std::size_t crossings = 0;
  for (std::size_t i = 1; i < aPath.parts.size(); ++i) {
    crossings +=
      aPath.parts[i].replica[0] == aPath.parts[i - 1].replica[0] ? 0 : 1;
  }
  return crossings;
}

TEST(PathFinder, CrossesZonesAtMostOnceForAMissingPart)
{
  // The part [7, 14) of b is lost, and a has a complete copy. A caller of zone
  // b must not wait for the link between the zones more often than necessary.
  auto replicas = twoZones();
  replicas.erase(replicas.begin() + 4);
  const auto path =
    findPath(smallProfile(), candidatesOf(replicas), demandIn("b"));
  ASSERT_TRUE(path);
  EXPECT_TRUE(isValidPath(path.value(), replicas, 20));
  EXPECT_LE(crossingsOf(path.value()), 1U);
}

TEST(PathFinder, CrossesZonesWhenNoZoneHasACompleteCopy)
{
  const std::vector<Replica> replicas{ holding("a1", "a", { 0, 5 }),
                                       holding("a2", "a", { 5, 10 }),
                                       holding("b1", "b", { 9, 15 }),
                                       holding("b2", "b", { 15, 20 }) };
  const auto path =
    findPath(smallProfile(), candidatesOf(replicas), demandIn("b"));
  ASSERT_TRUE(path);
  EXPECT_TRUE(isValidPath(path.value(), replicas, 20));
  EXPECT_EQ(crossingsOf(path.value()), 1U);
}

TEST(PathFinder, CrossesOnlyOpenLinks)
{
  // The budget of the link between the zones is used up. A request that has
  // only a path through both zones is refused at once; otherwise it would wait
  // behind the link's queue until its caller left.
  const std::vector<Replica> replicas{ holding("a1", "a", { 0, 5 }),
                                       holding("a2", "a", { 5, 10 }),
                                       holding("b1", "b", { 10, 15 }),
                                       holding("b2", "b", { 15, 20 }) };
  PathDemand demand = demandIn("b");
  const auto path = findPath(smallProfile(), candidatesOf(replicas), demand);
  ASSERT_TRUE(path);
  EXPECT_EQ(path.value().crossings,
            std::vector<ZonePair>{ zonePair("b", "a") });
  demand.closedLinks.insert(zonePair("a", "b"));
  const auto none = findPath(smallProfile(), candidatesOf(replicas), demand);
  ASSERT_FALSE(none);
  EXPECT_EQ(none.error().kind, ErrorKind::Overloaded);
}

TEST(PathFinder, CrossesAFastLinkRatherThanCrowdTheOnlyCompleteCopy)
{
  // Zone b has lost the replica of its first layers; the rest of its copy is
  // idle while callers of both zones crowd a's. Over a fast link the prompt's
  // activations take 4 ms: the path takes a's first part and continues in b.
  // Over a slow one they occupy the shared link for 64 ms, and the path stays
  // in a.
  auto replicas = twoZones();
  replicas.erase(replicas.begin() + 3);
  auto candidates = candidatesOf(replicas);
  candidates[1].load.prefillTokens = 900;
  candidates[2].load.prefillTokens = 900;
  EngineProfile profile = smallProfile();
  profile.linkMbps = 32'000;
  const auto fast = findPath(profile, candidates, demandIn("b"));
  ASSERT_TRUE(fast);
  EXPECT_EQ(fast.value().crossings.size(), 1U);
  profile.linkMbps = 2'000;
  const auto slow = findPath(profile, candidates, demandIn("b"));
  ASSERT_TRUE(slow);
  EXPECT_TRUE(slow.value().crossings.empty());
}

TEST(PathFinder, KeepsToMaxCrossingsUnlessTheLayersRequireMore)
{
  // Each zone lacks a layer range. From a, a path could also cross to b and
  // back, but its prompt would occupy a link twice where one crossing is
  // enough.
  const std::vector<Replica> replicas{
    holding("a1", "a", { 0, 6 }),   holding("a2", "a", { 10, 15 }),
    holding("a3", "a", { 15, 20 }), holding("b1", "b", { 4, 12 }),
    holding("c1", "c", { 6, 13 }),  holding("c2", "c", { 13, 20 })
  };
  PathDemand demand = demandIn("a");
  demand.maxCrossings = 1;
  auto candidates = candidatesOf(replicas);
  candidates[4].load.prefillTokens = 9'000;
  const auto path = findPath(smallProfile(), candidates, demand);
  ASSERT_TRUE(path);
  EXPECT_EQ(path.value().crossings.size(), 1U);
  // Without c, every path crosses twice, so two crossings are allowed.
  candidates.resize(4);
  const auto twice = findPath(smallProfile(), candidates, demand);
  ASSERT_TRUE(twice);
  EXPECT_EQ(twice.value().crossings.size(), 2U);
}

TEST(PathFinder, CrossesTheIdleLink)
{
  const std::vector<Replica> replicas{
    holding("a1", "a", { 0, 5 }),   holding("a2", "a", { 5, 10 }),
    holding("b1", "b", { 10, 15 }), holding("b2", "b", { 15, 20 }),
    holding("c1", "c", { 10, 15 }), holding("c2", "c", { 15, 20 })
  };
  PathDemand demand = demandIn("a");
  for (const std::string busy : { "b", "c" }) {
    demand.linkWaits = { { zonePair("a", busy),
                           std::chrono::milliseconds{ 100 } } };
    const auto path = findPath(smallProfile(), candidatesOf(replicas), demand);
    ASSERT_TRUE(path);
    EXPECT_EQ(path.value().crossings,
              std::vector<ZonePair>{ zonePair("a", busy == "b" ? "c" : "b") });
  }
}

TEST(PathFinder, ReservesTheMemoryThatRequestsUseAndNoMore)
{
  // Requests arrive until one is refused. Their answers are as long as expected
  // and at evenly spread points of progress. What they hold must fit the
  // replica's memory, or the newest streams are preempted. A refusal while much
  // of the memory is free is a fault too.
  const EngineProfile profile = smallProfile();
  const std::vector<Replica> replicas{ holding("a1", "a", { 0, 6 }),
                                       holding("a2", "a", { 6, 13 }),
                                       holding("a3", "a", { 13, 20 }) };
  auto candidates = candidatesOf(replicas);
  const PathDemand demand = demandIn("a");
  std::vector<double> held;
  while (findPath(profile, candidates, demand)) {
    for (PathCandidate& candidate : candidates) {
      ++candidate.load.requests;
      candidate.load.tokenLayers +=
        (demand.promptTokens + demand.answerTokens) *
        candidate.replica->layers->size();
    }
    held.push_back(0);
  }
  double tokens = 0;
  for (std::size_t i = 0; i < held.size(); ++i) {
    const double progress =
      (static_cast<double>(i) + 0.5) / static_cast<double>(held.size());
    tokens += demand.promptTokens + demand.answerTokens * progress;
  }
  // The part with seven layers is the fullest.
  const double capacity = tokenLayerCapacity(profile, replicas[1]) / 7;
  EXPECT_LE(tokens, capacity);
  EXPECT_GE(tokens + demand.promptTokens + demand.answerTokens,
            0.85 * capacity);
}

TEST(PathFinder, FailsWithNoRouteWhenALayerIsNotHeld)
{
  const std::vector<Replica> replicas{ holding("a1", "a", { 0, 10 }),
                                       holding("a2", "a", { 11, 20 }) };
  const auto path =
    findPath(smallProfile(), candidatesOf(replicas), demandIn("a"));
  ASSERT_FALSE(path);
  EXPECT_EQ(path.error().kind, ErrorKind::NoRoute);
}

TEST(PathFinder, AvoidsReplicasWithoutMemoryForTheRequest)
{
  // Preempted requests need a new prefill in the middle of their streams, so a
  // part without memory must be treated as missing.
  const auto replicas = twoZones();
  auto candidates = candidatesOf(replicas);
  const EngineProfile profile = smallProfile();
  candidates[1].load.tokenLayers = tokenLayerCapacity(profile, replicas[1]);
  const auto path = findPath(profile, candidates, demandIn("a"));
  ASSERT_TRUE(path);
  EXPECT_TRUE(isValidPath(path.value(), replicas, 20));
  for (const PathPart& part : path.value().parts) {
    EXPECT_NE(part.replica, "a2");
  }
  candidates[4].load.tokenLayers = tokenLayerCapacity(profile, replicas[4]);
  const auto none = findPath(profile, candidates, demandIn("a"));
  ASSERT_FALSE(none);
  EXPECT_EQ(none.error().kind, ErrorKind::Overloaded);
}

TEST(PathFinder, AStartedStreamMayReserveMoreMemory)
{
  // A stream whose replica was lost breaks off when no path has memory for it.
  // It may therefore reserve memory that new requests may not.
  const auto replicas = twoZones();
  auto candidates = candidatesOf(replicas);
  const EngineProfile profile = smallProfile();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].load.tokenLayers =
      0.8 * tokenLayerCapacity(profile, replicas[i]);
  }
  PathDemand demand = demandIn("a");
  EXPECT_FALSE(findPath(profile, candidates, demand));
  demand.started = true;
  EXPECT_TRUE(findPath(profile, candidates, demand));
}

TEST(PathFinder, AvoidsACopyWithManyPromptsInPrefill)
{
  // Tokens of running streams share the batches of a prefill: several large
  // prompts in one copy lengthen the pauses of every stream there.
  const auto replicas = twoZones();
  auto candidates = candidatesOf(replicas);
  for (std::size_t i = 0; i < 3; ++i) {
    candidates[i].load.prefillTokens = 4'000;
  }
  const auto path = findPath(smallProfile(), candidates, demandIn("a"));
  ASSERT_TRUE(path);
  EXPECT_EQ(path.value().parts[0].replica, "b1");
}

// Guards against streams that lose the same replica and all prefill at the same
// new one, which delays their next events.
TEST(PathFinder, AMovedStreamAvoidsPromptsInPrefillMore)
{
  const std::vector<Replica> replicas{ holding("a1", "a", { 0, 7 }),
                                       holding("a2", "a", { 7, 14 }),
                                       holding("a3", "a", { 14, 20 }),
                                       holding("slow", "a", { 7, 14 }) };
  auto candidates = candidatesOf(replicas);
  candidates[3].slowdown = 2;
  PathDemand demand = demandIn("a");
  const auto second = [&] {
    const auto path = findPath(smallProfile(), candidates, demand);
    return path ? path.value().parts[1].replica : std::string{};
  };
  double& backlog = candidates[1].load.prefillTokens;
  while (second() == "a2") {
    backlog += 100;
  }
  backlog *= 0.75;
  EXPECT_EQ(second(), "a2");
  demand.moved = true;
  EXPECT_EQ(second(), "slow");
}

TEST(PathFinder, KeepsTheFirstReplicaOfARunningRequest)
{
  auto replicas = twoZones();
  PathDemand demand = demandIn("a");
  demand.firstReplica = "b1";
  const auto path = findPath(smallProfile(), candidatesOf(replicas), demand);
  ASSERT_TRUE(path);
  EXPECT_EQ(path.value().parts[0].replica, "b1");
}

// Guards against a process that ends because an entry of the replica list, or a
// release notice, names layers that the model does not have.
TEST(PathFinder, LayersThatTheModelDoesNotHaveAreNotUsed)
{
  const auto replicas = twoZones();
  for (const LayerRange odd : { LayerRange{ 0, 1'000'000 },
                                LayerRange{ 900'000, 1'000'000 },
                                LayerRange{ 0, 21 } }) {
    const Replica other = holding("odd", "a", odd);
    auto candidates = candidatesOf(replicas);
    candidates.push_back(PathCandidate{ &other, {}, 1 });
    const auto path = findPath(smallProfile(), candidates, demandIn("a"));
    ASSERT_TRUE(path) << odd.from << "-" << odd.to;
    EXPECT_TRUE(isValidPath(path.value(), replicas, 20));

    candidates.back() = PathCandidate{ &replicas[0], {}, 1, true, odd };
    EXPECT_TRUE(findPath(smallProfile(), candidates, demandIn("b")));
    candidates.back().usable = LayerRange{ 20, 5 };
    EXPECT_TRUE(findPath(smallProfile(), candidates, demandIn("b")));
  }
}

RC_GTEST_PROP(PathFinder,
              RunsEachLayerOnceWhateverIsHeld,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& aHeld))
{
  std::vector<Replica> replicas;
  for (const auto& [from, size] : aHeld) {
    const std::uint32_t first = from % 20;
    const std::uint32_t last =
      std::min<std::uint32_t>(first + 1 + size % 12, 20);
    replicas.push_back(holding("r" + std::to_string(replicas.size()),
                               replicas.size() % 2 == 0 ? "a" : "b",
                               { first, last }));
  }
  auto candidates = candidatesOf(replicas);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    // Some have memory for a few layers of the request only.
    candidates[i].load.tokenLayers =
      tokenLayerCapacity(smallProfile(), replicas[i]) *
      (i % 3 == 0 ? 0.5 : 0.0);
  }
  const auto path = findPath(smallProfile(), candidates, demandIn("a"));
  if (path) {
    RC_ASSERT(isValidPath(path.value(), replicas, 20));
  }
}

} // namespace
} // namespace poplartrack
