// Where an attempt goes: a path through engines, or one plain replica.

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

/** Part of the pipe between two zones that all relays book together. Tokens of
 * the streams that cross wait behind prompts: on a pipe that is mostly free
 * they are on time. */
constexpr double kCalmPart = 0.3;

/** ... and of a pipe so slow that a prompt alone holds streams up: they are
 * late in any case, and what it carries at all counts. */
constexpr double kSlowLinkPart = 0.95;

constexpr double kBytesPerMegabit = 1e6 / 8;

/** How often a prompt may cross pipes and take half of the objective for that:
 * with more, its first event is late, and others that could be on time wait for
 * the pipes. */
std::uint32_t
crossingsInTime(const Exchange& aExchange, const PathDemand& aDemand)
{
  constexpr double kPart = 0.5;
  const double objectiveMs =
    std::chrono::duration<double, std::milli>(aExchange.route->objective)
      .count();
  const double transfer =
    transferMs(*aExchange.service->engine, aDemand.promptTokens);
  constexpr double kMost = 1'000;
  return static_cast<std::uint32_t>(
    std::min(kPart * objectiveMs / std::max(transfer, 1e-3), kMost));
}

std::vector<double>
numbersIn(std::string_view aText)
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

} // namespace

/** The service among the route's targets, by weight. The same request goes to
 * the same service again. */
const RelayService*
RelayLoop::Impl::pickService(const Exchange& aExchange) const
{
  const RelayRoute& route = *aExchange.route;
  std::uint64_t sum = 0;
  for (const RouteTarget& target : route.targets) {
    sum += target.weight;
  }
  if (sum == 0) {
    return nullptr;
  }
  std::uint64_t point =
    std::hash<std::string_view>{}(aExchange.requestId) % sum;
  for (const RouteTarget& target : route.targets) {
    if (point < target.weight) {
      return aExchange.config->service(target.service);
    }
    point -= target.weight;
  }
  return nullptr;
}

TokenNeed
RelayLoop::Impl::needOf(const Exchange& aExchange) const
{
  TokenNeed need;
  if (aExchange.service == nullptr || !aExchange.service->engine) {
    return need;
  }
  const EngineProfile& engine = *aExchange.service->engine;
  need.prompt = engine.meanPromptTokens;
  need.answer = engine.meanAnswerTokens;
  const HeaderList& headers = aExchange.head.headers;
  const auto counts = numbersIn(headers.find(this->names.tokens).value_or(""));
  if (!counts.empty()) {
    need.prompt = counts[0];
  }
  const auto hint =
    numbersIn(headers.find(this->names.lengthHint).value_or(""));
  if (!hint.empty() && hint[0] > 0) {
    need.answer = hint[0];
  }
  if (counts.size() > 1 && counts[1] > 0) {
    need.answer = std::min(need.answer, counts[1]);
  }
  return need;
}

void
RelayLoop::Impl::addLoad(Exchange& aExchange)
{
  this->removeLoad(aExchange);
  aExchange.loadRecorded = true;
  if (aExchange.path.parts.empty()) {
    ++this->plainLoad[aExchange.replica];
    return;
  }
  aExchange.reservedTokens = aExchange.need.prompt + aExchange.need.answer;
  this->loads.add(aExchange.path, aExchange.reservedTokens);
  this->loads.beginPrefill(aExchange.path, aExchange.need.prompt);
  aExchange.prefillRecorded = true;
}

/** The first event of an attempt has come: its prompt has been read. */
void
RelayLoop::Impl::endPrefill(Exchange& aExchange)
{
  if (aExchange.prefillRecorded) {
    aExchange.prefillRecorded = false;
    this->loads.endPrefill(aExchange.path, aExchange.need.prompt);
  }
}

void
RelayLoop::Impl::removeLoad(Exchange& aExchange)
{
  if (!aExchange.loadRecorded) {
    return;
  }
  aExchange.loadRecorded = false;
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
RelayLoop::Impl::replicaAt(const Address& aAddress) const
{
  for (const Replica& replica : this->view->replicas) {
    if (replica.address == aAddress) {
      return &replica;
    }
  }
  return nullptr;
}

const Replica*
RelayLoop::Impl::replicaOf(const std::string& aId) const
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
  return aExchange.service->engine ? this->choosePath(aExchange, {})
                                   : this->choosePlain(aExchange);
}

/** How slow a replica is, as this relay or another has learned. */
double
RelayLoop::Impl::slowdownOf(const std::string& aReplica) const
{
  return std::max(this->health.slowdown(aReplica),
                  this->reports.slowdown(aReplica));
}

/** Whether a replica is certainly lost, as far as all relays can tell. */
bool
RelayLoop::Impl::isLost(const std::string& aReplica) const
{
  return this->restartedReplicas.contains(aReplica) ||
         this->reports.lost(aReplica,
                            this->health.dead(aReplica, this->now),
                            this->knownPeers.size() + 1);
}

std::vector<PathCandidate>
RelayLoop::Impl::candidatesFor(const Exchange& aExchange, bool aSlowToo)
{
  std::vector<PathCandidate> candidates;
  const auto listed = this->view->byService.find(aExchange.service->name);
  if (listed == this->view->byService.end()) {
    return candidates;
  }
  for (const std::size_t place : listed->second) {
    const Replica& replica = this->view->replicas[place];
    if (this->leaves(replica) || this->isLost(replica.id) ||
        !this->health.usable(replica.id, this->now)) {
      continue;
    }
    const double slowdown = this->slowdownOf(replica.id);
    if (slowdown < kDegradedSlowdown || aSlowToo) {
      candidates.push_back(PathCandidate{ &replica,
                                          this->loads.at(replica.id),
                                          slowdown,
                                          this->takesRequests(replica.id) });
    }
  }
  return candidates;
}

/** A path by replicas of a usual pace, else by slow ones too. It crosses zones
 * only where pipes have room. */
Result<LayerPath>
RelayLoop::Impl::findPathFor(const Exchange& aExchange, PathDemand aDemand)
{
  const EngineProfile& engine = *aExchange.service->engine;
  if (engine.linkMbps > 0) {
    // Relays that are not heard send too: their part is left to them.
    const auto heard = static_cast<double>(this->knownPeers.size() + 1);
    const auto known =
      static_cast<double>(this->shared.peers.read()->size() + 1);
    const double part = crossesSteadily(engine) ? kCalmPart : kSlowLinkPart;
    this->links.setRate(part * engine.linkMbps * kBytesPerMegabit *
                        std::min(heard / known, 1.0));
    aDemand.closed = this->links.closed(this->now);
    aDemand.waits = this->links.waits(this->now);
    if (!aDemand.started) {
      aDemand.maxCrossings = crossingsInTime(aExchange, aDemand);
    }
  }
  Result<LayerPath> path = fail(ErrorKind::NoRoute, "");
  for (const bool slowToo : { false, true }) {
    path = findPath(engine, this->candidatesFor(aExchange, slowToo), aDemand);
    if (path) {
      return path;
    }
  }
  return path;
}

/** Books what a path takes of the pipes between zones: the prompt's activations
 * and those of each token that is written. */
void
RelayLoop::Impl::payCrossings(const Exchange& aExchange, const LayerPath& aPath)
{
  const double tokens = aExchange.need.prompt + aExchange.need.answer;
  for (const ZonePair& zones : aPath.crossings) {
    this->links.take(
      zones, tokens * aExchange.service->engine->activationBytes, this->now);
  }
}

Result<AttemptTarget>
RelayLoop::Impl::choosePath(const Exchange& aExchange,
                            const std::string& aFirst)
{
  PathDemand demand;
  demand.promptTokens = aExchange.need.prompt;
  demand.answerTokens = aExchange.need.answer;
  demand.zone = this->settings.zone;
  demand.started = aExchange.answering;
  demand.firstReplica = aFirst;
  Result<LayerPath> path = this->findPathFor(aExchange, demand);
  if (!path) {
    return path.error();
  }
  const PathPart& first = path.value().parts.front();
  const Replica* replica = this->replicaOf(first.replica);
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
  for (const std::size_t place : listed->second) {
    const Replica& replica = this->view->replicas[place];
    if (this->leaves(replica)) {
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
