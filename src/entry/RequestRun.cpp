#include "poplartrack/entry/RequestRun.h"

#include <algorithm>
#include <iterator>

#include "poplartrack/ledger/ReceiptCheck.h"

namespace poplartrack {
namespace {

/** The first step is sent again once if its reply is lost: a side that has
 * already accepted it only confirms. */
constexpr std::uint32_t kMaxFirstStepSends = 2;

bool
accepted(CallOutcome aOutcome, const Refusal& aRefusal)
{
  return aOutcome == CallOutcome::Replied && !aRefusal.refused;
}

/** Returns whether each endpoint occurs once: a side runs only one stage of an
 * attempt. */
bool
namesEachEndpointOnce(const Route& aRoute)
{
  std::set<std::string> names;
  return std::all_of(aRoute.begin(), aRoute.end(), [&](const RouteStage& aOne) {
    return names.insert(aOne.endpoint).second;
  });
}

} // namespace

RequestRun::RequestRun(RequestSpec aSpec, RunPolicy aPolicy)
  : spec(std::move(aSpec))
  , policy(aPolicy)
  , pace(aPolicy)
{
}

Result<RequestRun>
RequestRun::create(RequestSpec aSpec, RunPolicy aPolicy, TimePoint aNow)
{
  if (aSpec.prompt.empty()) {
    return fail(ErrorKind::BadRequest, "the prompt is empty");
  }
  if (aSpec.tokensWanted == 0 || aSpec.layers == 0) {
    return fail(ErrorKind::BadRequest, "no tokens or no layers are wanted");
  }
  if (aSpec.deadline <= aNow) {
    return fail(ErrorKind::BadDeadline, "the deadline has passed");
  }
  return RequestRun{ std::move(aSpec), aPolicy };
}

RequestRun::Actions
RequestRun::start(TimePoint aNow)
{
  if (this->phase != Phase::Created) {
    return {};
  }
  if (aNow >= this->spec.deadline) {
    return this->giveUp(fail(ErrorKind::DeadlineExceeded), aNow);
  }
  this->phase = Phase::Routing;
  this->attemptNumber = 1;
  NeedRoute need;
  need.attempt = this->attemptNumber;
  return { std::move(need) };
}

RequestRun::Actions
RequestRun::onRoute(std::uint32_t aAttempt,
                    const Route& aRoute,
                    TimePoint aNow,
                    const ExpectedPace& aExpected)
{
  if (this->phase == Phase::Replacing && aAttempt == this->attemptNumber + 1) {
    if (!this->mayBeReplacedBy(aRoute)) {
      return this->keepAttempt(aNow);
    }
    Actions actions;
    this->fenceRoute(aAttempt, false, actions);
    this->attemptNumber = aAttempt;
    this->early.clear();
    Actions opens = this->openRoute(aRoute, aNow, aExpected);
    actions.insert(actions.end(),
                   std::make_move_iterator(opens.begin()),
                   std::make_move_iterator(opens.end()));
    return actions;
  }
  if (!this->isCurrent(aAttempt, Phase::Routing)) {
    return {};
  }
  if (!this->coversModel(aRoute)) {
    return this->giveUp(
      fail(ErrorKind::NoRoute, "the route does not cover the model once"),
      aNow);
  }
  return this->openRoute(aRoute, aNow, aExpected);
}

RequestRun::Actions
RequestRun::openRoute(const Route& aRoute,
                      TimePoint aNow,
                      const ExpectedPace& aExpected)
{
  this->phase = Phase::Opening;
  this->phaseEnd = aNow + this->policy.openWait;
  this->currentRoute = aRoute;
  this->pace.expect(aExpected);
  this->agreed.clear();
  Actions actions;
  for (std::uint32_t stage = 0; stage < aRoute.size(); ++stage) {
    actions.emplace_back(this->openFor(stage, aNow));
  }
  return actions;
}

RequestRun::Actions
RequestRun::onNoRoute(std::uint32_t aAttempt,
                      const Error& aError,
                      TimePoint aNow)
{
  if (this->phase == Phase::Replacing && aAttempt == this->attemptNumber + 1) {
    return this->keepAttempt(aNow);
  }
  if (!this->isCurrent(aAttempt, Phase::Routing)) {
    return {};
  }
  return this->giveUp(aError, aNow);
}

RequestRun::Actions
RequestRun::onOpenReply(std::uint32_t aAttempt,
                        std::uint32_t aStage,
                        CallOutcome aOutcome,
                        const OpenReply& aReply,
                        TimePoint aNow)
{
  if (!this->isCurrent(aAttempt, Phase::Opening) ||
      aStage >= this->currentRoute.size()) {
    return {};
  }
  if (aOutcome != CallOutcome::Replied && aNow >= this->phaseEnd) {
    // The call and the phase have the same timeout; either may end first.
    return this->onOpenTimeout(aNow);
  }
  if (!accepted(aOutcome, aReply.refusal)) {
    this->noteRejection(aOutcome, aNow);
    return this->nextAttempt(
      RetryReason::OpenRefused, { this->currentRoute[aStage].endpoint }, aNow);
  }
  this->agreed.insert(aStage);
  // If one side rejected the attempt later, the first stages would have run in
  // vain, and the rejection could no longer state that nothing ran.
  if (this->agreed.size() < this->currentRoute.size()) {
    return {};
  }
  return this->startAttempt(aNow);
}

void
RequestRun::noteRejection(CallOutcome aOutcome, TimePoint aNow)
{
  if (aOutcome == CallOutcome::Unknown) {
    // A side that is silent may accept the next one.
    this->rejectedSince.reset();
  } else if (!this->rejectedSince) {
    this->rejectedSince = aNow;
  }
}

RequestRun::Actions
RequestRun::startAttempt(TimePoint aNow)
{
  const RouteStage& first = this->currentRoute.front();
  this->phase = Phase::Running;
  this->started.push_back(
    { this->attemptNumber, first.endpoint, first.incarnation, Proof::Open });
  this->rejectedSince.reset();
  this->firstStepSends = 1;
  this->firstStepMayHaveArrived = false;
  this->firstStepAccepted = false;
  this->phaseEnd = aNow;
  this->pace.onAttempt(this->nextPosition(), aNow);
  return { this->firstStep(aNow) };
}

RequestRun::Actions
RequestRun::onFirstStepReply(std::uint32_t aAttempt,
                             CallOutcome aOutcome,
                             const StepReply& aReply,
                             TimePoint aNow)
{
  if (!this->isRunning(aAttempt) || this->pace.hasToken()) {
    return {};
  }
  if (accepted(aOutcome, aReply.refusal)) {
    this->firstStepAccepted = true;
    return {};
  }
  const bool wasRefused = aOutcome == CallOutcome::Replied &&
                          aReply.request == this->spec.request &&
                          aReply.attempt == aAttempt;
  if (!wasRefused && aOutcome != CallOutcome::NotSent) {
    this->firstStepMayHaveArrived = true;
  }
  if (!wasRefused && this->firstStepSends < kMaxFirstStepSends) {
    ++this->firstStepSends;
    return { this->firstStep(aNow) };
  }
  if (!this->firstStepMayHaveArrived) {
    this->started.back().proof = Proof::NotRun;
  }
  const std::string& first = this->currentRoute.front().endpoint;
  if (wasRefused) {
    return this->nextAttempt(RetryReason::StageTrouble, { first }, aNow);
  }
  if (aOutcome == CallOutcome::NotSent) {
    return this->nextAttempt(RetryReason::StepUnacknowledged, { first }, aNow);
  }
  if (this->phase != Phase::Running) {
    return {};
  }
  this->avoid.insert(first);
  this->silent = { first };
  return this->askForReplacement(RetryReason::StepUnacknowledged, aNow);
}

RequestRun::Actions
RequestRun::onTrouble(const StageTrouble& aTrouble, TimePoint aNow)
{
  if (aTrouble.request != this->spec.request || !this->isUnderWay() ||
      aTrouble.attempt != this->attemptNumber) {
    return {};
  }
  if (aTrouble.mayContinue) {
    return this->onSilentStage(aTrouble.endpoint, aNow);
  }
  return this->nextAttempt(
    RetryReason::StageTrouble, { aTrouble.endpoint }, aNow);
}

RequestRun::Actions
RequestRun::onEndpointGone(const std::string& aEndpoint, TimePoint aNow)
{
  const bool isOnRoute = std::any_of(
    this->currentRoute.begin(),
    this->currentRoute.end(),
    [&](const RouteStage& aStage) { return aStage.endpoint == aEndpoint; });
  if (this->ended() || !isOnRoute) {
    return {};
  }
  this->avoid.insert(aEndpoint);
  return this->isUnderWay()
           ? this->nextAttempt(RetryReason::StageLost, { aEndpoint }, aNow)
           : Actions{};
}

bool
RequestRun::coversModel(const Route& aRoute) const
{
  return routeCovers(aRoute, this->spec.layers) &&
         namesEachEndpointOnce(aRoute);
}

bool
RequestRun::isCurrent(std::uint32_t aAttempt, Phase aPhase) const
{
  return this->phase == aPhase && this->attemptNumber == aAttempt;
}

bool
RequestRun::isRunning(std::uint32_t aAttempt) const
{
  return this->isCurrent(aAttempt, Phase::Running) ||
         this->isCurrent(aAttempt, Phase::Blaming) ||
         this->isCurrent(aAttempt, Phase::Replacing);
}

bool
RequestRun::isUnderWay() const
{
  return this->phase == Phase::Opening || this->isRunning(this->attemptNumber);
}

std::uint32_t
RequestRun::nextPosition() const
{
  return static_cast<std::uint32_t>(this->spec.prompt.size() +
                                    this->tokens.size());
}

std::uint32_t
RequestRun::tokensLeft() const
{
  return this->spec.tokensWanted -
         static_cast<std::uint32_t>(this->tokens.size());
}

} // namespace poplartrack
