#include "poplartrack/entry/PlainRun.h"

#include <algorithm>
#include <utility>

namespace poplartrack {

PlainRun::PlainRun(PlainSpec aSpec, PlainPolicy aPolicy)
  : spec(std::move(aSpec))
  , policy(aPolicy)
{
}

Result<PlainRun>
PlainRun::create(PlainSpec aSpec, PlainPolicy aPolicy)
{
  if (aSpec.service.empty() || aSpec.operation.empty()) {
    return fail(ErrorKind::BadRequest, "no service or no operation is named");
  }
  return PlainRun{ std::move(aSpec), aPolicy };
}

PlainRun::Actions
PlainRun::start(TimePoint aNow)
{
  if (this->phase != Phase::Created) {
    return {};
  }
  if (aNow >= this->spec.deadline) {
    return this->giveUp(fail(ErrorKind::DeadlineExceeded));
  }
  this->phase = Phase::Choosing;
  this->attemptNumber = 1;
  NeedEndpoint need;
  need.attempt = this->attemptNumber;
  return { std::move(need) };
}

PlainRun::Actions
PlainRun::onEndpoint(std::uint32_t aAttempt,
                     const PlainTarget& aTarget,
                     TimePoint aNow)
{
  if (this->phase == Phase::Replacing && aAttempt == this->attemptNumber + 1) {
    Actions actions{ this->fenceTarget(aAttempt) };
    this->mayHaveRun = true;
    this->attemptNumber = aAttempt;
    Actions call = this->callTarget(aTarget, aNow);
    actions.insert(actions.end(), call.begin(), call.end());
    return actions;
  }
  if (!this->isCurrent(aAttempt, Phase::Choosing)) {
    return {};
  }
  if (aNow >= this->spec.deadline) {
    return this->giveUp(fail(ErrorKind::DeadlineExceeded));
  }
  return this->callTarget(aTarget, aNow);
}

PlainRun::Actions
PlainRun::callTarget(const PlainTarget& aTarget, TimePoint aNow)
{
  this->phase = Phase::Calling;
  this->target = aTarget;
  // Only a call that may run twice can be retried at another endpoint while its
  // outcome is unknown, and only while an attempt is left.
  const bool mayReplace =
    this->spec.idempotent && this->attemptNumber < this->policy.maxAttempts;
  this->phaseEnd =
    mayReplace ? aNow + this->policy.callWait : this->spec.deadline;
  PlainCall message;
  message.request = this->spec.request;
  message.attempt = this->attemptNumber;
  message.incarnation = aTarget.incarnation;
  message.service = this->spec.service;
  message.operation = this->spec.operation;
  message.body = this->spec.body;
  message.idempotent = this->spec.idempotent;
  message.remainingMicros =
    static_cast<std::uint64_t>(Duration{ this->spec.deadline - aNow }.count());
  message.revision = this->spec.revision;
  return { SendPlain{ aTarget.endpoint, aTarget.address, std::move(message) } };
}

PlainRun::Actions
PlainRun::onNoEndpoint(std::uint32_t aAttempt,
                       const Error& aError,
                       TimePoint aNow)
{
  if (this->phase == Phase::Replacing && aAttempt == this->attemptNumber + 1) {
    this->phase = Phase::Calling;
    this->phaseEnd = aNow + this->policy.callWait;
    return {};
  }
  if (!this->isCurrent(aAttempt, Phase::Choosing)) {
    return {};
  }
  return this->giveUp(aError);
}

PlainRun::Actions
PlainRun::onPlainReply(std::uint32_t aAttempt,
                       CallOutcome aOutcome,
                       const PlainReply& aReply,
                       TimePoint aNow)
{
  // Late replies of abandoned attempts are ignored: another attempt answers the
  // caller, or has done so.
  if (!this->isCalling() || aAttempt != this->attemptNumber) {
    return {};
  }
  this->unreached.erase(this->target.endpoint);
  if (aOutcome == CallOutcome::NotSent) {
    return this->elsewhere(RetryReason::PlainNotRun,
                           fail(ErrorKind::Network, "the side is not reached"),
                           aNow);
  }
  // A reply to another call proves nothing about this one.
  const bool isOwn =
    aOutcome == CallOutcome::Replied && aReply.request == this->spec.request;
  if (!isOwn) {
    return this->onUnknownOutcome(
      fail(ErrorKind::OutcomeUnknown, "the call's reply was lost"), aNow);
  }
  if (!aReply.refusal.refused) {
    this->phase = Phase::Ended;
    return { Answer{ aReply.status, aReply.body } };
  }
  if (!aReply.mayHaveRun) {
    return this->elsewhere(
      RetryReason::PlainNotRun, aReply.refusal.error(), aNow);
  }
  this->mayHaveRun = true;
  if (this->spec.idempotent) {
    return this->elsewhere(
      RetryReason::PlainIdempotent, aReply.refusal.error(), aNow);
  }
  // The side itself reports that the service may have received it: no fence can
  // prove otherwise.
  return this->giveUp(
    fail(ErrorKind::OutcomeUnknown, describe(aReply.refusal.error())));
}

PlainRun::Actions
PlainRun::onUnreached(std::uint32_t aAttempt, TimePoint aNow)
{
  if (!this->isCalling() || aAttempt != this->attemptNumber) {
    return {};
  }
  this->unreached.insert(this->target.endpoint);
  return this->elsewhere(
    RetryReason::PlainNotRun,
    fail(ErrorKind::Network, "the side took no connection in time"),
    aNow);
}

PlainRun::Actions
PlainRun::onUnknownOutcome(const Error& aError, TimePoint aNow)
{
  if (this->spec.idempotent) {
    this->mayHaveRun = true;
    Actions actions{ this->fenceTarget(this->attemptNumber + 1) };
    Actions next = this->elsewhere(RetryReason::PlainIdempotent, aError, aNow);
    actions.insert(actions.end(), next.begin(), next.end());
    return actions;
  }
  // The call may still be in the side's socket buffer and run at any later
  // time. Only a tombstone at the side prevents that, so it is requested, once.
  this->phase = Phase::Proving;
  this->phaseEnd = std::min(this->spec.deadline, aNow + this->policy.proofWait);
  return { this->fenceTarget(FenceRequest::kFenceAll) };
}

PlainRun::Actions
PlainRun::onFenceReply(const SendFence& aSent,
                       CallOutcome aOutcome,
                       const FenceReply& aReply,
                       TimePoint aNow)
{
  if (this->phase != Phase::Proving ||
      aSent.endpoint != this->target.endpoint ||
      aSent.message.below != FenceRequest::kFenceAll) {
    return {};
  }
  // Another incarnation does not know what the one that received the call has
  // run, and after the deadline the side may have forgotten that the call ran.
  const bool isProof = aOutcome == CallOutcome::Replied &&
                       aReply.request == aSent.message.request &&
                       aReply.below == aSent.message.below &&
                       !aReply.refusal.refused && !aReply.everRan &&
                       aReply.incarnation == this->target.incarnation &&
                       aNow < this->spec.deadline;
  if (isProof) {
    return this->elsewhere(
      RetryReason::PlainNotRun,
      fail(ErrorKind::Network, "the call did not reach the service"),
      aNow);
  }
  this->mayHaveRun = true;
  return this->giveUp(fail(ErrorKind::OutcomeUnknown));
}

PlainRun::Actions
PlainRun::onEndpointGone(const std::string& aEndpoint, TimePoint aNow)
{
  if (!this->isCalling() || aEndpoint != this->target.endpoint) {
    return {};
  }
  return this->onUnknownOutcome(
    fail(ErrorKind::OutcomeUnknown, "the endpoint is gone"), aNow);
}

PlainRun::Actions
PlainRun::onCallerGone(TimePoint /*aNow*/)
{
  return this->abandon(ErrorKind::Cancelled);
}

PlainRun::Actions
PlainRun::onEntryEnds()
{
  return this->abandon(ErrorKind::Draining);
}

PlainRun::Actions
PlainRun::abandon(ErrorKind aKind)
{
  if (this->ended()) {
    return {};
  }
  Actions actions;
  if (this->isCalling()) {
    this->mayHaveRun = true;
    actions.emplace_back(this->fenceTarget(FenceRequest::kFenceAll));
  }
  const bool claimsNotRun = rowOf(aKind).runState == RunState::NotRun;
  Actions end = this->giveUp(
    fail(claimsNotRun && this->mayHaveRun ? ErrorKind::OutcomeUnknown : aKind));
  actions.insert(actions.end(), end.begin(), end.end());
  return actions;
}

PlainRun::Actions
PlainRun::onTick(TimePoint aNow)
{
  const std::optional<TimePoint> wake = this->nextWake();
  if (!wake || aNow < *wake) {
    return {};
  }
  if (this->phase == Phase::Proving) {
    this->mayHaveRun = true;
    return this->giveUp(fail(ErrorKind::OutcomeUnknown));
  }
  if (aNow < this->spec.deadline) {
    return this->askForReplacement();
  }
  if (!this->isCalling()) {
    return this->giveUp(fail(ErrorKind::DeadlineExceeded));
  }
  this->mayHaveRun = true;
  Actions actions{ this->fenceTarget(FenceRequest::kFenceAll) };
  Actions end = this->giveUp(fail(ErrorKind::DeadlineExceeded));
  actions.insert(actions.end(), end.begin(), end.end());
  return actions;
}

std::optional<TimePoint>
PlainRun::nextWake() const
{
  switch (this->phase) {
    case Phase::Ended:
      return std::nullopt;
    case Phase::Calling:
    case Phase::Proving:
      return std::min(this->spec.deadline, this->phaseEnd);
    case Phase::Created:
    case Phase::Choosing:
    case Phase::Replacing:
      break;
  }
  return this->spec.deadline;
}

bool
PlainRun::isCurrent(std::uint32_t aAttempt, Phase aPhase) const
{
  return this->phase == aPhase && this->attemptNumber == aAttempt;
}

bool
PlainRun::isCalling() const
{
  return this->phase == Phase::Calling || this->phase == Phase::Replacing;
}

SendFence
PlainRun::fenceTarget(std::uint32_t aBelow) const
{
  return { this->target.endpoint,
           this->target.address,
           FenceRequest{ this->spec.request, aBelow, false } };
}

PlainRun::Actions
PlainRun::askForReplacement()
{
  // A sound service may be silent for a second: its reply is still accepted,
  // and is lost only if there is another endpoint to ask.
  this->phase = Phase::Replacing;
  this->avoid.insert(this->target.endpoint);
  NeedEndpoint need;
  need.attempt = this->attemptNumber + 1;
  need.avoid = this->avoid;
  need.isRetry = true;
  need.reason = RetryReason::PlainIdempotent;
  need.keepsAttempt = true;
  return { std::move(need) };
}

PlainRun::Actions
PlainRun::elsewhere(RetryReason aReason, const Error& aError, TimePoint aNow)
{
  this->avoid.insert(this->target.endpoint);
  if (aNow >= this->spec.deadline ||
      this->attemptNumber >= this->policy.maxAttempts) {
    return this->giveUp(aError);
  }
  ++this->attemptNumber;
  this->phase = Phase::Choosing;
  NeedEndpoint need;
  need.attempt = this->attemptNumber;
  need.avoid = this->avoid;
  need.lastResort = this->unreached;
  need.isRetry = true;
  need.reason = aReason;
  return { std::move(need) };
}

PlainRun::Actions
PlainRun::giveUp(Error aError)
{
  this->phase = Phase::Ended;
  return { GiveUp{ std::move(aError),
                   this->mayHaveRun ? RunState::Unknown : RunState::NotRun } };
}

} // namespace poplartrack
