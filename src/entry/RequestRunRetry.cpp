// How a request run continues after a loss, and how it ends without an answer.

#include "poplartrack/entry/RequestRun.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace poplartrack {
namespace {

/** One stall may be a lost message; after a second one, some stage is too
 * slow. */
constexpr std::uint32_t kStallsBeforeAvoidingAll = 2;

} // namespace

RequestRun::Actions
RequestRun::onFenceReply(const SendFence& aSent,
                         CallOutcome aOutcome,
                         const FenceReply& aReply,
                         TimePoint aNow)
{
  if (this->ended()) {
    return {};
  }
  this->noteProof(aSent, aOutcome, aReply, aNow);
  if (this->phase == Phase::Proving) {
    Actions actions;
    if (this->allProved(Proof::NotRun)) {
      this->finishGivingUp(RunState::NotRun, actions);
    } else if (this->anyProved(Proof::None)) {
      this->finishGivingUp(RunState::Unknown, actions);
    }
    return actions;
  }
  if (this->phase != Phase::Blaming ||
      aSent.message.below != this->attemptNumber + 1 ||
      this->silent.erase(aSent.endpoint) == 0) {
    return {};
  }
  if (aOutcome != CallOutcome::Replied) {
    this->avoid.insert(aSent.endpoint);
    this->blamedSomebody = true;
  }
  return this->silent.empty() ? this->endBlame(aNow) : Actions{};
}

void
RequestRun::noteProof(const SendFence& aSent,
                      CallOutcome aOutcome,
                      const FenceReply& aReply,
                      TimePoint aNow)
{
  // A side forgets a request some time after the deadline. An entry that was
  // suspended for that long could get the reply "never ran" from a side that
  // has forgotten: after the deadline a reply proves nothing.
  const bool isProof = aOutcome == CallOutcome::Replied &&
                       aReply.request == aSent.message.request &&
                       aReply.below == aSent.message.below &&
                       !aReply.refusal.refused && !aReply.everRan &&
                       aNow < this->spec.deadline;
  for (Started& attempt : this->started) {
    if (attempt.proof != Proof::Open || attempt.endpoint != aSent.endpoint ||
        attempt.attempt >= aSent.message.below) {
      continue;
    }
    // Another incarnation does not know what the one that received the step has
    // run.
    attempt.proof = isProof && attempt.incarnation == aReply.incarnation
                      ? Proof::NotRun
                      : Proof::None;
  }
}

RequestRun::Actions
RequestRun::nextAttempt(RetryReason aReason, TimePoint aNow)
{
  if (!this->hasHope(aNow)) {
    return this->giveUp(fail(ErrorKind::RetriesExhausted,
                             "the deadline leaves no time for another attempt"),
                        aNow);
  }
  if (this->attemptNumber >= this->policy.maxAttempts) {
    return this->giveUp(fail(ErrorKind::RetriesExhausted, "too many attempts"),
                        aNow);
  }
  Actions actions;
  this->fenceRoute(this->attemptNumber + 1, false, actions);
  return this->askForRoute(aReason, std::move(actions));
}

RequestRun::Actions
RequestRun::askForRoute(RetryReason aReason, Actions aActions)
{
  ++this->attemptNumber;
  this->phase = Phase::Routing;
  this->currentRoute.clear();
  this->early.clear();
  aActions.emplace_back(NeedRoute{
    this->attemptNumber, this->avoid, true, aReason, this->latestStart() });
  return aActions;
}

void
RequestRun::fenceRoute(std::uint32_t aBelow,
                       bool aFinished,
                       Actions& aActions) const
{
  for (const RouteStage& stage : this->currentRoute) {
    aActions.emplace_back(
      SendFence{ stage.endpoint,
                 stage.address,
                 FenceRequest{ this->spec.request, aBelow, aFinished } });
  }
}

RequestRun::Actions
RequestRun::onTick(TimePoint aNow)
{
  const std::optional<TimePoint> wake = this->nextWake();
  if (!wake || aNow < *wake) {
    return {};
  }
  if (this->phase == Phase::Proving) {
    Actions actions;
    this->finishGivingUp(RunState::Unknown, actions);
    return actions;
  }
  if (aNow >= this->spec.deadline) {
    return this->giveUp(fail(ErrorKind::DeadlineExceeded), aNow);
  }
  switch (this->phase) {
    case Phase::Opening:
      return this->onOpenTimeout(aNow);
    case Phase::Running:
      return this->onStall(aNow);
    case Phase::Blaming:
      return this->endBlame(aNow);
    default:
      return {};
  }
}

std::optional<TimePoint>
RequestRun::nextWake() const
{
  switch (this->phase) {
    case Phase::Ended:
      return std::nullopt;
    case Phase::Running:
      return std::min(this->spec.deadline, this->pace.stallsAt());
    case Phase::Opening:
    case Phase::Blaming:
    case Phase::Proving:
      return std::min(this->spec.deadline, this->phaseEnd);
    case Phase::Created:
    case Phase::Routing:
      break;
  }
  return this->spec.deadline;
}

RequestRun::Actions
RequestRun::onOpenTimeout(TimePoint aNow)
{
  for (std::uint32_t stage = 0; stage < this->currentRoute.size(); ++stage) {
    if (!this->agreed.contains(stage)) {
      this->avoid.insert(this->currentRoute[stage].endpoint);
    }
  }
  return this->nextAttempt(RetryReason::OpenRefused, aNow);
}

RequestRun::Actions
RequestRun::onStall(TimePoint aNow)
{
  if (!this->hasHope(aNow) || this->attemptNumber >= this->policy.maxAttempts) {
    return this->nextAttempt(RetryReason::StageStalled, aNow);
  }
  // Any stage may be the suspended one. Those that acknowledge the fence are
  // alive and hold the prompt's prefix, so the next route should keep them.
  this->phase = Phase::Blaming;
  this->phaseEnd = aNow + this->policy.blameWait;
  this->blamedSomebody = false;
  this->silent.clear();
  for (const RouteStage& stage : this->currentRoute) {
    this->silent.insert(stage.endpoint);
  }
  Actions actions;
  this->fenceRoute(this->attemptNumber + 1, false, actions);
  return actions;
}

RequestRun::Actions
RequestRun::endBlame(TimePoint aNow)
{
  const bool foundCause = this->blamedSomebody || !this->silent.empty();
  this->avoid.merge(this->silent);
  this->silent.clear();
  if (!foundCause && ++this->stallsWithoutBlame >= kStallsBeforeAvoidingAll) {
    for (const RouteStage& stage : this->currentRoute) {
      this->avoid.insert(stage.endpoint);
    }
  }
  if (!this->hasHope(aNow)) {
    return this->giveUp(fail(ErrorKind::RetriesExhausted,
                             "the deadline leaves no time for another attempt"),
                        aNow);
  }
  return this->askForRoute(RetryReason::StageStalled, {});
}

RequestRun::Actions
RequestRun::onCallerGone(TimePoint /*aNow*/)
{
  if (this->ended()) {
    return {};
  }
  Actions actions;
  this->fenceRoute(FenceRequest::kFenceAll, false, actions);
  this->givenUpFor = fail(ErrorKind::Cancelled);
  this->finishGivingUp(this->allProved(Proof::NotRun) ? RunState::NotRun
                                                      : RunState::Unknown,
                       actions);
  return actions;
}

RequestRun::Actions
RequestRun::giveUp(Error aError, TimePoint aNow)
{
  Actions actions;
  this->givenUpFor = std::move(aError);
  this->fenceRoute(FenceRequest::kFenceAll, false, actions);
  if (this->allProved(Proof::NotRun)) {
    this->finishGivingUp(RunState::NotRun, actions);
    return actions;
  }
  const bool mayBeProved = this->tokens.empty() && this->early.empty() &&
                           !this->anyProved(Proof::None) &&
                           aNow < this->spec.deadline;
  if (!mayBeProved || this->policy.proofWait <= Duration{ 0 }) {
    this->finishGivingUp(RunState::Unknown, actions);
    return actions;
  }
  this->phase = Phase::Proving;
  this->phaseEnd = aNow + this->policy.proofWait;
  return actions;
}

void
RequestRun::finishGivingUp(RunState aRan, Actions& aActions)
{
  this->phase = Phase::Ended;
  aActions.emplace_back(GiveUp{ this->givenUpFor, aRan });
}

TimePoint
RequestRun::latestStart() const
{
  const Duration expected =
    this->pace.expectedFor(this->nextPosition(), this->tokensLeft());
  const double atLeast =
    static_cast<double>(expected.count()) * this->policy.hopeShare;
  return this->spec.deadline -
         Duration{ static_cast<Duration::rep>(std::ceil(atLeast)) };
}

bool
RequestRun::hasHope(TimePoint aNow) const
{
  return aNow < this->spec.deadline && aNow <= this->latestStart();
}

bool
RequestRun::allProved(Proof aProof) const
{
  return std::all_of(this->started.begin(),
                     this->started.end(),
                     [&](const Started& aOne) { return aOne.proof == aProof; });
}

bool
RequestRun::anyProved(Proof aProof) const
{
  return std::any_of(this->started.begin(),
                     this->started.end(),
                     [&](const Started& aOne) { return aOne.proof == aProof; });
}

} // namespace poplartrack
