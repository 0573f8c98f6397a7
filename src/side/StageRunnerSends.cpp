#include "poplartrack/side/StageRunner.h"

#include <glog/logging.h>

#include "poplartrack/wire/FenceRequest.h"
#include "poplartrack/wire/Repeat.h"
#include "poplartrack/wire/StageTrouble.h"

namespace poplartrack {
namespace {

/** A next stage that does not accept a step within this time, in three tries,
 * is reported. The entry's own stall detection is usually faster. */
constexpr RepeatPolicy kStepRepeat{ 3,
                                    std::chrono::milliseconds{ 500 },
                                    std::chrono::milliseconds{ 20 } };
/** Pause before a step is offered again to a next stage that is silent. */
constexpr Duration kSilentPause = std::chrono::milliseconds{ 100 };
constexpr RepeatPolicy kTokenRepeat{ 4,
                                     std::chrono::seconds{ 1 },
                                     std::chrono::milliseconds{ 20 } };
constexpr RepeatPolicy kTroubleRepeat{ 3,
                                       std::chrono::seconds{ 1 },
                                       std::chrono::milliseconds{ 20 } };

} // namespace

void
StageRunner::sendStep(const RunNow& aRun, const RunStep& aStep)
{
  const std::string next = aRun.nextStage.endpoint;
  if (next == this->parts.endpoint) {
    const StepReply reply = this->step(aStep);
    if (reply.refusal.refused) {
      this->abandon(aRun, next, reply.refusal.error());
    }
    return;
  }
  const Result<Address> address = addressFromText(aRun.nextStage.address);
  if (!address) {
    this->abandon(aRun, next, address.error());
    return;
  }
  this->offerStep(StepOffer{ aRun, aStep, address.value(), {} });
}

void
StageRunner::offerStep(const StepOffer& aOffer)
{
  callRepeatedly<StepReply>(
    this->parts.peers,
    this->parts.timers,
    aOffer.next,
    aOffer.step,
    kStepRepeat,
    [this] { this->parts.metrics.countRetry(RetryReason::StepUnacknowledged); },
    [this, aOffer](const TypedResult<StepReply>& aResult) {
      this->onStepOffered(aOffer, aResult);
    });
}

void
StageRunner::onStepOffered(const StepOffer& aOffer,
                           const TypedResult<StepReply>& aResult)
{
  const std::string& next = aOffer.run.nextStage.endpoint;
  if (aResult.outcome != CallOutcome::Replied) {
    if (aResult.silent) {
      this->onNextStageSilent(aOffer, aResult.detail);
      return;
    }
    this->abandon(aOffer.run, next, fail(ErrorKind::StageLost, aResult.detail));
    return;
  }
  if (aOffer.silentSince) {
    const auto silentFor =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        runtimeNow() - *aOffer.silentSince);
    LOG(INFO) << "side: " << toText(aOffer.step.request) << " attempt "
              << aOffer.step.attempt << " continues, " << next
              << " answers again " << silentFor.count()
              << " ms after it was reported as silent";
  }
  if (aResult.reply.refusal.refused) {
    this->abandon(aOffer.run, next, aResult.reply.refusal.error());
  }
}

void
StageRunner::onNextStageSilent(StepOffer aOffer, const std::string& aDetail)
{
  const OpenAttempt& open = *aOffer.run.attempt;
  const TimePoint moment = runtimeNow();
  const bool isOpen = this->parts.ledger.with([&](StepLedger& aLedger) {
    return aLedger.mayDispatch(open.request, open.attempt, moment);
  });
  if (!isOpen) {
    return;
  }
  if (!aOffer.silentSince) {
    aOffer.silentSince = moment;
    const std::string& next = aOffer.run.nextStage.endpoint;
    LOG(WARNING) << "side: " << toText(open.request) << " attempt "
                 << open.attempt << " waits for " << next
                 << ", which is silent: " << aDetail;
    this->parts.metrics.count("next_stages_silent_total");
    this->tellTrouble(open.replyTo,
                      StageTrouble{ open.request,
                                    open.attempt,
                                    next,
                                    ErrorKind::StageLost,
                                    aDetail,
                                    true });
  }
  this->parts.timers.after(kSilentPause, [this, offer = std::move(aOffer)] {
    this->offerStep(offer);
  });
}

void
StageRunner::sendToken(const RunNow& aRun, const TokenReady& aToken)
{
  const Result<Address> entry = addressFromText(aRun.attempt->replyTo);
  if (!entry) {
    return;
  }
  callRepeatedly<TokenReply>(
    this->parts.peers,
    this->parts.timers,
    entry.value(),
    aToken,
    kTokenRepeat,
    [this] { this->parts.metrics.countRetry(RetryReason::StepUnacknowledged); },
    [this, aRun](const TypedResult<TokenReply>& aResult) {
      const bool answered = aResult.outcome == CallOutcome::Replied;
      if (answered && !aResult.reply.refusal.refused) {
        return;
      }
      this->dropOrphan(aRun, answered);
    });
}

void
StageRunner::dropOrphan(const RunNow& aRun, bool aEntryLives)
{
  const OpenAttempt& open = *aRun.attempt;
  this->parts.metrics.count("orphans_dropped_total");
  this->parts.ledger.with([&](StepLedger& aLedger) {
    aLedger.drop(open.request, open.attempt, runtimeNow());
  });
  this->cancelDropped();
  if (aEntryLives) {
    // The entry no longer needs this attempt and fences the route itself.
    return;
  }
  // No other process would notify the other stages: they would keep KV and
  // ledger records until the deadline, and their graceful shutdown would wait
  // for it. An entry that was only suspended may still open the next attempt.
  FenceRequest fence;
  fence.request = open.request;
  fence.below = open.attempt + 1;
  for (const RouteStage& stage : open.route) {
    const Result<Address> address = addressFromText(stage.address);
    if (stage.endpoint == this->parts.endpoint || !address) {
      continue;
    }
    callRepeatedly<FenceReply>(
      this->parts.peers,
      this->parts.timers,
      address.value(),
      fence,
      kTroubleRepeat,
      [] {},
      [](const TypedResult<FenceReply>& /*aResult*/) {});
  }
}

void
StageRunner::abandon(const RunNow& aRun,
                     const std::string& aBlamed,
                     const Error& aError)
{
  const OpenAttempt& open = *aRun.attempt;
  this->parts.ledger.with([&](StepLedger& aLedger) {
    aLedger.drop(open.request, open.attempt, runtimeNow());
  });
  this->cancelDropped();
  this->parts.metrics.count("attempts_abandoned_total");
  LOG(INFO) << "side: " << toText(open.request) << " attempt " << open.attempt
            << " ends, " << aBlamed << ": " << describe(aError);
  this->tellTrouble(
    open.replyTo,
    StageTrouble{
      open.request, open.attempt, aBlamed, aError.kind, aError.detail });
}

void
StageRunner::tellTrouble(const std::string& aEntry,
                         const StageTrouble& aTrouble)
{
  const Result<Address> entry = addressFromText(aEntry);
  if (!entry) {
    return;
  }
  callRepeatedly<TroubleReply>(
    this->parts.peers,
    this->parts.timers,
    entry.value(),
    aTrouble,
    kTroubleRepeat,
    [] {},
    [](const TypedResult<TroubleReply>& /*aResult*/) {});
}

} // namespace poplartrack
