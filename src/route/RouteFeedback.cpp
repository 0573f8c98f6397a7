#include "poplartrack/route/RouteChooser.h"

#include <algorithm>
#include <cmath>

// The part of RouteChooser that learns from the entry's own traffic.

namespace poplartrack {
namespace {

/** Exponent by which the gap of one token changes the learnt slowness of all
 * stages together. */
constexpr double kSlownessRate = 0.02;
/** Smoothing factor of RouteChooser::gapRatio per token, and its range. Steps
 * that arrive while a batch runs wait for its end. No stage is slow then, but
 * deadlines and timeouts must include this wait. */
constexpr double kGapRatioRate = 0.002;
constexpr double kMinGapRatio = 0.5;
constexpr double kMaxGapRatio = 5;
/** Gaps up to this multiple of the expected ones, corrected by
 * RouteChooser::gapRatio, do not raise the slowness: they are noise of the
 * queues, and entries that learn from noise react to each other. */
constexpr double kNoiseRatio = 1.5;
/** Factor of one stall on the slowness of all stages together: during a stall
 * there are no tokens from which the slowness could be learnt. */
constexpr double kStallSlowdown = 2;
/** Upper bound of the learnt slowness. */
constexpr double kMaxSlowness = 32;

} // namespace

void
RouteChooser::onRouteStarted(const Route& aRoute, TimePoint aNow)
{
  for (const RouteStage& stage : aRoute) {
    this->onPlainStarted(stage.endpoint, aNow);
  }
}

void
RouteChooser::onRouteEnded(const Route& aRoute, bool aSucceeded, TimePoint aNow)
{
  for (const RouteStage& stage : aRoute) {
    EndpointRecord& record = this->records.at(stage.endpoint, aNow);
    record.inFlight -= std::min(record.inFlight, 1U);
    if (aSucceeded) {
      this->onEndpointSucceeded(stage.endpoint);
    }
  }
}

void
RouteChooser::onToken(const Route& aRoute, Duration aGap, TimePoint aNow)
{
  double expected = 0;
  for (const RouteStage& stage : aRoute) {
    const EndpointRecord& record = this->records.at(stage.endpoint, aNow);
    expected += record.expectedLayerMicros * stage.runs.size();
    expected += record.expectedHopMicros;
  }
  if (expected <= 0 || aGap <= Duration{ 0 }) {
    return;
  }
  const double ratio = static_cast<double>(aGap.count()) / expected;
  this->gapRatio +=
    kGapRatioRate *
    (std::clamp(ratio, kMinGapRatio, kMaxGapRatio) - this->gapRatio);
  const double excess = ratio / (kNoiseRatio * this->gapRatio);
  const double rate = kSlownessRate / static_cast<double>(aRoute.size());
  // The entry cannot measure the time of a single stage, and the hints of a
  // slow endpoint may be wrong, so the slowness of all stages changes alike.
  // Tokens of other routes lower it again for the stages that are not slow.
  for (const RouteStage& stage : aRoute) {
    EndpointRecord& record = this->records.at(stage.endpoint, aNow);
    const double factor =
      excess > 1 ? std::pow(excess, rate) : std::pow(record.slowness, -rate);
    record.slowness = std::clamp(record.slowness * factor, 1.0, kMaxSlowness);
    record.lastUsed = aNow;
  }
}

void
RouteChooser::onStalled(const Route& aRoute, TimePoint aNow)
{
  const double factor =
    std::pow(kStallSlowdown, 1 / static_cast<double>(aRoute.size()));
  for (const RouteStage& stage : aRoute) {
    EndpointRecord& record = this->records.at(stage.endpoint, aNow);
    record.slowness = std::min(record.slowness * factor, kMaxSlowness);
    record.lastUsed = aNow;
  }
}

std::optional<TimePoint>
RouteChooser::onEndpointFailed(std::string_view aEndpoint,
                               TimePoint aNow,
                               LossEvidence aEvidence)
{
  EndpointRecord& record = this->records.at(aEndpoint, aNow);
  const bool isSilence = aEvidence == LossEvidence::Silence;
  record.onlySilent = isSilence && (record.failures == 0 || record.onlySilent);
  record.failedAt = aNow;
  // All work that was in flight when the endpoint failed fails at once and
  // counts as one failure.
  if (record.failures > 0 && aNow < record.backoffUntil) {
    return std::nullopt;
  }
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(record.failures, kMaxDoublings);
  ++record.failures;
  const Duration backoff = this->policy.initialBackoff * (1U << doublings);
  std::uniform_real_distribution<double> randomFactor(
    1.0, 1.0 + this->policy.spread);
  const double jitter = randomFactor(this->random);
  const auto capped =
    static_cast<double>(std::min(backoff, this->policy.maxBackoff).count());
  record.backoffUntil =
    aNow + Duration{ static_cast<std::int64_t>(capped * jitter) };
  return record.backoffUntil;
}

void
RouteChooser::onEndpointSucceeded(std::string_view aEndpoint)
{
  EndpointRecord* record = this->records.find(aEndpoint);
  if (record != nullptr) {
    record->failures = 0;
    record->backoffUntil = TimePoint{};
  }
}

void
RouteChooser::onPlainStarted(const std::string& aEndpoint, TimePoint aNow)
{
  EndpointRecord& record = this->records.at(aEndpoint, aNow);
  ++record.inFlight;
  record.lastUsed = aNow;
}

void
RouteChooser::onPlainEnded(const std::string& aEndpoint,
                           bool aSucceeded,
                           TimePoint aNow,
                           LossEvidence aEvidence)
{
  EndpointRecord& record = this->records.at(aEndpoint, aNow);
  record.inFlight -= std::min(record.inFlight, 1U);
  if (aSucceeded) {
    this->onEndpointSucceeded(aEndpoint);
  } else {
    this->onEndpointFailed(aEndpoint, aNow, aEvidence);
  }
}

} // namespace poplartrack
