#include "poplartrack/route/RouteChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <vector>

#include "poplartrack/route/EndpointEstimate.h"
#include "poplartrack/route/LayerGraph.h"
#include "poplartrack/route/PrefixAffinity.h"
#include "poplartrack/route/ZoneTable.h"

namespace poplartrack {
namespace {

/** Unused records are removed after this time. */
constexpr Duration kRecordLifetime = std::chrono::minutes{ 10 };
/** Interval between two removals of unused records. */
constexpr Duration kForgetInterval = std::chrono::minutes{ 1 };

Duration
micros(double aMicros)
{
  return Duration{ static_cast<std::int64_t>(aMicros) };
}

/** Returns whether the endpoint holds layers of the requested model and may be
 * used. */
bool
canServe(const EndpointInfo& aInfo, const RouteQuery& aQuery)
{
  return aInfo.model == aQuery.model &&
         aInfo.modelVersion == aQuery.modelVersion && aInfo.holds.size() > 0 &&
         aInfo.holds.from < aQuery.layers &&
         (aQuery.avoid.empty() || !aQuery.avoid.contains(aInfo.name));
}

/** Returns by how much the measured one-way link time, in microseconds, exceeds
 * that of the endpoint's zone. */
double
extraLink(const EndpointInfo& aInfo, double aZoneLink)
{
  constexpr double kHalf = 0.5;
  const double measured = kHalf * static_cast<double>(aInfo.roundTrip.count());
  return std::max(0.0, measured - aZoneLink);
}

/** Returns the error detail that names the layers without an endpoint. */
std::string
describeGaps(const std::vector<LayerRange>& aGaps, const RouteQuery& aQuery)
{
  std::string text = aQuery.model + " " + aQuery.modelVersion;
  text += ": no endpoint for layers";
  for (const LayerRange& gap : aGaps) {
    text += " [" + std::to_string(gap.from) + ", " + std::to_string(gap.to);
    text += ")";
  }
  return text;
}

RouteStage
makeStage(const EndpointInfo& aInfo, const LayerRange& aRuns)
{
  return RouteStage{ aInfo.name, aInfo.incarnation, aInfo.address, aRuns };
}

/** Builds the plan of a path with its expected times, without the random
 * factor, and records the expectations in the record of each endpoint. */
RoutePlan
makePlan(const std::vector<PathStage>& aPath,
         const std::vector<Candidate>& aCandidates,
         const ZoneTable& aZones,
         const PathWork& aWork,
         double aGapRatio)
{
  RoutePlan plan;
  double perToken = 0;
  double prefill = 0;
  double wait = 0;
  std::uint32_t before = aCandidates[aPath.back().candidate].zone;
  for (const PathStage& stage : aPath) {
    const Candidate& candidate = aCandidates[stage.candidate];
    const double hop =
      aZones.hop(before, candidate.zone) + 2 * candidate.extraLinkMicros;
    const double step = candidate.layerMicros * stage.runs.size();
    candidate.record->expectedLayerMicros = candidate.layerMicros;
    candidate.record->expectedHopMicros = hop;
    perToken += step + hop;
    wait += step * candidate.queueFraction;
    prefill += step * aWork.prefillSteps * candidate.prefillFraction;
    before = candidate.zone;
    plan.route.push_back(makeStage(*candidate.info, stage.runs));
  }
  const std::uint32_t first = aCandidates[aPath.front().candidate].zone;
  const double toEntry = aZones.hop(0, first) + aZones.hop(before, 0);
  plan.expectedPerToken = micros(aGapRatio * perToken);
  plan.expectedWait = micros(aGapRatio * wait);
  plan.expectedFirstToken = micros(aGapRatio * (perToken + prefill) + toEntry);
  return plan;
}

/** Returns whether the plan leaves a fifth of the remaining time as a reserve
 * for failures. */
bool
fitsDeadline(const RoutePlan& aPlan, const RouteQuery& aQuery)
{
  if (aQuery.remaining <= Duration{ 0 }) {
    return true;
  }
  const std::uint32_t more = std::max(aQuery.tokensWanted, 1U) - 1;
  const Duration expected =
    aPlan.expectedFirstToken + more * aPlan.expectedPerToken;
  constexpr double kUsableTimeFraction = 0.8;
  return static_cast<double>(expected.count()) <=
         kUsableTimeFraction * static_cast<double>(aQuery.remaining.count());
}

/** Returns what is wrong with the policy, or an empty string. */
std::string
checkPolicy(const RoutePolicy& aPolicy)
{
  if (aPolicy.spread < 0 || aPolicy.batchKnee <= 0) {
    return "route policy: spread below 0 or batchKnee not above 0";
  }
  if (aPolicy.hintHalfLife <= Duration{ 0 } ||
      aPolicy.slowStart <= Duration{ 0 } ||
      aPolicy.initialBackoff <= Duration{ 0 }) {
    return "route policy: a time is not above 0";
  }
  if (aPolicy.prefixSaving < 0 || aPolicy.prefixSaving > 1) {
    return "route policy: prefixSaving is outside 0 to 1";
  }
  return {};
}

} // namespace

Result<RouteChooser>
RouteChooser::create(const RoutePolicy& aPolicy, std::uint64_t aSeed)
{
  std::string wrong = checkPolicy(aPolicy);
  if (!wrong.empty()) {
    return fail(ErrorKind::BadSettings, std::move(wrong));
  }
  return RouteChooser(aPolicy, aSeed);
}

RouteChooser::RouteChooser(const RoutePolicy& aPolicy, std::uint64_t aSeed)
  : policy(aPolicy)
  , random(aSeed)
{
}

std::vector<Candidate>
RouteChooser::candidatesOf(const EndpointView& aView,
                           const RouteQuery& aQuery,
                           ZoneTable& aZones,
                           TimePoint aNow)
{
  std::vector<Candidate> candidates;
  candidates.reserve(aView.endpoints.size());
  for (const EndpointInfo& info : aView.endpoints) {
    if (!canServe(info, aQuery)) {
      continue;
    }
    Candidate candidate;
    candidate.info = &info;
    candidate.record = &this->records.at(info.name, aNow);
    applyHint(info, this->policy, *candidate.record);
    applyAnswer(info, *candidate.record);
    candidate.fitness = fitnessOf(info, *candidate.record, aNow);
    if (candidate.fitness == Fitness::Unfit) {
      continue;
    }
    candidate.zone = aZones.numberOf(info.zone, info.region);
    candidate.extraLinkMicros = extraLink(info, aZones.link(0, candidate.zone));
    candidates.push_back(candidate);
  }
  return candidates;
}

Result<RoutePlan>
RouteChooser::choose(const EndpointView& aView,
                     const RouteQuery& aQuery,
                     TimePoint aNow)
{
  this->forgetOld(aNow);
  if (aQuery.layers == 0) {
    return fail(ErrorKind::NoRoute, aQuery.model + ": the model has no layers");
  }
  ZoneTable zones(this->policy, aQuery.fromZone, aQuery.fromRegion);
  std::vector<Candidate> candidates =
    this->candidatesOf(aView, aQuery, zones, aNow);
  zones.computeHops();
  const std::vector<LayerRange> gaps =
    uncoveredLayers(candidates, aQuery.layers);
  if (!gaps.empty()) {
    return fail(ErrorKind::NoRoute, describeGaps(gaps, aQuery));
  }
  estimate(candidates, this->policy, aNow);
  if (aQuery.prefixHash != 0) {
    applyPrefixAffinity(candidates, aQuery.prefixHash, this->policy);
  }
  const double prefill = aQuery.prefillTokens * this->policy.prefillTokenCost;
  const PathWork work{ std::max(1.0, static_cast<double>(aQuery.tokensWanted)),
                       prefill,
                       prefill * (this->policy.batchKnee + 1) };
  const std::vector<std::uint32_t> cuts =
    cutPoints(candidates, aQuery.layers, this->policy.maxCuts);
  LayerGraph graph(candidates, cuts, zones, work);
  const std::vector<PathStage> path = this->cheapest(graph);
  if (path.empty()) {
    return fail(ErrorKind::NoRoute, aQuery.model + ": ranges do not join");
  }
  RoutePlan plan = makePlan(path, candidates, zones, work, this->gapRatio);
  if (fitsDeadline(plan, aQuery)) {
    return plan;
  }
  // The congestion factor sends some requests to slow endpoints so that all
  // endpoints are used evenly. A request that would miss its deadline there
  // gets the fastest route instead.
  for (Candidate& candidate : candidates) {
    candidate.costFactor = 1;
  }
  return makePlan(
    this->cheapest(graph), candidates, zones, work, this->gapRatio);
}

std::vector<PathStage>
RouteChooser::cheapest(LayerGraph& aGraph)
{
  std::vector<PathStage> path;
  for (const bool withBackingOff : { false, true }) {
    aGraph.buildEdges(withBackingOff, this->policy.spread, this->random);
    path = aGraph.cheapest();
    if (!path.empty()) {
      break;
    }
  }
  return path;
}

Result<EndpointInfo>
RouteChooser::choosePlain(const EndpointView& aView,
                          std::string_view aService,
                          const std::string& aZone,
                          const std::set<std::string>& aAvoid,
                          TimePoint aNow)
{
  const EndpointInfo* best = nullptr;
  double bestCost = std::numeric_limits<double>::infinity();
  std::uniform_real_distribution<double> randomFactor(
    1.0, 1.0 + this->policy.spread);
  for (const EndpointInfo& info : aView.endpoints) {
    if (info.service != aService || aAvoid.contains(info.name)) {
      continue;
    }
    EndpointRecord& record = this->records.at(info.name, aNow);
    applyAnswer(info, record);
    const Fitness fitness = fitnessOf(info, record, aNow);
    if (fitness == Fitness::Unfit) {
      continue;
    }
    // Endpoints in backoff come after all fit ones, regardless of their wait.
    constexpr double kBackoffPenalty = 1e12;
    double cost =
      this->plainWait(info, record, aZone, aNow) * randomFactor(this->random);
    if (fitness == Fitness::BackingOff) {
      cost += kBackoffPenalty;
    }
    if (cost < bestCost) {
      bestCost = cost;
      best = &info;
    }
  }
  if (best == nullptr) {
    return fail(ErrorKind::NoRoute,
                std::string(aService) + ": no live endpoint");
  }
  return *best;
}

double
RouteChooser::plainWait(const EndpointInfo& aInfo,
                        const EndpointRecord& aRecord,
                        const std::string& aZone,
                        TimePoint aNow) const
{
  const double age = static_cast<double>((aNow - aInfo.loadReportedAt).count());
  const double weight =
    std::exp2(-age / static_cast<double>(this->policy.hintHalfLife.count()));
  const double hinted = weight * (aInfo.load.running + aInfo.load.queued);
  const double ahead =
    std::max(hinted, static_cast<double>(aRecord.inFlight)) + 1;
  const double step = std::max(1.0, static_cast<double>(aInfo.load.stepMicros));
  const Duration link = aInfo.zone == aZone ? this->policy.sameZoneLink
                                            : this->policy.sameRegionLink;
  const Duration trip = std::max(aInfo.roundTrip, 2 * link);
  return ahead * step * aRecord.slowness + static_cast<double>(trip.count());
}

void
RouteChooser::forgetOld(TimePoint aNow)
{
  if (aNow < this->nextForget) {
    return;
  }
  this->nextForget = aNow + kForgetInterval;
  this->records.forget(aNow - kRecordLifetime);
}

} // namespace poplartrack
