#include <deque>

#include <gtest/gtest.h>

#include "FleetSamples.h"
#include "LayerFlow.h"
#include "poplartrack/fleet/LayerPlanner.h"
#include "poplartrack/fleet/PathFinder.h"
#include "poplartrack/fleet/ReleaseNotices.h"

namespace poplartrack {
namespace {

using namespace fleettest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** How long each request keeps its memory. */
constexpr Duration kAnswerTime = seconds{ 2 };
constexpr Duration kTick = milliseconds{ 100 };

/** Requests of several zones against replicas that the planner places. */
struct UnevenFleet
{
  struct Running
  {
    TimePoint until;
    LayerPath path;
  };
  struct Change
  {
    TimePoint due;
    LayerOrder order;
  };

  EngineProfile profile = smallProfile();
  std::vector<Replica> replicas;
  /** Requests a second by zone. */
  std::map<std::string, double> demand;
  /** Whether paths with more remaining capacity are preferred. */
  bool spreads = false;
  LayerPlanner planner{ LayerPlannerPolicy{} };
  ReleaseNotices notices;
  LoadTracker loads;
  TimePoint now = TimePoint{} + seconds{ 100 };
  std::deque<Running> running;
  std::vector<Change> loading;
  std::map<std::string, double> due;
  std::size_t crossings = 0;
  std::size_t refused = 0;

  [[nodiscard]] double tokens() const
  {
    return this->profile.meanPromptTokens + this->profile.meanAnswerTokens;
  }
  void place();
  void reportToPlanner();
  void tick();
  void run(Duration aTime)
  {
    for (const TimePoint end = this->now + aTime; this->now < end;) {
      this->tick();
    }
  }
  /** Returns the requests in flight as a share of the max-flow bound. */
  [[nodiscard]] double shareOfBound() const
  {
    std::map<std::string, double> offered;
    for (const auto& [zone, perSecond] : this->demand) {
      offered[zone] =
        perSecond * std::chrono::duration<double>(kAnswerTime).count();
    }
    return static_cast<double>(this->running.size()) /
           LayerFlow{ this->profile, this->replicas, offered }.solve();
  }
};

/** Tells the planner the demand, and the requests through announced layers. */
void
UnevenFleet::reportToPlanner()
{
  ZoneDemand asked;
  for (const auto& [zone, perSecond] : this->demand) {
    asked[zone] = { perSecond * this->profile.meanPromptTokens,
                    perSecond * this->profile.meanAnswerTokens };
  }
  this->planner.setDemand(std::move(asked));
  const auto& open = this->planner.openRelease();
  this->notices.onAnnounced("holder",
                            open ? std::vector<ReleasedLayers>{ open->released }
                                 : std::vector<ReleasedLayers>{},
                            this->now);
  std::map<std::string, std::uint32_t> use;
  if (open) {
    use[open->released.replica] = 0;
  }
  for (const Running& request : this->running) {
    for (const PathPart& part : request.path.parts) {
      if (this->notices.concerns(part.replica, part.layers)) {
        ++use[part.replica];
      }
    }
  }
  this->planner.setReleaseUse(std::move(use));
}

void
UnevenFleet::place()
{
  this->reportToPlanner();
  std::set<std::string> busy;
  for (const auto& [id, load] : this->loads.own()) {
    busy.insert(id);
  }
  for (const LayerOrder& order : this->planner.plan(
         this->profile, this->replicas, false, busy, this->now)) {
    this->loading.push_back(
      { this->now +
          this->profile.loadTime * order.layers.size() / this->profile.layers,
        order });
  }
  std::erase_if(this->loading, [&](const Change& aChange) {
    if (aChange.due > this->now) {
      return false;
    }
    for (Replica& replica : this->replicas) {
      if (replica.id == aChange.order.replica) {
        replica.layers = aChange.order.layers;
      }
    }
    return true;
  });
}

void
UnevenFleet::tick()
{
  this->now += kTick;
  this->place();
  while (!this->running.empty() && this->running.front().until <= this->now) {
    this->loads.remove(this->running.front().path, this->tokens());
    this->running.pop_front();
  }
  for (const auto& [zone, perSecond] : this->demand) {
    double& waiting = this->due[zone];
    waiting += perSecond * std::chrono::duration<double>(kTick).count();
    for (; waiting >= 1; --waiting) {
      std::vector<PathCandidate> candidates;
      for (const Replica& replica : this->replicas) {
        candidates.push_back({ &replica, this->loads.at(replica.id) });
        if (replica.layers) {
          candidates.back().usable =
            this->notices.usable(replica.id, *replica.layers);
        }
      }
      PathDemand request;
      request.promptTokens = this->profile.meanPromptTokens;
      request.answerTokens = this->profile.meanAnswerTokens;
      request.zone = zone;
      request.spreads = this->spreads;
      const auto path = findPath(this->profile, candidates, request);
      if (!path) {
        ++this->refused;
        continue;
      }
      this->crossings += path.value().crossings.size();
      this->loads.add(path.value(), this->tokens());
      this->running.push_back({ this->now + kAnswerTime, path.value() });
    }
  }
}

/** Returns a fleet with one fast and many slow accelerators in each zone. */
UnevenFleet
fastAndSlow(bool aFollowsDemand)
{
  UnevenFleet fleet;
  LayerPlannerPolicy policy;
  policy.followsDemand = aFollowsDemand;
  fleet.spreads = aFollowsDemand;
  fleet.planner = LayerPlanner{ policy };
  fleet.profile.slots = 16;
  fleet.profile.kinds["fast"].memoryMb = 2'600;
  fleet.profile.loadTime = seconds{ 5 };
  for (const std::string zone : { "a", "b", "c" }) {
    fleet.replicas.push_back(replicaOf(zone + "0", zone, "fast"));
    for (int i = 1; i < 13; ++i) {
      fleet.replicas.push_back(
        replicaOf(zone + std::to_string(i), zone, "slow"));
    }
  }
  for (Replica& replica : fleet.replicas) {
    replica.slots = 64;
  }
  return fleet;
}

/** What one run showed: the shares of the bound in the steady state, 20 s after
 * a loss and 20 s after a jump of demand, and all zone crossings. */
struct Outcome
{
  std::vector<double> shares;
  std::size_t crossings = 0;
};

Outcome
runThroughLossAndJump(double aRate, bool aFollowsDemand)
{
  UnevenFleet fleet = fastAndSlow(aFollowsDemand);
  fleet.demand = { { "a", 0 }, { "b", 0 }, { "c", 0 } };
  fleet.run(seconds{ 20 });
  Outcome outcome;
  fleet.demand = { { "a", 0.6 * aRate },
                   { "b", 0.3 * aRate },
                   { "c", 0.1 * aRate } };
  fleet.run(seconds{ 20 });
  outcome.shares.push_back(fleet.shareOfBound());
  std::erase_if(fleet.replicas,
                [](const Replica& aReplica) { return aReplica.id == "a3"; });
  fleet.run(seconds{ 20 });
  outcome.shares.push_back(fleet.shareOfBound());
  std::swap(fleet.demand["a"], fleet.demand["c"]);
  fleet.run(seconds{ 20 });
  outcome.shares.push_back(fleet.shareOfBound());
  outcome.crossings = fleet.crossings;
  return outcome;
}

// Guards against releases and moves of layers that leave capacity idle, or make
// paths leave their zone more often. Rates: a third of the capacity up to more
// than twice as much.
TEST(UnevenFleet, ReachesTheBoundWithoutMoreZoneCrossings)
{
  std::size_t plain = 0;
  std::size_t placed = 0;
  for (const double rate : { 20, 40, 50, 60, 70, 100, 150 }) {
    plain += runThroughLossAndJump(rate, false).crossings;
    const Outcome outcome = runThroughLossAndJump(rate, true);
    placed += outcome.crossings;
    for (const double share : outcome.shares) {
      EXPECT_GE(share, 0.9) << rate;
    }
  }
  EXPECT_LE(placed, plain);
}

/** Returns the requests in flight 20 s after demand has jumped in a zone whose
 * middle layers have one holder and whose first ones have three. */
std::size_t
inFlightAfterJump(bool aFollowsDemand)
{
  UnevenFleet fleet = fastAndSlow(aFollowsDemand);
  // Seven layers are then the share of a slow replica, and none shrinks.
  fleet.profile.slots = 8;
  fleet.replicas = {
    holding("s0", "a", { 0, 7 }),   holding("s1", "a", { 0, 7 }),
    holding("s2", "a", { 0, 7 }),   holding("s3", "a", { 7, 14 }),
    holding("s4", "a", { 14, 20 }), holding("s5", "a", { 14, 20 })
  };
  for (Replica& replica : fleet.replicas) {
    replica.slots = 64;
  }
  fleet.demand = { { "a", 1 } };
  fleet.run(seconds{ 10 });
  EXPECT_EQ(fleet.refused, 0U);
  EXPECT_EQ(fleet.replicas[0].layers, (LayerRange{ 0, 7 }));
  fleet.demand = { { "a", 20 } };
  fleet.run(seconds{ 20 });
  EXPECT_GE(fleet.shareOfBound(), 0.9);
  return fleet.running.size();
}

// Guards against a layout that stays as it is while demand exceeds what its
// scarcest layers carry.
TEST(UnevenFleet, CarriesMoreWithin20SecondsOfAJumpOfDemand)
{
  const std::size_t before = inFlightAfterJump(false);
  EXPECT_EQ(before, 4U);
  EXPECT_GE(inFlightAfterJump(true), 2 * before);
}

} // namespace
} // namespace poplartrack
