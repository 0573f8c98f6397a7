// Embeds a coordination part in a program of one's own: chooses a route over
// endpoints that one knows. No socket or thread is started.

#include <iostream>

#include "poplartrack/route/RouteChooser.h"

namespace {

using namespace poplartrack;

EndpointInfo
endpoint(const std::string& aName, LayerRange aHolds, std::uint32_t aStepMicros)
{
  EndpointInfo info;
  info.name = aName;
  info.incarnation = 1;
  info.address = "10.0.0.1:7000";
  info.zone = "oslo-a";
  info.region = "oslo";
  info.service = "engine";
  info.model = "pairing-llm";
  info.modelVersion = "v3";
  info.holds = aHolds;
  info.load.stepMicros = aStepMicros;
  return info;
}

} // namespace

int
main()
{
  EndpointView view;
  view.endpoints = { endpoint("a", { 0, 10 }, 4000),
                     endpoint("b", { 6, 16 }, 9000),
                     endpoint("c", { 8, 17 }, 3000),
                     endpoint("d", { 14, 24 }, 5000) };
  constexpr std::uint64_t kSeed = 1;
  Result<RouteChooser> chooser = RouteChooser::create({}, kSeed);
  if (!chooser) {
    std::cerr << describe(chooser.error()) << '\n';
    return 1;
  }
  RouteQuery query;
  query.model = "pairing-llm";
  query.modelVersion = "v3";
  query.layers = 24;
  query.fromZone = "oslo-a";
  query.fromRegion = "oslo";
  query.prefillTokens = 40;
  query.tokensWanted = 64;
  const Result<RoutePlan> plan =
    chooser.value().choose(view, query, SystemClock{}.now());
  if (!plan) {
    std::cerr << describe(plan.error()) << '\n';
    return 1;
  }
  for (const RouteStage& stage : plan.value().route) {
    std::cout << stage.endpoint << " runs layers [" << stage.runs.from << ", "
              << stage.runs.to << ")\n";
  }
  return 0;
}
