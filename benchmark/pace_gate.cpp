// Time of the decisions of admission by pace, by the number of kinds of
// requests (routes and urgencies) of a service:
//   build/pace_gate
// Compare with a path search, which each decision follows.
#include <cstdlib>
#include <string>
#include <vector>

#include "decisions/Fit.h"
#include "poplartrack/fleet/PaceEstimate.h"
#include "poplartrack/fleet/PaceGate.h"
#include "poplartrack/fleet/QueueBound.h"

namespace poplartrack::bench {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr int kCalls = 200'000;
constexpr double kNanosPerMicro = 1'000;

PaceRequest
requestOf(const std::string& aRoute, int aUrgency)
{
  PaceRequest request;
  request.service = "model";
  request.route = aRoute;
  request.urgency = aUrgency;
  request.promptTokens = 1'000;
  request.objective = std::chrono::milliseconds{ 500 };
  request.maxPause = std::chrono::milliseconds{ 250 };
  request.maxWait = std::chrono::milliseconds{ 1'000 };
  return request;
}

LayerPath
pathOf(Duration aQueued)
{
  LayerPath path;
  path.queued = aQueued;
  path.firstToken = aQueued + std::chrono::milliseconds{ 100 };
  path.perToken = std::chrono::milliseconds{ 20 };
  path.idlePerToken = std::chrono::milliseconds{ 15 };
  return path;
}

/** A decision about the least urgent kind, which looks at all others: sent, or
 * held back. */
void
gateCost(const char* aTitle, Duration aQueued, bool aSent)
{
  std::vector<Sample> times;
  for (const int kinds : { 1, 3, 10, 30 }) {
    std::vector<std::string> routes;
    routes.reserve(static_cast<std::size_t>(kinds));
    for (int i = 0; i < kinds; ++i) {
      routes.push_back("route-" + std::to_string(i));
    }
    PaceGate gate;
    for (int i = 0; i < kinds; ++i) {
      gate.onRequest(requestOf(routes[static_cast<std::size_t>(i)], i), kStart);
    }
    PaceEstimate estimate;
    estimate.addFirstEvent(
      "replica", Duration{ 100 }, Duration{ 90 }, Duration{ 0 }, kStart);
    const LayerPath path = pathOf(aQueued);
    const PaceRequest last = requestOf(routes.back(), kinds - 1);
    const auto decide = [&] {
      gate.onRequest(last, kStart);
      gate.beginRound();
      const bool behind = gate.isBehindHeld(last);
      const PaceForecast forecast =
        paceForecast(path, estimate.at("replica", kStart), 2, false);
      const PaceCause cause = gate.check(last, forecast, kStart);
      if (cause != PaceCause::None) {
        gate.onHeldBack(last, forecast, cause);
      }
      if (behind || (cause == PaceCause::None) != aSent) {
        std::abort();
      }
    };
    times.push_back(Sample{ static_cast<double>(kinds),
                            kNanosPerMicro * microsPerCall(kCalls, decide) });
  }
  printFit(aTitle, "kinds", "ns", times);
}

void
sampleCost()
{
  PaceEstimate estimate;
  QueueBound bound;
  TimePoint now = kStart;
  const double sample = microsPerCall(kCalls, [&] {
    estimate.addPause(
      "replica", Duration{ 100 }, Duration{ 90 }, Duration{ 0 }, now);
  });
  const double start = microsPerCall(kCalls, [&] {
    now += std::chrono::milliseconds{ 10 };
    bound.onStart("model", now);
  });
  const double excess = microsPerCall(kCalls, [&] {
    now += std::chrono::milliseconds{ 10 };
    bound.onStart("model", now);
    if (bound.requestsOverLimit(
          "model", 1, std::chrono::milliseconds{ 1'200 }, now) > 0) {
      std::abort();
    }
  });
  std::printf("sample %.0f ns, start %.0f ns, bound of a queue %.0f ns\n",
              kNanosPerMicro * sample,
              kNanosPerMicro * start,
              kNanosPerMicro * (excess - start));
}

} // namespace
} // namespace poplartrack::bench

int
main()
{
  using namespace poplartrack::bench;
  gateCost("pace gate: request sent", std::chrono::milliseconds{ 10 }, true);
  gateCost(
    "pace gate: request held back", std::chrono::milliseconds{ 800 }, false);
  sampleCost();
  return 0;
}
