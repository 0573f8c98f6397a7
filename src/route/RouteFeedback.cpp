#include "poplartrack/route/RouteChooser.h"

#include <algorithm>
#include <cmath>

// What the chooser learns from its own traffic.

namespace poplartrack {
namespace {

/** How fast learnt slowness follows one token's gap. */
constexpr double kLearningRate = 0.02;
/** How fast the general pace follows one token's gap, and its range. Steps that
 * arrive while a batch runs wait for its end: no stage is slow, but deadlines
 * and patience must count it. */
constexpr double kPaceRate = 0.002;
constexpr double kLeastPace = 0.5;
constexpr double kMostPace = 5;
/** Gaps up to this multiple of what was expected teach nothing: they are the
 * noise of queues, and learning from noise makes entries chase each other. */
constexpr double kNoise = 1.5;
/** What one stall adds to the slowness of all stages together: no token comes
 * from which it could be learnt. */
constexpr double kStallFactor = 2;
constexpr double kMostSlowness = 32;

} // namespace

void
RouteChooser::onRouteStarted(const Route& aRoute, TimePoint aNow)
{
  for (const RouteStage& stage : aRoute) {
    this->onPlainStarted(stage.endpoint, aNow);
  }
}

void
RouteChooser::onRouteEnded(const Route& aRoute, bool aWell, TimePoint aNow)
{
  for (const RouteStage& stage : aRoute) {
    EndpointRecord& record = this->known.at(stage.endpoint, aNow);
    record.inFlight -= std::min(record.inFlight, 1U);
    if (aWell) {
      this->onEndpointSucceeded(stage.endpoint);
    }
  }
}

void
RouteChooser::onToken(const Route& aRoute, Duration aGap, TimePoint aNow)
{
  double expected = 0;
  for (const RouteStage& stage : aRoute) {
    const EndpointRecord& record = this->known.at(stage.endpoint, aNow);
    expected += record.expectedMicros * stage.runs.size();
    expected += record.expectedHopMicros;
  }
  if (expected <= 0 || aGap <= Duration{ 0 }) {
    return;
  }
  const double ratio = static_cast<double>(aGap.count()) / expected;
  this->pace +=
    kPaceRate * (std::clamp(ratio, kLeastPace, kMostPace) - this->pace);
  const double excess = ratio / (kNoise * this->pace);
  const double rate = kLearningRate / static_cast<double>(aRoute.size());
  // Nobody sees a single stage's time from here, and what a liar expects says
  // nothing: all stages are blamed alike. The many good tokens of its other
  // routes clear an innocent one again.
  for (const RouteStage& stage : aRoute) {
    EndpointRecord& record = this->known.at(stage.endpoint, aNow);
    const double factor =
      excess > 1 ? std::pow(excess, rate) : std::pow(record.slowness, -rate);
    record.slowness = std::clamp(record.slowness * factor, 1.0, kMostSlowness);
    record.lastUsed = aNow;
  }
}

void
RouteChooser::onStalled(const Route& aRoute, TimePoint aNow)
{
  const double factor =
    std::pow(kStallFactor, 1 / static_cast<double>(aRoute.size()));
  for (const RouteStage& stage : aRoute) {
    EndpointRecord& record = this->known.at(stage.endpoint, aNow);
    record.slowness = std::min(record.slowness * factor, kMostSlowness);
    record.lastUsed = aNow;
  }
}

void
RouteChooser::onEndpointFailed(std::string_view aEndpoint, TimePoint aNow)
{
  EndpointRecord& record = this->known.at(aEndpoint, aNow);
  // What was in flight when it fell fails all at once: one failure, not many.
  if (record.failures > 0 && aNow < record.restsUntil) {
    return;
  }
  constexpr std::uint32_t kMostDoublings = 16;
  const std::uint32_t doublings = std::min(record.failures, kMostDoublings);
  ++record.failures;
  const Duration rest = this->policy.firstRest * (1U << doublings);
  std::uniform_real_distribution<double> draw(1.0, 1.0 + this->policy.spread);
  const double spreadOut = draw(this->random);
  const auto capped =
    static_cast<double>(std::min(rest, this->policy.longestRest).count());
  record.restsUntil =
    aNow + Duration{ static_cast<std::int64_t>(capped * spreadOut) };
}

void
RouteChooser::onEndpointSucceeded(std::string_view aEndpoint)
{
  EndpointRecord* record = this->known.find(aEndpoint);
  if (record != nullptr) {
    record->failures = 0;
    record->restsUntil = TimePoint{};
  }
}

void
RouteChooser::onPlainStarted(const std::string& aEndpoint, TimePoint aNow)
{
  EndpointRecord& record = this->known.at(aEndpoint, aNow);
  ++record.inFlight;
  record.lastUsed = aNow;
}

void
RouteChooser::onPlainEnded(const std::string& aEndpoint,
                           bool aWell,
                           TimePoint aNow)
{
  EndpointRecord& record = this->known.at(aEndpoint, aNow);
  record.inFlight -= std::min(record.inFlight, 1U);
  if (aWell) {
    this->onEndpointSucceeded(aEndpoint);
  } else {
    this->onEndpointFailed(aEndpoint, aNow);
  }
}

} // namespace poplartrack
