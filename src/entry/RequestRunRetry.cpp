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
  if (this->phase != Phase::Blaming || aOutcome != CallOutcome::Replied ||
      aSent.message.below != this->attemptNumber ||
      this->silent.erase(aSent.endpoint) == 0) {
    return {};
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
RequestRun::nextAttempt(RetryReason aReason,
                        const std::set<std::string>& aFailed,
                        TimePoint aNow,
                        LossEvidence aEvidence)
{
  this->avoid.insert(aFailed.begin(), aFailed.end());
  if (std::optional<Error> error = this->whyNoRetry(aNow)) {
    return this->giveUp(std::move(*error), aNow);
  }
  Actions actions;
  this->fenceRoute(this->attemptNumber + 1, false, actions);
  // The answer to an open question for a replacement must not count as one to
  // this question.
  this->attemptNumber += this->phase == Phase::Replacing ? 2 : 1;
  this->phase = Phase::Routing;
  this->currentRoute.clear();
  this->early.clear();
  NeedRoute need;
  need.attempt = this->attemptNumber;
  need.avoid = this->avoid;
  need.isRetry = true;
  need.failedLast = aFailed;
  need.evidence = aEvidence;
  need.reason = aReason;
  need.latest = this->latestStart();
  actions.emplace_back(std::move(need));
  return actions;
}

std::optional<Error>
RequestRun::whyNoRetry(TimePoint aNow) const
{
  if (!this->hasHope(aNow)) {
    return fail(ErrorKind::RetriesExhausted,
                "the deadline leaves no time for another attempt");
  }
  if (this->started.size() >= this->policy.maxAttempts) {
    return fail(ErrorKind::RetriesExhausted, "too many attempts");
  }
  if (this->rejectedSince &&
      aNow - *this->rejectedSince >= this->policy.routeWait) {
    return fail(ErrorKind::RetriesExhausted, "no route accepts the request");
  }
  return std::nullopt;
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
      return std::min(this->spec.deadline,
                      std::max(this->phaseEnd, this->pace.stallsAt()));
    case Phase::Opening:
    case Phase::Blaming:
    case Phase::Proving:
      return std::min(this->spec.deadline, this->phaseEnd);
    case Phase::Created:
    case Phase::Routing:
    case Phase::Replacing:
      break;
  }
  return this->spec.deadline;
}

RequestRun::Actions
RequestRun::onOpenTimeout(TimePoint aNow)
{
  std::set<std::string> unanswered;
  for (std::uint32_t stage = 0; stage < this->currentRoute.size(); ++stage) {
    if (!this->agreed.contains(stage)) {
      unanswered.insert(this->currentRoute[stage].endpoint);
    }
  }
  this->noteRejection(CallOutcome::Unknown, aNow);
  return this->nextAttempt(
    RetryReason::OpenRefused, unanswered, aNow, LossEvidence::Silence);
}

RequestRun::Actions
RequestRun::onStall(TimePoint aNow)
{
  if (this->whyNoRetry(aNow)) {
    return this->keepAttempt(aNow);
  }
  // Any stage may be the suspended one. Those that acknowledge the fence are
  // alive and hold the prompt's prefix, so the next route should keep them. The
  // fence is below the attempt: a stage that is silent for a second may
  // continue, and nothing replaces the attempt unless there is another route.
  this->phase = Phase::Blaming;
  this->phaseEnd = aNow + this->policy.blameWait;
  this->silent.clear();
  for (const RouteStage& stage : this->currentRoute) {
    this->silent.insert(stage.endpoint);
  }
  Actions actions;
  this->fenceRoute(this->attemptNumber, false, actions);
  return actions;
}

/** Looks for a replacement of an attempt one of whose stages is silent. While
 * one is looked for already, nothing is new. */
RequestRun::Actions
RequestRun::onSilentStage(const std::string& aEndpoint, TimePoint aNow)
{
  if (this->phase != Phase::Running) {
    return {};
  }
  this->avoid.insert(aEndpoint);
  this->silent = { aEndpoint };
  return this->askForReplacement(RetryReason::StageTrouble, aNow);
}

RequestRun::Actions
RequestRun::endBlame(TimePoint aNow)
{
  this->avoid.insert(this->silent.begin(), this->silent.end());
  if (this->silent.empty() &&
      ++this->stallsWithoutBlame >= kStallsBeforeAvoidingAll) {
    for (const RouteStage& stage : this->currentRoute) {
      this->avoid.insert(stage.endpoint);
    }
  }
  return this->askForReplacement(RetryReason::StageStalled, aNow);
}

RequestRun::Actions
RequestRun::askForReplacement(RetryReason aReason, TimePoint aNow)
{
  if (this->whyNoRetry(aNow)) {
    return this->keepAttempt(aNow);
  }
  this->phase = Phase::Replacing;
  NeedRoute need;
  need.attempt = this->attemptNumber + 1;
  need.avoid = this->avoid;
  need.isRetry = true;
  need.keepsAttempt = true;
  need.failedLast = this->silent;
  need.evidence = LossEvidence::Silence;
  need.reason = aReason;
  need.latest = this->latestStart();
  return { std::move(need) };
}

bool
RequestRun::mayBeReplacedBy(const Route& aRoute) const
{
  if (this->phase != Phase::Replacing || !this->coversModel(aRoute)) {
    return false;
  }
  const bool isSilent =
    std::any_of(aRoute.begin(), aRoute.end(), [&](const RouteStage& aStage) {
      return this->silent.contains(aStage.endpoint);
    });
  const bool isOther =
    std::any_of(aRoute.begin(), aRoute.end(), [&](const RouteStage& aStage) {
      return std::none_of(this->currentRoute.begin(),
                          this->currentRoute.end(),
                          [&](const RouteStage& aCurrent) {
                            return aCurrent.endpoint == aStage.endpoint;
                          });
    });
  return !isSilent &&
         (isOther || this->stallsWithoutBlame < kStallsBeforeAvoidingAll);
}

RequestRun::Actions
RequestRun::keepAttempt(TimePoint aNow)
{
  this->phase = Phase::Running;
  this->phaseEnd = aNow + this->policy.replaceInterval;
  if (this->firstStepAccepted || this->pace.hasToken()) {
    return {};
  }
  // The side may have lost the first step when the call timed out.
  ++this->firstStepSends;
  return { this->firstStep(aNow) };
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
RequestRun::onEntryEnds()
{
  if (this->ended()) {
    return {};
  }
  Actions actions;
  this->fenceRoute(FenceRequest::kFenceAll, false, actions);
  const bool hasNotRun = this->allProved(Proof::NotRun);
  this->givenUpFor =
    fail(hasNotRun ? ErrorKind::Draining : ErrorKind::OutcomeUnknown);
  this->finishGivingUp(hasNotRun ? RunState::NotRun : RunState::Unknown,
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
