#pragma once

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "Figures.h"
#include "Scenario.h"
#include "SimulationParts.h"
#include "poplartrack/admit/AdmissionControl.h"
#include "poplartrack/route/FlowBound.h"
#include "poplartrack/route/RouteChooser.h"

namespace poplartrack::bench {

/**
 * Drives the real decision code over modelled endpoints with a clock of its
 * own: arrivals, batches, links, late hints, faults. Single-threaded and the
 * same for the same seed.
 */
template<typename Chooser>
class Simulation
{
public:
  Simulation(const Scenario& aScenario,
             std::uint64_t aSeed,
             std::vector<Chooser> aChoosers)
    : scenario(aScenario)
    , random(aSeed)
  {
    for (const EndpointShape& shape : aScenario.shapes) {
      this->endpoints.emplace_back(shape);
    }
    for (std::size_t i = 0; i < aChoosers.size(); ++i) {
      this->entries.push_back(this->makeEntry(std::move(aChoosers[i]), i));
    }
    this->figures.boundPerSecond = this->bound();
  }

  Figures run()
  {
    const double end = scenario.warmSeconds + scenario.measureSeconds;
    this->figures.goodBySecond.assign(static_cast<std::size_t>(end) + 1, 0);
    this->at(0, Kind::Arrival, 0);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      const double phase = scenario.hintEverySeconds * static_cast<double>(i) /
                           this->entries.size();
      this->at(phase * kSecond, Kind::Hints, static_cast<std::uint32_t>(i));
    }
    for (std::size_t i = 0; i < scenario.happenings.size(); ++i) {
      this->at(scenario.happenings[i].atSeconds * kSecond,
               Kind::Happening,
               static_cast<std::uint32_t>(i));
    }
    while (!this->events.empty() && this->events.top().at <= end * kSecond) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      this->handle(event);
    }
    return this->summary();
  }

private:
  using Entry = SimulatedEntry<Chooser>;
  using Request = SimulatedRequest;

  static constexpr double kSecond = 1e6;
  static constexpr Duration kBlindFirst = std::chrono::seconds{ 1 };
  static constexpr Duration kBlindNext = std::chrono::milliseconds{ 250 };
  static constexpr double kHop = 350;
  static constexpr double kOtherZone = 350;

  static TimePoint point(double aMicros)
  {
    return TimePoint{ std::chrono::hours{ 1 } } +
           Duration{ static_cast<std::int64_t>(aMicros) };
  }

  Entry makeEntry(Chooser aChooser, std::size_t aIndex)
  {
    AdmissionPolicy policy;
    policy.initialLimit = 200;
    Entry entry{ std::move(aChooser),
                 AdmissionControl::create(policy, aIndex).value(),
                 RetryBudget(RetryBudgetPolicy{}),
                 {} };
    Configuration settings;
    settings.models["m"].layers = scenario.layers;
    AccountSpec spec;
    spec.requestsPerSecond = 1e6;
    spec.tokensPerSecond = 1e9;
    settings.accounts["account"] = spec;
    entry.admission.configure(settings, point(0));
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
      if (i + scenario.joinLate < this->endpoints.size()) {
        entry.view.endpoints.push_back(this->infoOf(i));
      }
    }
    return entry;
  }

  EndpointInfo infoOf(std::size_t aIndex) const
  {
    const EndpointShape& shape = this->endpoints[aIndex].shape;
    EndpointInfo info;
    info.name = std::to_string(aIndex);
    info.incarnation = 1;
    info.address = "127.0.0.1:1";
    info.zone = shape.zone;
    info.region = shape.region;
    info.service = "engine";
    info.model = "m";
    info.modelVersion = "1";
    info.accelerator = shape.accelerator;
    info.holds = shape.holds;
    info.roundTrip =
      Duration{ static_cast<std::int64_t>(2 * (shape.linkMicros + kHop)) };
    return info;
  }

  double meanTokens() const
  {
    return (load.leastTokens + load.mostTokens) / 2.0;
  }

  /** Requests a second by the flow bound, with prefill counted in. */
  double bound() const
  {
    const double perToken =
      (this->meanTokens() + scenario.prompt * load.prefillWeight) /
      this->meanTokens();
    std::vector<FlowEndpoint> flows;
    for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
      const EndpointShape& shape = this->endpoints[i].shape;
      const bool gone =
        std::find(scenario.lost.begin(), scenario.lost.end(), i) !=
        scenario.lost.end();
      const double step =
        shape.layerMicros * (shape.knee + shape.batch * perToken);
      flows.push_back(FlowEndpoint{
        shape.holds, gone ? 0 : shape.batch * kSecond / step, 0 });
    }
    return flowBound(flows, scenario.layers) / this->meanTokens();
  }

  void at(double aAt, Kind aKind, std::uint32_t aIndex, std::uint32_t aTry = 0)
  {
    this->events.push(Event{ aAt, this->order++, aKind, aIndex, aTry });
  }

  void handle(const Event& aEvent)
  {
    switch (aEvent.kind) {
      case Kind::Arrival:
        return this->arrive();
      case Kind::StepArrives:
        return this->stepArrives(aEvent.index, aEvent.attempt);
      case Kind::BatchEnds:
        return this->batchEnds(aEvent.index);
      case Kind::Hints:
        return this->hear(aEvent.index);
      case Kind::StallCheck:
        return this->checkStall(aEvent.index, aEvent.attempt);
      case Kind::Retry:
        return this->retry(aEvent.index, aEvent.attempt);
      case Kind::Happening:
        return scenario.happenings[aEvent.index].act(this->endpoints);
    }
  }

  bool measured(double aAt) const
  {
    return aAt >= scenario.warmSeconds * kSecond;
  }

  void arrive()
  {
    const double offered = this->now >= scenario.laterFromSeconds * kSecond
                             ? scenario.offeredLater
                             : scenario.offered;
    std::exponential_distribution<double> gap(offered *
                                              this->figures.boundPerSecond);
    this->at(this->now + gap(this->random) * kSecond, Kind::Arrival, 0);
    Request request;
    request.entry =
      static_cast<std::uint32_t>(this->random() % this->entries.size());
    request.arrived = this->now;
    request.wanted =
      load.leastTokens +
      static_cast<std::uint32_t>(this->random() %
                                 (load.mostTokens - load.leastTokens + 1));
    request.prefix = this->drawPrefix();
    this->arrivals += this->measured(this->now) ? 1 : 0;
    const auto index = static_cast<std::uint32_t>(this->requests.size());
    this->requests.push_back(std::move(request));
    this->admit(index);
  }

  /** A prefix of 1 to scenario.prefixes, the n-th drawn 1/n as often. */
  std::uint32_t drawPrefix()
  {
    if (scenario.prefixes == 0) {
      return 0;
    }
    std::uniform_real_distribution<double> draw(
      0, std::log(scenario.prefixes + 1.0));
    return static_cast<std::uint32_t>(std::exp(draw(this->random)));
  }

  double deadline(const Request& aRequest) const
  {
    return aRequest.arrived + load.deadlineSeconds * kSecond;
  }

  RouteQuery queryFor(const Request& aRequest) const
  {
    RouteQuery query;
    query.model = "m";
    query.modelVersion = "1";
    query.layers = scenario.layers;
    query.fromZone = "oslo-" + std::to_string(aRequest.entry % 3);
    query.fromRegion = "oslo";
    query.prefixHash = scenario.affinity ? aRequest.prefix : 0;
    query.prefillTokens = scenario.prompt + aRequest.done;
    query.tokensWanted = aRequest.wanted - aRequest.done;
    query.remaining = Duration{ static_cast<std::int64_t>(
      std::max(1.0, this->deadline(aRequest) - this->now)) };
    return query;
  }

  void admit(std::uint32_t aIndex)
  {
    Request& request = this->requests[aIndex];
    Entry& entry = this->entries[request.entry];
    const auto plan =
      entry.chooser.choose(entry.view, this->queryFor(request), point(now));
    if (!plan) {
      this->refuse(request);
      return;
    }
    AdmitQuery query;
    query.account = "account";
    query.model = "m";
    query.promptTokens = scenario.prompt;
    query.tokensWanted = request.wanted;
    query.deadline = point(this->deadline(request));
    query.expectedFirstToken = plan.value().expectedFirstToken;
    query.expectedPerToken = plan.value().expectedPerToken;
    query.expectedWait = plan.value().expectedWait;
    if (scenario.admission) {
      const auto answer = entry.admission.admit(query, point(now));
      if (std::holds_alternative<Refused>(answer)) {
        this->refuse(request);
        return;
      }
      request.ticket = std::get<Admitted>(answer).ticket;
    }
    entry.budget.onRequest(point(now));
    this->admitted += this->measured(now) ? 1 : 0;
    this->begin(aIndex, plan.value());
  }

  void refuse(Request& aRequest)
  {
    aRequest.over = true;
    this->refused += this->measured(this->now) ? 1 : 0;
  }

  void begin(std::uint32_t aIndex, const RoutePlan& aPlan)
  {
    Request& request = this->requests[aIndex];
    Entry& entry = this->entries[request.entry];
    request.route = aPlan.route;
    request.stage = 0;
    request.prefilled = false;
    ++request.attempt;
    this->attempts += this->measured(this->now) ? 1 : 0;
    request.lastToken = this->now;
    entry.chooser.onRouteStarted(request.route, point(now));
    for (const RouteStage& stage : request.route) {
      ++this->endpoints[std::stoul(stage.endpoint)].attempts;
    }
    // A baseline expects nothing: its watch has the patience of a fixed
    // time-out of 8 s for the first token and 2 s for each other.
    const bool expects = aPlan.expectedPerToken > Duration{ 0 };
    const Duration first = expects ? aPlan.expectedFirstToken : kBlindFirst;
    const Duration next = expects ? aPlan.expectedPerToken : kBlindNext;
    request.watch.emplace(StallPolicy{}, first, next, point(now));
    this->watchLater(aIndex);
    const std::size_t to = std::stoul(request.route[0].endpoint);
    this->at(this->now + kHop + this->endpoints[to].shape.linkMicros,
             Kind::StepArrives,
             aIndex,
             request.attempt);
  }

  void watchLater(std::uint32_t aIndex)
  {
    const Request& request = this->requests[aIndex];
    const auto at = request.watch->stallsAt() - point(0);
    this->at(static_cast<double>(at.count()),
             Kind::StallCheck,
             aIndex,
             request.attempt);
  }

  void checkStall(std::uint32_t aIndex, std::uint32_t aAttempt)
  {
    Request& request = this->requests[aIndex];
    if (request.over || request.attempt != aAttempt) {
      return;
    }
    if (request.watch->stallsAt() > point(now)) {
      this->watchLater(aIndex);
      return;
    }
    // The entry asks the sides of the route; the stage that holds the step
    // does not answer when it is frozen.
    const std::string& name = request.route[request.stage].endpoint;
    const ModelledEndpoint& suspect = this->endpoints[std::stoul(name)];
    if (!suspect.frozen && !suspect.dead) {
      this->entries[request.entry].chooser.onStalled(request.route, point(now));
    }
    this->lose(aIndex, name);
  }

  /** A stage of the attempt is lost: try again if budget and time allow. */
  void lose(std::uint32_t aIndex, const std::string& aName)
  {
    Request& request = this->requests[aIndex];
    Entry& entry = this->entries[request.entry];
    entry.chooser.onEndpointFailed(aName, point(now));
    this->leaveRoute(request, false);
    ++request.attempt;
    const bool allowed = !scenario.budget || entry.budget.tryRetry(point(now));
    if (!allowed || this->now > this->deadline(request)) {
      this->finish(aIndex, false);
      return;
    }
    constexpr double kFence = 1000;
    this->at(this->now + kFence, Kind::Retry, aIndex, request.attempt);
  }

  void retry(std::uint32_t aIndex, std::uint32_t aAttempt)
  {
    Request& request = this->requests[aIndex];
    if (request.over || request.attempt != aAttempt) {
      return;
    }
    Entry& entry = this->entries[request.entry];
    const auto plan =
      entry.chooser.choose(entry.view, this->queryFor(request), point(now));
    if (!plan) {
      this->finish(aIndex, false);
      return;
    }
    this->begin(aIndex, plan.value());
  }

  void leaveRoute(Request& aRequest, bool aWell)
  {
    Entry& entry = this->entries[aRequest.entry];
    entry.chooser.onRouteEnded(aRequest.route, aWell, point(now));
    for (const RouteStage& stage : aRequest.route) {
      --this->endpoints[std::stoul(stage.endpoint)].attempts;
    }
  }

  void stepArrives(std::uint32_t aIndex, std::uint32_t aAttempt)
  {
    Request& request = this->requests[aIndex];
    if (request.over || request.attempt != aAttempt) {
      return;
    }
    const RouteStage& stage = request.route[request.stage];
    const auto number = static_cast<std::uint32_t>(std::stoul(stage.endpoint));
    if (this->endpoints[number].dead) {
      this->lose(aIndex, stage.endpoint);
      return;
    }
    Step step{ aIndex, aAttempt, stage.runs.size(), 1 };
    if (!request.prefilled) {
      const bool hit = request.prefix != 0 &&
                       this->endpoints[number].touchPrefix(request.prefix);
      constexpr double kPartNotCached = 0.2;
      const double prompt = scenario.prompt * (hit ? kPartNotCached : 1);
      this->prefills += 1;
      this->hits += hit ? 1 : 0;
      step.weight = 1 + (prompt + request.done) * load.prefillWeight;
    }
    this->endpoints[number].push(step);
    this->startBatch(number);
  }

  void startBatch(std::uint32_t aNumber)
  {
    const double took = this->endpoints[aNumber].start();
    if (took >= 0) {
      this->at(this->now + took, Kind::BatchEnds, aNumber);
    }
  }

  void batchEnds(std::uint32_t aNumber)
  {
    ModelledEndpoint& endpoint = this->endpoints[aNumber];
    if (endpoint.frozen || endpoint.dead) {
      return;
    }
    for (const Step& step : endpoint.finish()) {
      this->stepDone(step);
    }
    this->startBatch(aNumber);
  }

  void stepDone(const Step& aStep)
  {
    Request& request = this->requests[aStep.request];
    if (request.over || request.attempt != aStep.attempt) {
      return;
    }
    const std::size_t from = std::stoul(request.route[request.stage].endpoint);
    ++request.stage;
    if (request.stage == request.route.size()) {
      request.stage = 0;
      this->token(aStep.request);
      if (request.over) {
        return;
      }
    }
    const std::size_t to = std::stoul(request.route[request.stage].endpoint);
    const EndpointShape& one = this->endpoints[from].shape;
    const EndpointShape& two = this->endpoints[to].shape;
    const double zones = one.zone == two.zone ? 0 : kOtherZone;
    this->at(this->now + kHop + zones + one.linkMicros + two.linkMicros,
             Kind::StepArrives,
             aStep.request,
             request.attempt);
  }

  void token(std::uint32_t aIndex)
  {
    Request& request = this->requests[aIndex];
    Entry& entry = this->entries[request.entry];
    const double gap = this->now - request.lastToken;
    const bool first = request.done == 0;
    if (first) {
      if (this->measured(request.arrived)) {
        this->firstTokens.push_back(this->now - request.arrived);
      }
    } else if (this->measured(this->now)) {
      this->gaps.push_back(gap);
    }
    if (request.prefilled) {
      entry.chooser.onToken(
        request.route, Duration{ static_cast<std::int64_t>(gap) }, point(now));
    }
    request.prefilled = true;
    request.lastToken = this->now;
    request.watch->onToken(point(now));
    ++request.done;
    if (request.done >= request.wanted) {
      this->leaveRoute(request, true);
      this->finish(aIndex, true);
    } else if (this->now > this->deadline(request)) {
      this->leaveRoute(request, true);
      this->finish(aIndex, false);
    }
  }

  void finish(std::uint32_t aIndex, bool aWhole)
  {
    Request& request = this->requests[aIndex];
    request.over = true;
    Entry& entry = this->entries[request.entry];
    if (request.ticket != 0) {
      entry.admission.finish(
        request.ticket, scenario.prompt + request.done, aWhole, point(now));
    }
    const bool inTime = aWhole && this->now <= this->deadline(request);
    if (inTime) {
      this->figures.goodBySecond[static_cast<std::size_t>(now / kSecond)] += 1;
    }
    if (!this->measured(this->now)) {
      return;
    }
    (inTime ? this->good : this->failed) += 1;
  }

  void hear(std::uint32_t aEntry)
  {
    Entry& entry = this->entries[aEntry];
    if (!entry.seenAll && scenario.joinLate > 0 &&
        this->now >= scenario.joinAtSeconds * kSecond) {
      entry.seenAll = true;
      for (std::size_t i = entry.view.endpoints.size();
           i < this->endpoints.size();
           ++i) {
        entry.view.endpoints.push_back(this->infoOf(i));
      }
    }
    for (std::size_t i = 0; i < entry.view.endpoints.size(); ++i) {
      const ModelledEndpoint& endpoint = this->endpoints[i];
      if (endpoint.silent || endpoint.dead || endpoint.frozen) {
        continue;
      }
      EndpointInfo& info = entry.view.endpoints[i];
      info.load = endpoint.report();
      info.loadReportedAt = point(now);
      if (endpoint.lies) {
        info.load.attempts = 1;
        info.load.queued = 0;
        info.load.stepMicros /= 10;
      }
    }
    this->at(
      this->now + scenario.hintEverySeconds * kSecond, Kind::Hints, aEntry);
  }

  Figures summary()
  {
    constexpr double kMilli = 1e-3;
    Figures& out = this->figures;
    const double seconds = scenario.measureSeconds;
    out.offeredPerSecond = this->arrivals / seconds;
    out.goodPerSecond = this->good / seconds;
    out.goodOverBound = out.goodPerSecond / out.boundPerSecond;
    out.firstTokenP95 = quantile(this->firstTokens, 0.95) * kMilli;
    out.firstTokenP99 = quantile(this->firstTokens, 0.99) * kMilli;
    out.gapP95 = quantile(this->gaps, 0.95) * kMilli;
    out.refusedPart = this->refused / std::max(1.0, this->arrivals);
    out.failedPart = this->failed / std::max(1.0, this->arrivals);
    out.hitPart = this->hits / std::max(1.0, this->prefills);
    out.amplification = this->attempts / std::max(1.0, this->admitted);
    return out;
  }

  Scenario scenario;
  Workload load;
  std::mt19937_64 random;
  std::vector<ModelledEndpoint> endpoints;
  std::vector<Entry> entries;
  std::vector<Request> requests;
  std::priority_queue<Event> events;
  std::uint64_t order = 0;
  double now = 0;
  double arrivals = 0;
  double admitted = 0;
  double attempts = 0;
  double refused = 0;
  double prefills = 0;
  double hits = 0;
  double good = 0;
  double failed = 0;
  std::vector<double> firstTokens;
  std::vector<double> gaps;
  Figures figures;
};

} // namespace poplartrack::bench
