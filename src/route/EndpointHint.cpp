#include "poplartrack/route/EndpointHint.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** Time constant of the smoothing over hints, in microseconds. Hints arrive
 * with probes every second or with tokens every millisecond. */
constexpr double kHintTimeConstantMicros = 2e6;
/** Maximum weight of one hint, however long ago the one before was: each hint
 * is only a snapshot. */
constexpr double kMaxHintWeight = 0.4;
/** Rate, relative to the weight of a hint, at which the largest batch size seen
 * decays towards the current one. */
constexpr double kBatchDecay = 0.05;

} // namespace

void
applyHint(const EndpointInfo& aInfo,
          const RoutePolicy& aPolicy,
          EndpointRecord& aRecord)
{
  const LoadHint& hint = aInfo.load;
  if (aInfo.loadReportedAt == aRecord.hintReportedAt || hint.stepMicros == 0) {
    return;
  }
  const double since = static_cast<double>(
    (aInfo.loadReportedAt - aRecord.hintReportedAt).count());
  const double weight =
    std::min(kMaxHintWeight, 1 - std::exp(-since / kHintTimeConstantMicros));
  aRecord.hintReportedAt = aInfo.loadReportedAt;
  aRecord.inFlightAtHint = aRecord.inFlight;
  const double step =
    static_cast<double>(hint.stepMicros) / std::max(1U, aInfo.holds.size());
  const double unit = step / (aPolicy.batchKnee +
                              std::max(1.0, static_cast<double>(hint.running)));
  const double wait = static_cast<double>(hint.queued) /
                      std::max(1.0, static_cast<double>(hint.running));
  // One snapshot of a queue is mostly noise. Without smoothing, all entries
  // would follow the same noise until the next hint.
  const bool first = aRecord.unitMicros == 0;
  const double updateWeight = first ? 1 : weight;
  aRecord.unitMicros += updateWeight * (unit - aRecord.unitMicros);
  if (hint.attempts > 0) {
    const double seen = static_cast<double>(hint.running + hint.queued);
    const double activeFraction =
      std::clamp(seen / hint.attempts, kMinActiveFraction, 1.0);
    const double activeWeight = aRecord.activeFraction == 0 ? 1 : weight;
    aRecord.activeFraction +=
      activeWeight * (activeFraction - aRecord.activeFraction);
  }
  const double running = hint.running;
  if (hint.queued > 0) {
    // A batch that started while the queue was short is not full. The largest
    // batch seen is taken as the size of a full one, and decays slowly.
    aRecord.batchSize += kBatchDecay * weight * (running - aRecord.batchSize);
    aRecord.batchSize = std::max(aRecord.batchSize, running);
  }
  aRecord.queueRatio += updateWeight * (wait - aRecord.queueRatio);
}

void
applyAnswer(const EndpointInfo& aInfo, EndpointRecord& aRecord)
{
  if (aRecord.onlySilent && aInfo.loadReportedAt > aRecord.failedAt) {
    aRecord.failures = 0;
    aRecord.backoffUntil = TimePoint{};
    aRecord.onlySilent = false;
  }
}

Fitness
fitnessOf(const EndpointInfo& aInfo,
          const EndpointRecord& aRecord,
          TimePoint aNow)
{
  if (aInfo.draining) {
    return Fitness::Unfit;
  }
  if (isLastResort(aInfo)) {
    return Fitness::BackingOff;
  }
  if (aRecord.failures == 0) {
    return Fitness::Fit;
  }
  // After the backoff the endpoint gets one attempt at a time until one
  // succeeds: several attempts would fail together if it is still faulty.
  const bool trialOpen = aRecord.inFlight > 0;
  return aNow < aRecord.backoffUntil || trialOpen ? Fitness::BackingOff
                                                  : Fitness::Fit;
}

} // namespace poplartrack
