// Choice of the target of an attempt: a path through engine replicas, or one
// replica of a plain service.

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>

#include "RelayLoopImpl.h"
#include "poplartrack/fleet/LinkRate.h"
#include "poplartrack/fleet/PathFinder.h"
#include "poplartrack/fleet/PlainChoice.h"

namespace poplartrack {
namespace {

/** Share of the capacity of a zone link that all relays together may reserve.
 * Tokens of streams that cross the link wait behind prompts; while the link is
 * mostly free they are on time. */
constexpr double kFastLinkShare = 0.3;

/** The same for a link so slow that a single prompt delays streams noticeably.
 * Streams are late there in any case, so throughput counts. */
constexpr double kSlowLinkShare = 0.95;

constexpr double kBytesPerMegabit = 1e6 / 8;

/** Parses a comma-separated list of numbers; an item that is not a number
 * yields 0. */
std::vector<double>
parseNumbers(std::string_view aText)
{
  std::vector<double> numbers;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    const std::string_view token = aText.substr(0, comma);
    double number = 0;
    std::from_chars(token.data(), token.data() + token.size(), number);
    numbers.push_back(number);
    aText = comma == std::string_view::npos ? std::string_view{}
                                            : aText.substr(comma + 1);
  }
  return numbers;
}

/** Returns the parts at which the current attempt prefills. */
const LayerPath&
prefillPath(const Exchange& aExchange)
{
  return aExchange.prefillParts ? *aExchange.prefillParts : aExchange.path;
}

/** Returns the parts of aPath that are not also parts of aKept. */
LayerPath
newParts(const LayerPath& aPath, const LayerPath& aKept)
{
  LayerPath path;
  for (const PathPart& part : aPath.parts) {
    if (std::find(aKept.parts.begin(), aKept.parts.end(), part) ==
        aKept.parts.end()) {
      path.parts.push_back(part);
    }
  }
  return path;
}

/** Returns whether a path may begin at the replica once it has a free slot and
 * memory. One at its rate limit does not count, nor one whose first layers are
 * announced for release. */
bool
mayBeFirst(const PathCandidate& aCandidate)
{
  const auto& layers =
    aCandidate.usable ? aCandidate.usable : aCandidate.replica->layers;
  return aCandidate.takesRequests && layers && layers->from == 0 &&
         layers->size() > 0;
}

} // namespace

/** Returns the tokens that the request states in its headers, or else the means
 * of the service's engine. */
TokenNeed
RelayLoop::Impl::estimateTokenNeed(const Exchange& aExchange) const
{
  TokenNeed need;
  if (aExchange.service == nullptr || !aExchange.service->engine) {
    return need;
  }
  const EngineProfile& engine = *aExchange.service->engine;
  need.prompt = engine.meanPromptTokens;
  need.answer = engine.meanAnswerTokens;
  const HeaderList& headers = aExchange.head.headers;
  const auto counts =
    parseNumbers(headers.find(this->names.tokens).value_or(""));
  if (!counts.empty()) {
    need.prompt = counts[0];
  }
  const auto hint =
    parseNumbers(headers.find(this->names.lengthHint).value_or(""));
  if (!hint.empty() && hint[0] > 0) {
    need.answer = hint[0];
  }
  if (counts.size() > 1 && counts[1] > 0) {
    need.answer = std::min(need.answer, counts[1]);
  }
  return need;
}

/**
 * Returns how many zone crossings the prompt of a request can make within half
 * of its latency objective. With more crossings its first event is late, and
 * other requests that could be on time wait for the links. A started stream may
 * make any number.
 */
std::uint32_t
RelayLoop::Impl::maxCrossingsOf(const Exchange& aExchange)
{
  if (aExchange.service == nullptr || !aExchange.service->engine ||
      aExchange.service->engine->linkMbps <= 0 || aExchange.answering) {
    return PathDemand{}.maxCrossings;
  }
  constexpr double kTransferShare = 0.5;
  const double objectiveMs =
    std::chrono::duration<double, std::milli>(aExchange.route->objective)
      .count();
  const double transfer =
    transferMs(*aExchange.service->engine, aExchange.need.prompt);
  constexpr double kMaxCrossings = 1'000;
  return static_cast<std::uint32_t>(std::min(
    kTransferShare * objectiveMs / std::max(transfer, 1e-3), kMaxCrossings));
}

/** Records the load of the current attempt at its replicas. aKept: the parts
 * that keep their KV cache of the path until now. Only the other
 * parts prefill, and they read the prompt and the answer so far. Without loss
 * probes, the prompt counts at all parts. */
void
RelayLoop::Impl::addLoad(Exchange& aExchange, const LayerPath* aKept)
{
  this->removeLoad(aExchange);
  aExchange.loadRecorded = true;
  if (aExchange.path.parts.empty()) {
    ++this->plainLoad[aExchange.replica];
    return;
  }
  aExchange.reservedTokens = aExchange.need.prompt + aExchange.need.answer;
  this->countUse(aExchange);
  this->loads.add(aExchange.path, aExchange.reservedTokens);
  aExchange.prefillParts.reset();
  aExchange.prefillTokens = aExchange.need.prompt;
  if (this->settings.load.lossProbes) {
    aExchange.prefillTokens += aExchange.events * kTokensPerEvent;
    if (aKept != nullptr) {
      aExchange.prefillParts = newParts(aExchange.path, *aKept);
    }
  }
  this->loads.beginPrefill(prefillPath(aExchange), aExchange.prefillTokens);
  aExchange.prefillRecorded = !prefillPath(aExchange).parts.empty();
  aExchange.prefillEndsAt.reset();
  if (this->settings.load.paceAdmission &&
      aExchange.route->rule != RetryRule::Stream) {
    aExchange.prefillEndsAt = this->now + aExchange.path.firstToken;
  }
}

/** Returns the parts of the path whose prefill of the request is over. */
LayerPath
RelayLoop::Impl::cachedParts(const Exchange& aExchange) const
{
  return aExchange.prefillRecorded
           ? newParts(aExchange.path, prefillPath(aExchange))
           : aExchange.path;
}

/** Records that the prefill of the current attempt is over. */
void
RelayLoop::Impl::endPrefill(Exchange& aExchange)
{
  if (aExchange.prefillRecorded) {
    aExchange.prefillRecorded = false;
    this->loads.endPrefill(prefillPath(aExchange), aExchange.prefillTokens);
  }
}

void
RelayLoop::Impl::removeLoad(Exchange& aExchange)
{
  if (!aExchange.loadRecorded) {
    return;
  }
  aExchange.loadRecorded = false;
  this->uncountUse(aExchange);
  this->endPrefill(aExchange);
  if (!aExchange.path.parts.empty()) {
    this->loads.remove(aExchange.path, aExchange.reservedTokens);
    return;
  }
  const auto found = this->plainLoad.find(aExchange.replica);
  if (found != this->plainLoad.end() && --found->second == 0) {
    this->plainLoad.erase(found);
  }
}

const Replica*
RelayLoop::Impl::replicaByAddress(const Address& aAddress) const
{
  for (const Replica& replica : this->view->replicas) {
    if (replica.address == aAddress) {
      return &replica;
    }
  }
  return nullptr;
}

const Replica*
RelayLoop::Impl::replicaById(const std::string& aId) const
{
  for (const Replica& replica : this->view->replicas) {
    if (replica.id == aId) {
      return &replica;
    }
  }
  return nullptr;
}

Result<AttemptTarget>
RelayLoop::Impl::choose(Exchange& aExchange)
{
  this->refreshReplicas();
  if (aExchange.service == nullptr) {
    return fail(ErrorKind::NoRoute, "the route's service is not declared");
  }
  if (!aExchange.service->engine) {
    return this->choosePlain(aExchange);
  }
  // An attempt is not replaced by one at the same replica.
  std::set<std::string> avoided;
  if (aExchange.connection != 0) {
    avoided.insert(aExchange.replica);
  }
  return this->choosePath(aExchange, {}, avoided);
}

/** Returns the higher one of the slowdowns that this relay and the others have
 * measured for a replica. */
double
RelayLoop::Impl::slowdownOf(const std::string& aReplica) const
{
  return std::max(this->health.slowdown(aReplica),
                  this->reports.slowdown(aReplica));
}

/** Returns whether a replica has restarted, or is certainly lost according to
 * this relay and its peers. */
bool
RelayLoop::Impl::isLost(const std::string& aReplica) const
{
  return this->drainState.restarted.contains(aReplica) ||
         this->reports.lost(aReplica,
                            this->health.dead(aReplica, this->now),
                            this->knownPeers.size() + 1);
}

/** Returns the replicas of the request's service that can be part of a path. A
 * running request keeps its first replica, whatever layers that one releases.
 */
std::vector<PathCandidate>
RelayLoop::Impl::candidatesFor(const Exchange& aExchange,
                               const PathDemand& aDemand,
                               const CandidateFilter& aFilter)
{
  std::vector<PathCandidate> candidates;
  const auto listed = this->view->byService.find(aExchange.service->name);
  if (listed == this->view->byService.end()) {
    return candidates;
  }
  for (const std::size_t index : listed->second) {
    const Replica& replica = this->view->replicas[index];
    const bool inUse =
      !this->isLost(replica.id) && this->health.usable(replica.id, this->now);
    if (this->isDraining(replica) || this->isBackingOff(replica.id) ||
        (!inUse && !(aFilter.suspected && this->mayReturnSoon(replica.id)))) {
      continue;
    }
    const double slowdown = this->slowdownOf(replica.id);
    if (slowdown < kDegradedSlowdown || aFilter.slow) {
      const bool mayBegin =
        aFilter.ejected || this->mayBeginAt(aExchange, replica.id);
      candidates.push_back(
        PathCandidate{ &replica,
                       this->loads.at(replica.id),
                       slowdown,
                       mayBegin && this->takesRequests(replica.id) });
      if (!aFilter.released && replica.layers && !this->releases.empty() &&
          replica.id != aDemand.firstReplica) {
        candidates.back().usable =
          this->releases.usable(replica.id, *replica.layers);
      }
    }
  }
  return candidates;
}

/** Limits the zone crossings of a path to links with free capacity, and to as
 * many as the request has time for. */
void
RelayLoop::Impl::limitCrossings(const Exchange& aExchange, PathDemand& aDemand)
{
  const EngineProfile& engine = *aExchange.service->engine;
  if (engine.linkMbps <= 0) {
    return;
  }
  // Relays that this one doesn't receive reports from use the links too. Their
  // share of the capacity is left to them.
  const auto reportingRelays = static_cast<double>(this->knownPeers.size() + 1);
  const auto listedRelays =
    static_cast<double>(this->shared.peers.read()->size() + 1);
  const double share = hasFastLinks(engine) ? kFastLinkShare : kSlowLinkShare;
  this->links.setRate(share * engine.linkMbps * kBytesPerMegabit *
                      std::min(reportingRelays / listedRelays, 1.0));
  aDemand.closedLinks = this->links.closedLinks(this->now);
  aDemand.linkWaits = this->links.linkWaits(this->now);
  aDemand.maxCrossings = maxCrossingsOf(aExchange);
}

/**
 * Finds a path. Each of these is tried if the ones before give none:
 * 1. replicas of normal speed;
 * 2. degraded ones too;
 * 3. layers that are announced for release too, if no healthy replica could be
 *    the first;
 * 4. a path that begins at an ejected replica, or at one that failed or refused
 *    the request, if still no healthy one could be the first;
 * 5. all of these together, while a release is announced, if a layer has no
 *    other holder or the request is a started stream.
 * A request waits as for memory if a layer is held only by replicas that may be
 * back in a moment.
 * Steps 3 and 4 are for relays with outlier ejection; without it, steps 1 and 2
 * leave no first replica out.
 */
Result<LayerPath>
RelayLoop::Impl::findPathFor(const Exchange& aExchange, PathDemand aDemand)
{
  const EngineProfile& engine = *aExchange.service->engine;
  this->limitCrossings(aExchange, aDemand);
  Result<LayerPath> path = fail(ErrorKind::NoRoute, "");
  std::vector<CandidateFilter> filters{ {}, { .slow = true } };
  if (this->settings.load.outlierEjection &&
      (!this->outliers.empty() || !aExchange.avoid.empty())) {
    if (!this->releases.empty()) {
      filters.push_back({ .slow = true, .released = true });
    }
    filters.push_back({ .slow = true, .ejected = true });
  }
  bool hasHealthyFirst = false;
  for (const CandidateFilter& filter : filters) {
    // A request waits for a healthy first replica that is busy. An ejected one,
    // or one that failed the request, would most likely answer with an error.
    if (filter.ejected && hasHealthyFirst) {
      break;
    }
    if (filter.released && hasHealthyFirst) {
      continue;
    }
    const auto candidates = this->candidatesFor(aExchange, aDemand, filter);
    path = findPath(engine, candidates, aDemand);
    if (path) {
      return path;
    }
    hasHealthyFirst =
      std::any_of(candidates.begin(), candidates.end(), mayBeFirst);
  }
  const bool noHolder = path.error().kind == ErrorKind::NoRoute;
  if ((noHolder || aDemand.started) && !this->releases.empty()) {
    // The replicas that were to take over released layers are lost, or are too
    // full for a stream that would break off. The lease holder gives the
    // release up as soon as it notices, or waits for the stream.
    const CandidateFilter filter{ .slow = true,
                                  .ejected = true,
                                  .released = true };
    path = findPath(
      engine, this->candidatesFor(aExchange, aDemand, filter), aDemand);
  }
  if (!path && path.error().kind == ErrorKind::NoRoute &&
      this->hasPathSoon(aExchange, aDemand)) {
    return fail(ErrorKind::Overloaded,
                "a layer is held only by replicas that may be back soon");
  }
  return path;
}

/** Returns whether there would be a path, or one without memory, with the
 * replicas that are out of use and may be back in a moment. */
bool
RelayLoop::Impl::hasPathSoon(const Exchange& aExchange,
                             const PathDemand& aDemand)
{
  const CandidateFilter filter{
    .slow = true, .ejected = true, .released = true, .suspected = true
  };
  const Result<LayerPath> path =
    findPath(*aExchange.service->engine,
             this->candidatesFor(aExchange, aDemand, filter),
             aDemand);
  return path.ok() || path.error().kind != ErrorKind::NoRoute;
}

/** Reserves capacity of the zone links that a path crosses: for the activations
 * of the prompt and of each generated token. */
void
RelayLoop::Impl::reserveLinkCapacity(const Exchange& aExchange,
                                     const LayerPath& aPath)
{
  const double tokens = aExchange.need.prompt + aExchange.need.answer;
  for (const ZonePair& zones : aPath.crossings) {
    this->links.take(
      zones, tokens * aExchange.service->engine->activationBytes, this->now);
  }
}

/** Chooses a path for the request that uses none of the replicas aAvoided.
 * Unless aFirst is empty, the path begins at this replica. */
Result<AttemptTarget>
RelayLoop::Impl::choosePath(const Exchange& aExchange,
                            const std::string& aFirst,
                            const std::set<std::string>& aAvoided)
{
  PathDemand demand;
  demand.promptTokens = aExchange.need.prompt;
  demand.answerTokens = aExchange.need.answer;
  demand.zone = this->settings.zone;
  demand.started = aExchange.answering;
  demand.spreads = this->settings.load.demandPlacement;
  demand.firstReplica = aFirst;
  demand.moved = this->settings.load.lossProbes && !aFirst.empty();
  demand.avoided = aAvoided;
  Result<LayerPath> path = this->findPathFor(aExchange, demand);
  if (!path) {
    return path.error();
  }
  const PathPart& first = path.value().parts.front();
  const Replica* replica = this->replicaById(first.replica);
  if (replica == nullptr) {
    return fail(ErrorKind::NoRoute, "the path's first replica has left");
  }
  return AttemptTarget{
    first.replica, replica->registeredAs, first.address, path.value()
  };
}

Result<AttemptTarget>
RelayLoop::Impl::choosePlain(const Exchange& aExchange)
{
  const auto listed = this->view->byService.find(aExchange.service->name);
  if (listed == this->view->byService.end()) {
    return fail(ErrorKind::NoRoute, "no replica is registered");
  }
  std::vector<PlainCandidate> candidates;
  bool limited = false;
  for (const std::size_t index : listed->second) {
    const Replica& replica = this->view->replicas[index];
    const bool runsIt =
      aExchange.connection != 0 && replica.id == aExchange.replica;
    if (runsIt || this->isDraining(replica) || this->isBackingOff(replica.id)) {
      continue;
    }
    const auto load = this->plainLoad.find(replica.id);
    PlainCandidate candidate;
    candidate.replica = &replica;
    candidate.inFlight = load == this->plainLoad.end() ? 0 : load->second;
    candidate.errorRate = this->health.errorRate(replica.id);
    candidate.usable = this->health.usable(replica.id, this->now);
    candidate.tried = aExchange.avoid.contains(replica.id);
    candidate.takesRequests = this->takesRequests(replica.id);
    limited = limited || (!candidate.takesRequests && !candidate.tried);
    candidates.push_back(candidate);
  }
  const Replica* chosen = choosePlainReplica(candidates, this->settings.zone);
  if (chosen == nullptr && limited) {
    return fail(ErrorKind::Overloaded, "the replicas limit what they take");
  }
  if (chosen == nullptr) {
    return fail(ErrorKind::NoRoute, "no replica takes work");
  }
  return AttemptTarget{ chosen->id, chosen->registeredAs, chosen->address, {} };
}

} // namespace poplartrack
