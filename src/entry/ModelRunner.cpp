#include "poplartrack/entry/ModelRunner.h"

#include <algorithm>

#include <glog/logging.h>
#include <xxhash.h>

#include "poplartrack/entry/FailingEndpoints.h"
#include "poplartrack/entry/RouteFallback.h"

namespace poplartrack {
namespace {

/** Interval of the route choice for a request that has lost its route. */
constexpr Duration kRoutePause = std::chrono::milliseconds{ 100 };
/** Prompts with the same first tokens, this many, are sent to endpoints where
 * the prefix may still be cached. */
constexpr std::size_t kAffinityTokens = 64;

ExpectedPace
paceOf(const RoutePlan& aPlan)
{
  return ExpectedPace{ aPlan.expectedFirstToken, aPlan.expectedPerToken };
}

std::uint64_t
prefixHashOf(const std::vector<std::uint32_t>& aPrompt)
{
  const std::size_t count = std::min(aPrompt.size(), kAffinityTokens);
  return XXH3_64bits(aPrompt.data(), count * sizeof(std::uint32_t));
}

/** Returns for how long an endpoint is a last resort, if that has just begun.
 */
std::string
backoffText(const std::optional<TimePoint>& aUntil, TimePoint aNow)
{
  if (!aUntil) {
    return {};
  }
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(*aUntil - aNow);
  return ", a last resort for " + std::to_string(millis.count()) + " ms";
}

} // namespace

ModelRunner::ModelRunner(EntryParts aParts, RunPolicy aPolicy)
  : parts(std::move(aParts))
  , policy(aPolicy)
{
}

RouteQuery
ModelRunner::queryFor(const RequestSpec& aSpec, TimePoint aNow) const
{
  RouteQuery query;
  query.model = aSpec.model;
  query.modelVersion = aSpec.modelVersion;
  query.layers = aSpec.layers;
  query.fromZone = this->parts.zone;
  query.fromRegion = this->parts.region;
  query.prefixHash = prefixHashOf(aSpec.prompt);
  query.prefillTokens = static_cast<std::uint32_t>(aSpec.prompt.size());
  query.tokensWanted = aSpec.tokensWanted;
  query.remaining = aSpec.deadline - aNow;
  return query;
}

Result<std::shared_ptr<ActiveRun>>
ModelRunner::start(const RequestSpec& aSpec, const RoutePlan& aPlan)
{
  const TimePoint started = runtimeNow();
  Result<RequestRun> run = RequestRun::create(aSpec, this->policy, started);
  if (!run) {
    return run.error();
  }
  auto active =
    std::make_shared<ActiveRun>(aSpec, std::move(run).value(), aPlan, started);
  {
    const std::scoped_lock lock{ this->guard };
    if (this->isEnding) {
      return fail(ErrorKind::Draining);
    }
    this->runs.emplace(aSpec.request, active);
  }
  this->parts.decider.with(
    [&](RouteChooser&, AdmissionControl&, RetryBudget& aBudget) {
      aBudget.onRequest(started);
    });
  this->apply(
    active, [](RequestRun& aRun, TimePoint aNow) { return aRun.start(aNow); });
  return active;
}

ModelRunner::RunPtr
ModelRunner::find(const RequestId& aRequest) const
{
  const std::scoped_lock lock{ this->guard };
  const auto found = this->runs.find(aRequest);
  return found == this->runs.end() ? nullptr : found->second;
}

std::size_t
ModelRunner::active() const
{
  const std::scoped_lock lock{ this->guard };
  return this->runs.size();
}

void
ModelRunner::apply(const RunPtr& aRun,
                   const std::function<Actions(RequestRun&, TimePoint)>& aEvent)
{
  Actions actions;
  bool ended = false;
  {
    const std::scoped_lock lock{ aRun->guard };
    const TimePoint moment = runtimeNow();
    actions = aEvent(aRun->run, moment);
    this->noteRoute(*aRun, moment);
    this->absorb(*aRun, actions, moment);
    this->setTimer(aRun);
    ended = aRun->run.ended();
  }
  if (ended) {
    const std::scoped_lock lock{ this->guard };
    this->runs.erase(aRun->spec.request);
  }
  for (const RunAction& action : actions) {
    this->execute(aRun, action);
  }
}

void
ModelRunner::noteRoute(ActiveRun& aRun, TimePoint aNow)
{
  const Route& route = aRun.run.route();
  const bool ended = aRun.run.ended();
  if (route == aRun.usedRoute && !ended) {
    return;
  }
  this->parts.decider.with(
    [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
      if (!aRun.usedRoute.empty()) {
        // If tokens have arrived, the route was working.
        aChooser.onRouteEnded(aRun.usedRoute, ended, aNow);
      }
      if (!ended && !route.empty()) {
        aChooser.onRouteStarted(route, aNow);
      }
    });
  aRun.usedRoute = ended ? Route{} : route;
}

void
ModelRunner::absorb(ActiveRun& aRun, const Actions& aActions, TimePoint aNow)
{
  for (const RunAction& action : aActions) {
    if (const auto* token = std::get_if<DeliverToken>(&action)) {
      if (aRun.firstToken == TimePoint{}) {
        aRun.firstToken = aNow;
        this->parts.metrics.observe("first_token_seconds", aNow - aRun.started);
      } else {
        const Duration gap = aNow - aRun.lastToken;
        this->parts.metrics.observe("token_gap_seconds", gap);
        this->parts.decider.with(
          [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
            aChooser.onToken(aRun.run.route(), gap, aNow);
          });
      }
      aRun.lastToken = aNow;
      aRun.deliver(token->token);
    } else if (std::holds_alternative<Complete>(action)) {
      aRun.finish(RunEnd{ true, {}, RunState::Ran });
    } else if (const auto* giveUp = std::get_if<GiveUp>(&action)) {
      aRun.finish(RunEnd{ false, giveUp->error, giveUp->ran });
    }
  }
}

void
ModelRunner::setTimer(const RunPtr& aRun)
{
  const std::optional<TimePoint> wake = aRun->run.nextWake();
  if (!wake || (aRun->wakeSet && *aRun->wakeSet <= *wake)) {
    return;
  }
  aRun->wakeSet = wake;
  this->parts.timers.at(*wake, [this, weak = std::weak_ptr{ aRun }] {
    const RunPtr run = weak.lock();
    if (!run) {
      return;
    }
    this->apply(run, [&run](RequestRun& aState, TimePoint aNow) {
      run->wakeSet.reset();
      return aState.onTick(aNow);
    });
  });
}

void
ModelRunner::execute(const RunPtr& aRun, const RunAction& aAction)
{
  if (const auto* need = std::get_if<NeedRoute>(&aAction)) {
    this->route(aRun, *need);
  } else if (const auto* sendOpen = std::get_if<SendOpen>(&aAction)) {
    this->open(aRun, *sendOpen);
  } else if (const auto* step = std::get_if<SendFirstStep>(&aAction)) {
    this->firstStep(aRun, *step);
  } else if (const auto* sendFence = std::get_if<SendFence>(&aAction)) {
    this->fence(aRun, *sendFence);
  }
}

void
ModelRunner::noteBlame(ActiveRun& aRun, const NeedRoute& aNeed)
{
  std::vector<std::string> fresh;
  {
    const std::scoped_lock lock{ aRun.guard };
    // A side that replied has not failed, even if its stage may be slow.
    for (const std::string& endpoint : aNeed.failedLast) {
      if (aRun.blamed.insert(endpoint).second) {
        fresh.push_back(endpoint);
      }
    }
  }
  for (const std::string& endpoint : fresh) {
    this->parts.endpoints.onCallFailed(endpoint);
    const TimePoint moment = runtimeNow();
    const std::optional<TimePoint> until = this->parts.decider.with(
      [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
        return aChooser.onEndpointFailed(endpoint, moment, aNeed.evidence);
      });
    LOG(INFO) << "run: " << toText(aRun.spec.request) << " attempt "
              << aNeed.attempt << " avoids " << endpoint << ", "
              << nameOf(aNeed.reason) << " by " << nameOf(aNeed.evidence)
              << backoffText(until, moment);
  }
}

void
ModelRunner::noteStall(ActiveRun& aRun, const NeedRoute& aNeed)
{
  if (!aNeed.failedLast.empty()) {
    return;
  }
  // All its sides reply, but no token arrived: one of the stages is slow, and
  // the next attempt should not take the same route.
  Route stalled;
  {
    const std::scoped_lock lock{ aRun.guard };
    stalled = aRun.run.route();
  }
  this->parts.decider.with(
    [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
      aChooser.onStalled(stalled, runtimeNow());
    });
}

Result<RoutePlan>
ModelRunner::choose(const ActiveRun& aRun,
                    const std::vector<std::set<std::string>>& aAvoidInOrder)
{
  const TimePoint moment = runtimeNow();
  const std::shared_ptr<const EndpointView> view = this->parts.endpoints.view();
  RouteQuery query = this->queryFor(aRun.spec, moment);
  Result<RoutePlan> plan = fail(ErrorKind::NoRoute);
  for (const std::set<std::string>& avoid : aAvoidInOrder) {
    query.avoid = avoid;
    plan = this->parts.decider.with(
      [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
        return aChooser.choose(*view, query, moment);
      });
    if (plan) {
      break;
    }
  }
  return plan;
}

void
ModelRunner::replace(const RunPtr& aRun, const NeedRoute& aNeed)
{
  this->noteBlame(*aRun, aNeed);
  this->noteStall(*aRun, aNeed);
  const std::set<std::string> failing =
    failingEndpoints(*this->parts.endpoints.view());
  std::vector<std::set<std::string>> order = avoidInOrder(aNeed, true);
  for (std::set<std::string>& avoid : order) {
    avoid.insert(failing.begin(), failing.end());
  }
  const Result<RoutePlan> plan = this->choose(*aRun, order);
  this->apply(aRun, [&](RequestRun& aState, TimePoint aNow) {
    if (!plan || !aState.mayBeReplacedBy(plan.value().route)) {
      return aState.onNoRoute(aNeed.attempt, fail(ErrorKind::NoRoute), aNow);
    }
    // Taken only now: an attempt that continues uses none of it.
    const bool hasBudget = this->parts.decider.with(
      [&](RouteChooser&, AdmissionControl&, RetryBudget& aBudget) {
        return aBudget.tryRetry(aNow);
      });
    if (!hasBudget) {
      return aState.onNoRoute(
        aNeed.attempt, fail(ErrorKind::RetriesExhausted), aNow);
    }
    this->parts.metrics.countRetry(aNeed.reason);
    return aState.onRoute(
      aNeed.attempt, plan.value().route, aNow, paceOf(plan.value()));
  });
}

void
ModelRunner::route(const RunPtr& aRun, const NeedRoute& aNeed)
{
  const std::uint32_t attempt = aNeed.attempt;
  if (!aNeed.isRetry) {
    this->apply(aRun, [&](RequestRun& aState, TimePoint aNow) {
      return aState.onRoute(
        attempt, aRun->plan.route, aNow, paceOf(aRun->plan));
    });
    return;
  }
  if (aNeed.keepsAttempt) {
    this->replace(aRun, aNeed);
    return;
  }
  this->parts.metrics.countRetry(aNeed.reason);
  this->noteBlame(*aRun, aNeed);
  const TimePoint moment = runtimeNow();
  // A rejected open has run nothing. A retry elsewhere adds no load to engines,
  // and the budget exists to bound that load.
  const bool repeatsWork = aNeed.reason != RetryReason::OpenRefused;
  const std::optional<TimePoint> start =
    !repeatsWork
      ? moment
      : this->parts.decider.with(
          [&](RouteChooser&, AdmissionControl&, RetryBudget& aBudget) {
            return aBudget.bookRetry(moment, aNeed.latest);
          });
  if (start == moment) {
    this->chooseAgain(aRun, aNeed, moment);
    return;
  }
  if (start) {
    // The caller has time left, so the retry waits for the budget instead of
    // the whole answer being lost.
    this->parts.metrics.count("retries_delayed_total");
    this->parts.timers.at(
      *start, [this, weak = std::weak_ptr{ aRun }, aNeed, since = *start] {
        if (const RunPtr run = weak.lock()) {
          this->chooseAgain(run, aNeed, since);
        }
      });
    return;
  }
  this->apply(aRun, [&](RequestRun& aState, TimePoint aNow) {
    return aState.onNoRoute(
      attempt,
      fail(ErrorKind::RetriesExhausted, "the retry budget is spent"),
      aNow);
  });
}

void
ModelRunner::chooseAgain(const RunPtr& aRun,
                         const NeedRoute& aNeed,
                         TimePoint aSince)
{
  const TimePoint moment = runtimeNow();
  const TimePoint latest = aSince + this->policy.routeWait;
  // Every replica of a layer has rejected this request once. One that is
  // available again may be tried again, but not before the entry has learned of
  // it: without a pause, restarted sides rejected all attempts of a request
  // within 2 ms, for 20 to 30 of 48 requests under continuous faults.
  const bool mayRepeat =
    aNeed.reason != RetryReason::OpenRefused || moment - aSince >= kRoutePause;
  const Result<RoutePlan> plan =
    this->choose(*aRun, avoidInOrder(aNeed, mayRepeat));
  if (!plan && moment < std::min(latest, aRun->spec.deadline)) {
    // The only replica of a layer was restarted, or is in backoff after a
    // failure. It will be available again after a probe or two, whereas giving
    // up loses the answer so far. The bound limits how long an answer that
    // cannot be continued is delayed.
    this->parts.timers.after(
      kRoutePause, [this, weak = std::weak_ptr{ aRun }, aNeed, aSince] {
        if (const RunPtr run = weak.lock()) {
          this->chooseAgain(run, aNeed, aSince);
        }
      });
    return;
  }
  this->apply(aRun, [&](RequestRun& aState, TimePoint aNow) {
    return plan
             ? aState.onRoute(
                 aNeed.attempt, plan.value().route, aNow, paceOf(plan.value()))
             : aState.onNoRoute(aNeed.attempt, plan.error(), aNow);
  });
}

TokenReply
ModelRunner::onToken(const TokenReady& aToken)
{
  const RunPtr run = this->find(aToken.request);
  if (!run) {
    return TokenReply{ Refusal::of(
      fail(ErrorKind::UnknownAttempt, "the request has ended")) };
  }
  TokenReply reply;
  this->apply(run, [&](RequestRun& aState, TimePoint aNow) {
    TokenVerdict verdict = aState.onToken(aToken, aNow);
    reply.refusal = verdict.reply;
    return std::move(verdict.actions);
  });
  if (reply.refusal.refused) {
    this->parts.metrics.countRefusal(reply.refusal.kind);
  } else if (!aToken.receipt.empty()) {
    this->parts.endpoints.onLoad(aToken.receipt.back().endpoint, aToken.load);
  }
  return reply;
}

void
ModelRunner::onTrouble(const StageTrouble& aTrouble)
{
  const RunPtr run = this->find(aTrouble.request);
  if (!run) {
    return;
  }
  this->parts.metrics.count("stage_troubles_total");
  this->apply(run, [&](RequestRun& aState, TimePoint aNow) {
    return aState.onTrouble(aTrouble, aNow);
  });
}

void
ModelRunner::onEndpointGone(const std::string& aEndpoint)
{
  for (const RunPtr& run : this->allRuns()) {
    this->apply(run, [&](RequestRun& aState, TimePoint aNow) {
      return aState.onEndpointGone(aEndpoint, aNow);
    });
  }
}

std::vector<ModelRunner::RunPtr>
ModelRunner::allRuns() const
{
  std::vector<RunPtr> all;
  const std::scoped_lock lock{ this->guard };
  for (const auto& [id, run] : this->runs) {
    all.push_back(run);
  }
  return all;
}

void
ModelRunner::endAll()
{
  {
    const std::scoped_lock lock{ this->guard };
    this->isEnding = true;
  }
  for (const RunPtr& run : this->allRuns()) {
    this->apply(run, [](RequestRun& aState, TimePoint /*aNow*/) {
      return aState.onEntryEnds();
    });
  }
}

void
ModelRunner::onCallerGone(const RunPtr& aRun)
{
  this->apply(aRun, [](RequestRun& aState, TimePoint aNow) {
    return aState.onCallerGone(aNow);
  });
}

} // namespace poplartrack
