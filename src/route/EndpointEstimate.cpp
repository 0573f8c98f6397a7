#include "poplartrack/route/EndpointEstimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace poplartrack {
namespace {

/** An endpoint that nobody has tried is taken to be this much faster than the
 * fastest that is known. At the mean of the known ones it stayed idle for good
 * beside one that was a little faster than the mean: with one caller at a time
 * nothing else ever makes the choice try it. Its slow start keeps a crowd from
 * finding out all at once. */
constexpr double kUntried = 0.8;

/** A learnt slowness that is not confirmed fades with this half-life. */
constexpr double kSlownessHalfLifeMicros = 120e6;

double
microsBetween(TimePoint aFrom, TimePoint aTo)
{
  return static_cast<double>(std::max<std::int64_t>(0, (aTo - aFrom).count()));
}

/** Weight of a hint of this age; 0 when none was ever heard. */
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

double
fadedSlowness(const EndpointRecord& aRecord, TimePoint aNow)
{
  const double idle = microsBetween(aRecord.lastUsed, aNow);
  const double part = std::exp2(-idle / kSlownessHalfLifeMicros);
  return std::pow(aRecord.slowness, part);
}

/** What the hints say on the whole. */
struct Average
{
  /** What an endpoint is taken to need that nobody has tried yet. */
  double untriedMicros = 0;
  /** Attempts for each one of this entry. */
  double entries = 1;
  /** Part of an endpoint's attempts that is there at one moment: the others'
   * steps are at other stages. */
  double presence = 1;
};

bool
told(const Candidate& aCandidate)
{
  return aCandidate.record->unitMicros > 0;
}

Average
averageOf(const std::vector<Candidate>& aCandidates, const RoutePolicy& aPolicy)
{
  double attempts = 0;
  double own = 0;
  double present = 0;
  double least = std::numeric_limits<double>::infinity();
  for (const Candidate& candidate : aCandidates) {
    if (!told(candidate)) {
      continue;
    }
    const LoadHint& hint = candidate.info->load;
    attempts += hint.attempts;
    own += candidate.record->inFlightAtHint;
    present += hint.running + hint.queued;
    least = std::min(least, candidate.record->unitMicros);
  }
  Average average;
  average.untriedMicros =
    kUntried * std::min(least,
                        static_cast<double>(aPolicy.defaultLayerStep.count()) /
                          (aPolicy.batchKnee + 1));
  if (attempts > 0) {
    constexpr double kMostEntries = 16;
    average.entries =
      std::clamp(attempts / std::max(1.0, own), 1.0, kMostEntries);
    average.presence = std::clamp(present / attempts, kLeastPresence, 1.0);
  }
  return average;
}

/**
 * Open attempts. What this entry started there since the hint counts as often
 * as hints show attempts for each of its own: the others see the same hints
 * and do the same, and a herd forms where each counts only itself. What ended
 * counts once: attempts that end early may mean a stage that dies, which must
 * not look idle. As a hint grows old, the entry's own share takes its place:
 * were it drawn towards 0, a silent endpoint would get all the work.
 */
double
believedLoad(const Candidate& aCandidate,
             const Average& aAverage,
             double aWeight)
{
  const EndpointRecord& record = *aCandidate.record;
  const auto own = static_cast<double>(record.inFlight);
  const double since = own - record.inFlightAtHint;
  const double hinted = aCandidate.info->load.attempts +
                        (since > 0 ? since * aAverage.entries : since);
  const double guessed = own * aAverage.entries;
  const double load = aWeight * hinted + (1 - aWeight) * guessed;
  return std::max(load, own);
}

/** 1 when just met, 0 once the slow start is over. */
double
newness(const Candidate& aCandidate, const RoutePolicy& aPolicy, TimePoint aNow)
{
  const double age = microsBetween(aCandidate.record->firstSeen, aNow);
  return std::max(0.0,
                  1 - age / static_cast<double>(aPolicy.slowStart.count()));
}

/**
 * A newcomer is idle, so it is the cheapest in the view of every entry at
 * once, and until its load shows in hints all of them would send it
 * everything. So it starts at the cost of the endpoints that do the work and
 * comes down to its own within the slow start.
 */
void
rampUp(std::vector<Candidate>& aCandidates,
       const RoutePolicy& aPolicy,
       TimePoint aNow)
{
  double cost = 0;
  double loads = 0;
  for (const Candidate& candidate : aCandidates) {
    if (newness(candidate, aPolicy, aNow) == 0) {
      cost += candidate.layerMicros * candidate.load;
      loads += candidate.load;
    }
  }
  if (loads == 0) {
    return;
  }
  for (Candidate& candidate : aCandidates) {
    const double part = newness(candidate, aPolicy, aNow);
    candidate.layerMicros =
      std::max(candidate.layerMicros, part * cost / loads);
  }
}

/**
 * How much dearer a place is than the time it takes. Were it the time alone,
 * each request would be best off on the fast endpoints until these are as slow
 * by their queues as the slow ones are without: the slow ones would stay half
 * empty while others queue. The price rises steeply where a batch is full, so
 * that every endpoint fills up at nearly the same part of its own size.
 */
double
crowding(const EndpointRecord& aRecord,
         double aPresent,
         const RoutePolicy& aPolicy)
{
  if (aRecord.batch <= 0) {
    return 1;
  }
  constexpr double kMost = 2;
  const double part = std::min(kMost, aPresent / aRecord.batch);
  return 1 + aPolicy.crowdingPrice * std::pow(part, aPolicy.crowdingPower);
}

void
estimateOne(Candidate& aCandidate,
            const Average& aAverage,
            const RoutePolicy& aPolicy,
            TimePoint aNow)
{
  const EndpointRecord& record = *aCandidate.record;
  const double weight = hintWeight(*aCandidate.info, aPolicy, aNow);
  aCandidate.load = believedLoad(aCandidate, aAverage, weight);
  const double unit =
    told(aCandidate) ? record.unitMicros : aAverage.untriedMicros;
  const double presence =
    record.presence > 0 ? record.presence : aAverage.presence;
  const double present = aCandidate.load * presence;
  aCandidate.layerMicros = unit * (aPolicy.batchKnee + present + 1) *
                           fadedSlowness(*aCandidate.record, aNow);
  aCandidate.price = crowding(record, present, aPolicy);
  aCandidate.waitPart = record.waitRatio / (1 + record.waitRatio);
}

} // namespace

void
estimate(std::vector<Candidate>& aCandidates,
         const RoutePolicy& aPolicy,
         TimePoint aNow)
{
  const Average average = averageOf(aCandidates, aPolicy);
  for (Candidate& candidate : aCandidates) {
    estimateOne(candidate, average, aPolicy, aNow);
  }
  rampUp(aCandidates, aPolicy, aNow);
}

} // namespace poplartrack
