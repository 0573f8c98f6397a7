#include "poplartrack/entry/PlainDispatcher.h"

#include <algorithm>

#include "poplartrack/entry/FailingEndpoints.h"
#include "poplartrack/entry/RouteFallback.h"

namespace poplartrack {
namespace {

/** How long to wait past the deadline, in case the call's own timers fail. */
constexpr Duration kGrace = std::chrono::seconds{ 2 };

} // namespace

/** One call in progress; guard protects all members. */
struct PlainDispatcher::Active
{
  Active(const PlainSpec& aSpec, PlainRun aRun)
    : spec(aSpec)
    , run(std::move(aRun))
  {
  }

  const PlainSpec spec;
  std::mutex guard;
  std::condition_variable changed;
  PlainRun run;
  std::optional<TimePoint> wakeSet;
  std::optional<PlainEnd> end;
  std::string endpoint;
};

PlainDispatcher::PlainDispatcher(EntryParts aParts, PlainPolicy aPolicy)
  : parts(std::move(aParts))
  , policy(aPolicy)
{
}

PlainEnd
PlainDispatcher::call(const PlainSpec& aSpec)
{
  Result<PlainRun> run = PlainRun::create(aSpec, this->policy);
  if (!run) {
    return PlainEnd{ {}, run.error(), RunState::NotRun, 0, {} };
  }
  const auto active = std::make_shared<Active>(aSpec, std::move(run).value());
  if (!this->add(active)) {
    return PlainEnd{ {}, fail(ErrorKind::Draining), RunState::NotRun, 0, {} };
  }
  this->parts.decider.with(
    [](RouteChooser&, AdmissionControl&, RetryBudget& aBudget) {
      aBudget.onRequest(runtimeNow());
    });
  this->apply(active,
              [](PlainRun& aRun, TimePoint aNow) { return aRun.start(aNow); });
  PlainEnd end = awaitEnd(*active);
  this->remove(active);
  return end;
}

PlainEnd
PlainDispatcher::awaitEnd(Active& aCall)
{
  std::unique_lock lock{ aCall.guard };
  aCall.changed.wait_until(lock, aCall.spec.deadline + kGrace, [&aCall] {
    return aCall.end.has_value();
  });
  return aCall.end.value_or(PlainEnd{ {},
                                      fail(ErrorKind::DeadlineExceeded),
                                      RunState::Unknown,
                                      aCall.run.attempt(),
                                      aCall.endpoint });
}

bool
PlainDispatcher::add(const ActivePtr& aCall)
{
  const std::scoped_lock lock{ this->guard };
  if (!this->isEnding) {
    this->calls.insert(aCall);
  }
  return !this->isEnding;
}

void
PlainDispatcher::remove(const ActivePtr& aCall)
{
  const std::scoped_lock lock{ this->guard };
  this->calls.erase(aCall);
}

void
PlainDispatcher::endAll()
{
  std::set<ActivePtr> open;
  {
    const std::scoped_lock lock{ this->guard };
    this->isEnding = true;
    open = this->calls;
  }
  for (const ActivePtr& call : open) {
    this->apply(call, [](PlainRun& aRun, TimePoint /*aNow*/) {
      return aRun.onEntryEnds();
    });
  }
}

void
PlainDispatcher::apply(
  const ActivePtr& aCall,
  const std::function<Actions(PlainRun&, TimePoint)>& aEvent)
{
  Actions actions;
  {
    const std::scoped_lock lock{ aCall->guard };
    actions = aEvent(aCall->run, runtimeNow());
    this->absorb(*aCall, actions);
    this->setTimer(aCall);
  }
  for (const PlainAction& action : actions) {
    this->execute(aCall, action);
  }
}

void
PlainDispatcher::absorb(Active& aCall, const Actions& aActions)
{
  for (const PlainAction& action : aActions) {
    PlainEnd end;
    end.attempts = aCall.run.attempt();
    end.endpoint = aCall.endpoint;
    if (const auto* answer = std::get_if<Answer>(&action)) {
      end.answer = *answer;
      end.ran = RunState::Ran;
    } else if (const auto* giveUp = std::get_if<GiveUp>(&action)) {
      end.error = giveUp->error;
      end.ran = giveUp->ran;
    } else {
      continue;
    }
    aCall.end = std::move(end);
    aCall.changed.notify_all();
  }
}

void
PlainDispatcher::setTimer(const ActivePtr& aCall)
{
  const std::optional<TimePoint> wake = aCall->run.nextWake();
  if (!wake || (aCall->wakeSet && *aCall->wakeSet <= *wake)) {
    return;
  }
  aCall->wakeSet = wake;
  this->parts.timers.at(*wake, [this, weak = std::weak_ptr{ aCall }] {
    const ActivePtr call = weak.lock();
    if (!call) {
      return;
    }
    this->apply(call, [&call](PlainRun& aState, TimePoint aNow) {
      call->wakeSet.reset();
      return aState.onTick(aNow);
    });
  });
}

void
PlainDispatcher::execute(const ActivePtr& aCall, const PlainAction& aAction)
{
  if (const auto* need = std::get_if<NeedEndpoint>(&aAction)) {
    this->choose(aCall, *need);
  } else if (const auto* plain = std::get_if<SendPlain>(&aAction)) {
    this->send(aCall, *plain);
  } else if (const auto* sendFence = std::get_if<SendFence>(&aAction)) {
    this->fence(aCall, *sendFence);
  }
}

void
PlainDispatcher::choose(const ActivePtr& aCall, const NeedEndpoint& aNeed)
{
  const std::shared_ptr<const EndpointView> view = this->parts.endpoints.view();
  const TimePoint moment = runtimeNow();
  std::vector<std::set<std::string>> order = avoidInOrder(aNeed);
  if (aNeed.keepsAttempt) {
    order.front().merge(failingEndpoints(*view));
  }
  const Result<EndpointInfo> chosen =
    this->parts.decider.with([&](RouteChooser& aChooser,
                                 AdmissionControl&,
                                 RetryBudget& aBudget) -> Result<EndpointInfo> {
      for (const std::string& endpoint : aNeed.avoid) {
        aChooser.onEndpointFailed(endpoint,
                                  moment,
                                  aNeed.lastResort.contains(endpoint)
                                    ? LossEvidence::Silence
                                    : LossEvidence::Refusal);
      }
      Result<EndpointInfo> found = fail(ErrorKind::NoRoute);
      for (const std::set<std::string>& avoid : order) {
        found = aChooser.choosePlain(
          *view, aCall->spec.service, this->parts.zone, avoid, moment);
        if (found) {
          break;
        }
      }
      const bool mayRepeatWork =
        aNeed.isRetry && aNeed.reason != RetryReason::PlainNotRun;
      if (found && mayRepeatWork && !aBudget.tryRetry(moment)) {
        return fail(ErrorKind::RetriesExhausted, "the retry budget is spent");
      }
      return found;
    });
  if (aNeed.isRetry && (chosen || !aNeed.keepsAttempt)) {
    this->parts.metrics.countRetry(aNeed.reason);
  }
  this->apply(aCall, [&](PlainRun& aState, TimePoint aNow) {
    if (!chosen) {
      return aState.onNoEndpoint(aNeed.attempt, chosen.error(), aNow);
    }
    aCall->endpoint = chosen.value().name;
    return aState.onEndpoint(aNeed.attempt,
                             PlainTarget{ chosen.value().name,
                                          chosen.value().incarnation,
                                          chosen.value().address },
                             aNow);
  });
}

void
PlainDispatcher::send(const ActivePtr& aCall, const SendPlain& aSend)
{
  const std::uint32_t attempt = aSend.message.attempt;
  const std::string endpoint = aSend.endpoint;
  const auto done =
    [this, aCall, attempt, endpoint](const TypedResult<PlainReply>& aResult) {
      const bool replied = aResult.outcome == CallOutcome::Replied;
      const bool isUnreached =
        aResult.outcome == CallOutcome::NotSent && aResult.silent;
      this->parts.decider.with(
        [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
          aChooser.onPlainEnded(endpoint,
                                replied,
                                runtimeNow(),
                                isUnreached ? LossEvidence::Silence
                                            : LossEvidence::Refusal);
        });
      if (replied) {
        this->parts.endpoints.onReply(
          endpoint, aResult.reply.refusal, aResult.reply.load);
      } else {
        this->parts.endpoints.onCallFailed(endpoint);
      }
      this->apply(aCall, [&](PlainRun& aState, TimePoint aNow) {
        return isUnreached ? aState.onUnreached(attempt, aNow)
                           : aState.onPlainReply(
                               attempt, aResult.outcome, aResult.reply, aNow);
      });
    };
  this->parts.decider.with(
    [&](RouteChooser& aChooser, AdmissionControl&, RetryBudget&) {
      aChooser.onPlainStarted(endpoint, runtimeNow());
    });
  const Result<Address> address = addressFromText(aSend.address);
  if (!address) {
    done(TypedResult<PlainReply>{ CallOutcome::NotSent, {}, "no address" });
    return;
  }
  const Duration left{ static_cast<Duration::rep>(
    aSend.message.remainingMicros) };
  callPeer<PlainReply>(
    this->parts.peers, address.value(), aSend.message, left, done);
}

void
PlainDispatcher::fence(const ActivePtr& aCall, const SendFence& aSend)
{
  const Result<Address> address = addressFromText(aSend.address);
  if (!address) {
    return;
  }
  callPeer<FenceReply>(
    this->parts.peers,
    address.value(),
    aSend.message,
    std::chrono::seconds{ 1 },
    [this, aCall, aSend](const TypedResult<FenceReply>& aResult) {
      this->apply(aCall, [&](PlainRun& aState, TimePoint aNow) {
        return aState.onFenceReply(aSend, aResult.outcome, aResult.reply, aNow);
      });
    });
}

} // namespace poplartrack
