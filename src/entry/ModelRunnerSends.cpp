#include "poplartrack/entry/ModelRunner.h"

#include "poplartrack/wire/Repeat.h"

namespace poplartrack {
namespace {

/** A fence is sent several times: until it arrives, the side keeps KV and a
 * ledger record for the attempt. */
constexpr RepeatPolicy kFenceRepeat{ 3,
                                     std::chrono::seconds{ 1 },
                                     std::chrono::milliseconds{ 100 } };
constexpr Duration kStepTimeout = std::chrono::seconds{ 1 };

} // namespace

void
ModelRunner::open(const RunPtr& aRun, const SendOpen& aSend)
{
  const std::uint32_t attempt = aSend.message.attempt;
  const std::uint32_t stage = aSend.message.stage;
  const auto done = [this, aRun, attempt, stage, endpoint = aSend.endpoint](
                      const TypedResult<OpenReply>& aResult) {
    if (aResult.outcome == CallOutcome::Replied) {
      this->parts.endpoints.onReply(
        endpoint, aResult.reply.refusal, aResult.reply.load);
    }
    this->apply(aRun, [&](RequestRun& aState, TimePoint aNow) {
      return aState.onOpenReply(
        attempt, stage, aResult.outcome, aResult.reply, aNow);
    });
  };
  const Result<Address> address = addressFromText(aSend.address);
  if (!address) {
    done(TypedResult<OpenReply>{ CallOutcome::NotSent, {}, "no address" });
    return;
  }
  callPeer<OpenReply>(this->parts.peers,
                      address.value(),
                      aSend.message,
                      this->policy.openWait,
                      done);
}

void
ModelRunner::firstStep(const RunPtr& aRun, const SendFirstStep& aSend)
{
  const std::uint32_t attempt = aSend.message.attempt;
  const auto done =
    [this, aRun, attempt](const TypedResult<StepReply>& aResult) {
      this->apply(aRun, [&](RequestRun& aState, TimePoint aNow) {
        return aState.onFirstStepReply(
          attempt, aResult.outcome, aResult.reply, aNow);
      });
    };
  const Result<Address> address = addressFromText(aSend.address);
  if (!address) {
    done(TypedResult<StepReply>{ CallOutcome::NotSent, {}, "no address" });
    return;
  }
  callPeer<StepReply>(
    this->parts.peers, address.value(), aSend.message, kStepTimeout, done);
}

void
ModelRunner::fence(const RunPtr& aRun, const SendFence& aSend)
{
  const Result<Address> address = addressFromText(aSend.address);
  if (!address) {
    return;
  }
  callRepeatedly<FenceReply>(
    this->parts.peers,
    this->parts.timers,
    address.value(),
    aSend.message,
    kFenceRepeat,
    [] {},
    [this, aRun, aSend](const TypedResult<FenceReply>& aResult) {
      this->apply(aRun, [&](RequestRun& aState, TimePoint aNow) {
        return aState.onFenceReply(aSend, aResult.outcome, aResult.reply, aNow);
      });
    });
}

} // namespace poplartrack
