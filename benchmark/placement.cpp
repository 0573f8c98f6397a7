/**
 * Time and memory of one plan and one step of placement, by replicas. Columns:
 * a plan from nothing, one when nothing is to change, one after a model's
 * demand has grown a thousandfold, one step of the orders when nothing is to
 * change; plans until nothing moves; moves of the first plan after the surge,
 * and after the loss of one endpoint; load of the busiest layer. Medians of
 * nine runs.
 */
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "poplartrack/place/PlacementPlanner.h"
#include "poplartrack/place/PlacementStep.h"

namespace {

using namespace poplartrack;

constexpr int kRuns = 9;
constexpr std::uint32_t kModels = 17;
constexpr std::uint32_t kLayers = 48;
constexpr std::array kSizes{ 85, 170, 340, 680, 1'000, 2'700 };

struct Region
{
  Configuration configuration;
  std::vector<PlacementEndpoint> endpoints;
  std::map<std::string, double> demand;

  PlacementPlan plan() const
  {
    return planPlacement({ this->configuration, this->endpoints, this->demand },
                         PlacementPolicy{});
  }
  void carryOut(const PlacementPlan& aPlan);
  int settle();
};

void
Region::carryOut(const PlacementPlan& aPlan)
{
  std::map<std::string, const PlannedHold*> holds;
  for (const PlannedHold& hold : aPlan.holds) {
    holds[hold.endpoint] = &hold;
  }
  for (PlacementEndpoint& endpoint : this->endpoints) {
    const auto found = holds.find(endpoint.info.name);
    if (found != holds.end()) {
      endpoint.info.model = found->second->model;
      endpoint.info.modelVersion = found->second->version;
      endpoint.info.holds = found->second->holds;
    }
  }
}

int
Region::settle()
{
  constexpr int kMostPlans = 1'000;
  for (int plans = 1; plans < kMostPlans; ++plans) {
    const PlacementPlan next = this->plan();
    this->carryOut(next);
    if (next.moves == 0) {
      return plans;
    }
  }
  return kMostPlans;
}

Region
regionOf(int aReplicas)
{
  Region region;
  for (std::uint32_t i = 0; i < kModels; ++i) {
    const std::string name = "model-" + std::to_string(i);
    ModelSpec spec;
    spec.layers = kLayers;
    spec.version = "v1";
    spec.minCopies = 1;
    region.configuration.models[name] = spec;
    // Uneven attention: each model is asked for half as often as the last.
    region.demand[name] = 1'000.0 / (1U << std::min(i, 10U));
  }
  for (int i = 0; i < aReplicas; ++i) {
    PlacementEndpoint endpoint;
    endpoint.info.name = "engine-" + std::to_string(i);
    endpoint.info.service = "engine";
    endpoint.info.incarnation = 1;
    endpoint.info.zone = "zone-" + std::to_string(i % 4);
    endpoint.capacityLayers = 12U + 4U * static_cast<std::uint32_t>(i % 4);
    endpoint.speed = 1 << (i % 4);
    region.endpoints.push_back(std::move(endpoint));
  }
  return region;
}

double
medianMillis(const std::function<void()>& aWork)
{
  std::vector<double> times;
  for (int i = 0; i < kRuns; ++i) {
    const auto start = std::chrono::steady_clock::now();
    aWork();
    const std::chrono::duration<double, std::milli> lasted =
      std::chrono::steady_clock::now() - start;
    times.push_back(lasted.count());
  }
  std::sort(times.begin(), times.end());
  return times[kRuns / 2];
}

long
residentKilobytes()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/** One step when every endpoint is known and nothing is to be done: what the
 * placer spends each second on an ordinary day. */
double
stepMillis(const Region& aRegion)
{
  std::vector<EndpointInfo> view;
  for (const PlacementEndpoint& endpoint : aRegion.endpoints) {
    view.push_back(endpoint.info);
  }
  const PlacementPlan plan = aRegion.plan();
  PlacementLimits limits;
  limits.maxPendingFences = static_cast<std::uint32_t>(view.size());
  PlacementStep step{ 1, limits };
  TimePoint now{ std::chrono::seconds{ 100 } };
  for (int round = 0; round < 3; ++round) {
    now += std::chrono::seconds{ 2 };
    for (EndpointInfo& info : view) {
      info.holdsReportedAt = now;
    }
    for (const PlacementOrder& order :
         step.next(aRegion.configuration, plan, view, now)) {
      step.onTaken(order, now);
    }
  }
  return medianMillis(
    [&] { step.next(aRegion.configuration, plan, view, now); });
}

/** Load of the busiest layer when each endpoint spreads its speed evenly over
 * the layers it holds; 1 is all speed used perfectly evenly. Routes can do
 * better: they choose which of its layers an endpoint runs. */
double
worstLoad(const Region& aRegion)
{
  std::map<std::string, std::vector<double>> rates;
  double speed = 0;
  for (const PlacementEndpoint& endpoint : aRegion.endpoints) {
    std::vector<double>& layers = rates[endpoint.info.model];
    layers.resize(kLayers);
    speed += endpoint.speed;
    const LayerRange& holds = endpoint.info.holds;
    for (std::uint32_t at = holds.from; at < holds.to; ++at) {
      layers[at] += endpoint.speed / holds.size();
    }
  }
  double work = 0;
  for (const auto& [model, demand] : aRegion.demand) {
    work += demand * kLayers;
  }
  double worst = 0;
  for (const auto& [model, demand] : aRegion.demand) {
    for (const double rate : rates[model]) {
      worst = std::max(worst, demand * speed / work / rate);
    }
  }
  return worst;
}

void
measure(int aReplicas)
{
  Region empty = regionOf(aReplicas);
  const double first = medianMillis([&] { empty.plan(); });
  Region settled = empty;
  const int plans = settled.settle();
  const double again = medianMillis([&] { settled.plan(); });
  Region surge = settled;
  surge.demand["model-16"] = 2'000;
  const double surged = medianMillis([&] { surge.plan(); });
  const std::uint32_t surgeMoves = surge.plan().moves;
  Region loss = settled;
  loss.endpoints.erase(loss.endpoints.begin());
  const std::uint32_t lossMoves = loss.plan().moves;
  std::printf("%8d %9.2f %9.2f %9.2f %9.2f %7d %6u %6u %6.2f %8ld\n",
              aReplicas,
              first,
              again,
              surged,
              stepMillis(settled),
              plans,
              surgeMoves,
              lossMoves,
              worstLoad(settled),
              residentKilobytes());
}

} // namespace

int
main()
{
  std::printf("%u models of %u layers, 4 kinds of endpoints (speed 1 to 8, "
              "12 to 24 layers), 4 zones\n",
              kModels,
              kLayers);
  std::printf("replicas  empty ms settled ms surge ms   step ms   plans  surge "
              "  loss  worst   max kB\n");
  for (const int replicas : kSizes) {
    measure(replicas);
  }
  return 0;
}
