#include "poplartrack/route/EndpointHint.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** Failures in a row, as counted by probes, that make an endpoint a suspect. */
constexpr std::uint32_t kSuspectFailures = 2;
/** Time constant of what is smoothed over hints: they come with probes each
 * second or with tokens each millisecond. */
constexpr double kHintSmoothMicros = 2e6;
/** However rare they are, one alone is one snapshot. */
constexpr double kMostHintWeight = 0.4;
constexpr double kBatchFade = 0.05;

} // namespace

void
takeHint(const EndpointInfo& aInfo,
         const RoutePolicy& aPolicy,
         EndpointRecord& aRecord)
{
  const LoadHint& hint = aInfo.load;
  if (aInfo.loadReportedAt == aRecord.hintHeard || hint.stepMicros == 0) {
    return;
  }
  const double since =
    static_cast<double>((aInfo.loadReportedAt - aRecord.hintHeard).count());
  const double share =
    std::min(kMostHintWeight, 1 - std::exp(-since / kHintSmoothMicros));
  aRecord.hintHeard = aInfo.loadReportedAt;
  aRecord.inFlightAtHint = aRecord.inFlight;
  const double step =
    static_cast<double>(hint.stepMicros) / std::max(1U, aInfo.holds.size());
  const double unit = step / (aPolicy.batchKnee +
                              std::max(1.0, static_cast<double>(hint.running)));
  const double wait = static_cast<double>(hint.queued) /
                      std::max(1.0, static_cast<double>(hint.running));
  // One snapshot of a queue is mostly noise, and all entries would follow the
  // same noise for as long as the hint stands.
  const bool first = aRecord.unitMicros == 0;
  const double newest = first ? 1 : share;
  aRecord.unitMicros += newest * (unit - aRecord.unitMicros);
  if (hint.attempts > 0) {
    const double seen = static_cast<double>(hint.running + hint.queued);
    const double presence =
      std::clamp(seen / hint.attempts, kLeastPresence, 1.0);
    const double weight = aRecord.presence == 0 ? 1 : share;
    aRecord.presence += weight * (presence - aRecord.presence);
  }
  const double running = hint.running;
  if (hint.queued > 0) {
    // Batches that started while the queue was short are not full: the largest
    // one seen tells the size, and is slowly forgotten.
    aRecord.batch += kBatchFade * share * (running - aRecord.batch);
    aRecord.batch = std::max(aRecord.batch, running);
  }
  aRecord.waitRatio += newest * (wait - aRecord.waitRatio);
}

Fitness
fitnessOf(const EndpointInfo& aInfo,
          const EndpointRecord& aRecord,
          TimePoint aNow)
{
  if (aInfo.draining) {
    return Fitness::Unfit;
  }
  if (aInfo.failures >= kSuspectFailures) {
    return Fitness::BackingOff;
  }
  if (aRecord.failures == 0) {
    return Fitness::Fit;
  }
  // After its rest a suspect gets one attempt at a time until one goes well:
  // more would be lost together if it is still ill.
  const bool trialOpen = aRecord.inFlight > 0;
  return aNow < aRecord.restsUntil || trialOpen ? Fitness::BackingOff
                                                : Fitness::Fit;
}

} // namespace poplartrack
