#pragma once

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "poplartrack/route/RouteChooser.h"

namespace poplartrack::bench {

/** How a baseline picks among the endpoints that hold the next layer. */
enum class BaselineRule
{
  Random,
  RoundRobin,
  /** Least attempts as last reported. */
  LeastLoaded,
};

/**
 * The named baselines: stage by stage, an endpoint that holds the next layer
 * runs all it holds from there. They skip leaving endpoints and, for 1 s, those
 * that failed, as an ordinary balancer does.
 */
class BaselineChooser
{
public:
  BaselineChooser(BaselineRule aRule, std::uint64_t aSeed)
    : rule(aRule)
    , random(aSeed)
  {
  }

  Result<RoutePlan> choose(const EndpointView& aView,
                           const RouteQuery& aQuery,
                           TimePoint aNow)
  {
    RoutePlan plan;
    std::uint32_t layer = 0;
    while (layer < aQuery.layers) {
      const EndpointInfo* next = this->pick(aView, aQuery, layer, aNow);
      if (next == nullptr) {
        return fail(ErrorKind::NoRoute, "baseline");
      }
      const LayerRange runs{ layer, next->holds.to };
      plan.route.push_back(
        RouteStage{ next->name, next->incarnation, next->address, runs });
      layer = next->holds.to;
    }
    return plan;
  }

  void onRouteStarted(const Route&, TimePoint) {}
  void onRouteEnded(const Route&, bool, TimePoint) {}
  void onToken(const Route&, Duration, TimePoint) {}
  void onStalled(const Route&, TimePoint) {}
  void onEndpointFailed(const std::string& aName, TimePoint aNow)
  {
    this->restsUntil[aName] = aNow + std::chrono::seconds{ 1 };
  }

private:
  const EndpointInfo* pick(const EndpointView& aView,
                           const RouteQuery& aQuery,
                           std::uint32_t aLayer,
                           TimePoint aNow)
  {
    std::vector<const EndpointInfo*> fit;
    for (const EndpointInfo& info : aView.endpoints) {
      const bool holds =
        info.holds.from <= aLayer && aLayer < info.holds.to && !info.draining;
      const auto rests = this->restsUntil.find(info.name);
      const bool resting =
        rests != this->restsUntil.end() && aNow < rests->second;
      if (holds && !resting && !aQuery.avoid.contains(info.name)) {
        fit.push_back(&info);
      }
    }
    if (fit.empty()) {
      return nullptr;
    }
    if (this->rule == BaselineRule::Random) {
      return fit[this->random() % fit.size()];
    }
    if (this->rule == BaselineRule::RoundRobin) {
      return fit[this->turns[aLayer]++ % fit.size()];
    }
    const EndpointInfo* best = fit.front();
    for (const EndpointInfo* info : fit) {
      if (info->load.attempts < best->load.attempts) {
        best = info;
      }
    }
    return best;
  }

  BaselineRule rule;
  std::mt19937_64 random;
  std::unordered_map<std::uint32_t, std::uint64_t> turns;
  std::unordered_map<std::string, TimePoint> restsUntil;
};

} // namespace poplartrack::bench
