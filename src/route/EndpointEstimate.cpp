#include "poplartrack/route/EndpointEstimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace poplartrack {
namespace {

/** An endpoint without a hint is expected to take this fraction of the time of
 * the fastest known one. If it were expected to be as fast as the mean, it
 * would stay idle permanently beside an endpoint that is a little faster than
 * the mean: with one request at a time nothing else makes the chooser try it.
 * The slow start prevents a thundering herd at the new endpoint. */
constexpr double kUntriedCostFactor = 0.8;

/** Half-life, in microseconds, of a learnt slowness without new
 * measurements. */
constexpr double kSlownessHalfLifeMicros = 120e6;

/** Returns the time between two points in microseconds, 0 if it is negative. */
double
microsBetween(TimePoint aFrom, TimePoint aTo)
{
  return static_cast<double>(std::max<std::int64_t>(0, (aTo - aFrom).count()));
}

/** Returns the weight of the endpoint's hint by its age; 0 without a hint. */
double
hintWeight(const EndpointInfo& aInfo,
           const RoutePolicy& aPolicy,
           TimePoint aNow)
{
  if (aInfo.load == LoadHint{}) {
    return 0;
  }
  const double age = microsBetween(aInfo.loadReportedAt, aNow);
  return std::exp2(-age / static_cast<double>(aPolicy.hintHalfLife.count()));
}

/** Returns the learnt slowness, decayed towards 1 since it was last used. */
double
decayedSlowness(const EndpointRecord& aRecord, TimePoint aNow)
{
  const double idle = microsBetween(aRecord.lastUsed, aNow);
  const double part = std::exp2(-idle / kSlownessHalfLifeMicros);
  return std::pow(aRecord.slowness, part);
}

/** Values derived from the hints of all candidates. */
struct HintSummary
{
  /** EndpointRecord::unitMicros that is assumed for an endpoint without a
   * hint. */
  double untriedMicros = 0;
  /** Attempts of all entries per attempt of this entry. */
  double attemptsPerOwn = 1;
  /** Fraction of an endpoint's attempts that have a step running or queued
   * there; the steps of the others are at other stages. */
  double activeFraction = 1;
};

/** Returns whether the endpoint has ever sent a hint with a step time. */
bool
hasHint(const Candidate& aCandidate)
{
  return aCandidate.record->unitMicros > 0;
}

/** Summarizes the hints of all candidates. */
HintSummary
summarizeHints(const std::vector<Candidate>& aCandidates,
               const RoutePolicy& aPolicy)
{
  double attempts = 0;
  double own = 0;
  double activeSteps = 0;
  double minUnit = std::numeric_limits<double>::infinity();
  for (const Candidate& candidate : aCandidates) {
    if (!hasHint(candidate)) {
      continue;
    }
    const LoadHint& hint = candidate.info->load;
    attempts += hint.attempts;
    own += candidate.record->inFlightAtHint;
    activeSteps += hint.running + hint.queued;
    minUnit = std::min(minUnit, candidate.record->unitMicros);
  }
  HintSummary summary;
  summary.untriedMicros =
    kUntriedCostFactor *
    std::min(minUnit,
             static_cast<double>(aPolicy.defaultLayerStep.count()) /
               (aPolicy.batchKnee + 1));
  if (attempts > 0) {
    constexpr double kMaxAttemptsPerOwn = 16;
    summary.attemptsPerOwn =
      std::clamp(attempts / std::max(1.0, own), 1.0, kMaxAttemptsPerOwn);
    summary.activeFraction =
      std::clamp(activeSteps / attempts, kMinActiveFraction, 1.0);
  }
  return summary;
}

/**
 * Returns the estimated number of open attempts. Each attempt that this entry
 * started there since the hint counts as attemptsPerOwn attempts: the other
 * entries see the same hints and make the same choices, and if each counted
 * only its own attempts, a thundering herd would follow. Each attempt that
 * ended since the hint counts once: attempts that end early may be caused by a
 * failing stage, which must not look idle. As a hint ages, an estimate from the
 * entry's own attempts replaces it. If the load decayed towards 0 instead, an
 * endpoint that sends no hints would get all the work.
 */
double
estimatedLoad(const Candidate& aCandidate,
              const HintSummary& aSummary,
              double aWeight)
{
  const EndpointRecord& record = *aCandidate.record;
  const auto own = static_cast<double>(record.inFlight);
  const double since = own - record.inFlightAtHint;
  const double hinted = aCandidate.info->load.attempts +
                        (since > 0 ? since * aSummary.attemptsPerOwn : since);
  const double guessed = own * aSummary.attemptsPerOwn;
  const double load = aWeight * hinted + (1 - aWeight) * guessed;
  return std::max(load, own);
}

/** Returns the remaining fraction of the endpoint's slow start, from 1 down to
 * 0. */
double
slowStartRemaining(const Candidate& aCandidate,
                   const RoutePolicy& aPolicy,
                   TimePoint aNow)
{
  const double age = microsBetween(aCandidate.record->firstSeen, aNow);
  return std::max(0.0,
                  1 - age / static_cast<double>(aPolicy.slowStart.count()));
}

/**
 * Raises the cost of new endpoints during their slow start. A new endpoint is
 * idle and therefore the cheapest for every entry, and all of them would send
 * it everything until its load shows in hints. It starts at the mean cost of
 * the endpoints that do the work, and falls to its own cost during the slow
 * start.
 */
void
applySlowStart(std::vector<Candidate>& aCandidates,
               const RoutePolicy& aPolicy,
               TimePoint aNow)
{
  double cost = 0;
  double loads = 0;
  for (const Candidate& candidate : aCandidates) {
    if (slowStartRemaining(candidate, aPolicy, aNow) == 0) {
      cost += candidate.layerMicros * candidate.load;
      loads += candidate.load;
    }
  }
  if (loads == 0) {
    return;
  }
  for (Candidate& candidate : aCandidates) {
    const double part = slowStartRemaining(candidate, aPolicy, aNow);
    candidate.layerMicros =
      std::max(candidate.layerMicros, part * cost / loads);
  }
}

/**
 * Returns the factor by which an endpoint's cost exceeds its expected time. If
 * the cost were the time alone, each request would go to the fast endpoints
 * until their queues make them as slow as the slow ones: the slow ones would
 * stay half empty while requests queue elsewhere. The factor rises steeply when
 * a batch is nearly full, so that all endpoints fill up to nearly the same
 * fraction of their batch size.
 */
double
congestionFactor(const EndpointRecord& aRecord,
                 double aActiveSteps,
                 const RoutePolicy& aPolicy)
{
  if (aRecord.batchSize <= 0) {
    return 1;
  }
  constexpr double kMaxFill = 2;
  const double part = std::min(kMaxFill, aActiveSteps / aRecord.batchSize);
  return 1 +
         aPolicy.congestionWeight * std::pow(part, aPolicy.congestionExponent);
}

/** Fills the estimate of one candidate, without slow start. */
void
estimateOne(Candidate& aCandidate,
            const HintSummary& aSummary,
            const RoutePolicy& aPolicy,
            TimePoint aNow)
{
  const EndpointRecord& record = *aCandidate.record;
  const double weight = hintWeight(*aCandidate.info, aPolicy, aNow);
  aCandidate.load = estimatedLoad(aCandidate, aSummary, weight);
  const double unit =
    hasHint(aCandidate) ? record.unitMicros : aSummary.untriedMicros;
  const double activeFraction =
    record.activeFraction > 0 ? record.activeFraction : aSummary.activeFraction;
  const double activeSteps = aCandidate.load * activeFraction;
  aCandidate.layerMicros = unit * (aPolicy.batchKnee + activeSteps + 1) *
                           decayedSlowness(*aCandidate.record, aNow);
  aCandidate.costFactor = congestionFactor(record, activeSteps, aPolicy);
  aCandidate.queueFraction = record.queueRatio / (1 + record.queueRatio);
}

} // namespace

void
estimate(std::vector<Candidate>& aCandidates,
         const RoutePolicy& aPolicy,
         TimePoint aNow)
{
  const HintSummary summary = summarizeHints(aCandidates, aPolicy);
  for (Candidate& candidate : aCandidates) {
    estimateOne(candidate, summary, aPolicy, aNow);
  }
  applySlowStart(aCandidates, aPolicy, aNow);
}

} // namespace poplartrack
