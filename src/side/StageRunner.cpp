#include "poplartrack/side/StageRunner.h"

#include <algorithm>

#include <glog/logging.h>

#include "EndpointLog.h"
#include "poplartrack/wire/StageTrouble.h"

namespace poplartrack {

StageRunner::StageRunner(SideParts aParts)
  : parts(std::move(aParts))
{
}

OpenReply
StageRunner::open(const OpenAttempt& aOpen)
{
  OpenReply reply;
  const std::optional<EngineInfo> info = this->parts.watch.info();
  const bool hasStage = aOpen.stage < aOpen.route.size();
  if (!info || info->model != aOpen.model ||
      info->modelVersion != aOpen.modelVersion || !hasStage ||
      !info->holds.contains(aOpen.route[aOpen.stage].runs)) {
    // The entry's view is older than a load order or the endpoint's failure.
    reply.refusal = Refusal::of(
      fail(ErrorKind::StageRefused, "the endpoint does not hold these layers"));
  } else {
    reply.refusal = this->parts.ledger.with(
      [&](StepLedger& aLedger) { return aLedger.open(aOpen, runtimeNow()); });
  }
  if (reply.refusal.refused) {
    this->parts.metrics.countRefusal(reply.refusal.kind);
  }
  this->cancelDropped();
  reply.load = this->load();
  return reply;
}

StepReply
StageRunner::step(const RunStep& aStep)
{
  const StepVerdict verdict = this->parts.ledger.with(
    [&](StepLedger& aLedger) { return aLedger.onStep(aStep, runtimeNow()); });
  StepReply reply;
  reply.request = aStep.request;
  reply.attempt = aStep.attempt;
  if (const auto* refuse = std::get_if<Refuse>(&verdict)) {
    this->parts.metrics.countRefusal(refuse->error.kind);
    reply.refusal = Refusal::of(refuse->error);
  } else if (const auto* run = std::get_if<RunNow>(&verdict)) {
    this->dispatch(*run, aStep);
  }
  return reply;
}

void
StageRunner::dispatch(const RunNow& aRun, const RunStep& aStep)
{
  EngineStep step;
  step.sequence = aRun.sequence;
  step.model = aRun.attempt->model;
  step.modelVersion = aRun.attempt->modelVersion;
  step.position = aStep.position;
  step.layers = aRun.layers;
  step.inputs = aStep.inputs;
  step.priority = aRun.attempt->priority;
  const TimePoint started = runtimeNow();
  const bool isDecode = aStep.inputs.size() == 1;
  this->parts.watch.onStepStarted();
  this->parts.engine.step(step,
                          std::max(aRun.deadline - started, Duration{ 1 }),
                          [this, aRun, aStep, started, isDecode](
                            const Result<EngineOutput>& aResult) {
                            this->parts.watch.onStepEnded(
                              runtimeNow() - started, isDecode);
                            this->onEngineDone(aRun, aStep, aResult);
                          });
}

void
StageRunner::onEngineDone(const RunNow& aRun,
                          const RunStep& aStep,
                          const Result<EngineOutput>& aResult)
{
  if (!aResult) {
    this->abandon(aRun, this->parts.endpoint, aResult.error());
    return;
  }
  logAnswer(this->parts.endpoint, this->parts.watch.onAnswer(runtimeNow()));
  const EngineOutput& output = aResult.value();
  const auto restarted =
    this->parts.watch.onEngineIncarnation(output.incarnation);
  if (restarted) {
    this->onEndpointRestarted(*restarted);
  }
  const std::size_t count = aStep.inputs.size();
  if (output.outputs.size() != count ||
      (aRun.isLastStage && !output.token.has_value())) {
    this->abandon(aRun,
                  this->parts.endpoint,
                  fail(ErrorKind::EndpointFailed, "incomplete outputs"));
    return;
  }
  const StepOutcome outcome = this->parts.ledger.with([&](StepLedger& aLedger) {
    return aLedger.onStepDone(aStep.request,
                              aStep.attempt,
                              aStep.position,
                              static_cast<std::uint32_t>(count),
                              runtimeNow());
  });
  if (outcome == StepOutcome::PassOn) {
    this->passOn(aRun, aStep, output);
  }
  this->cancelDropped();
}

void
StageRunner::passOn(const RunNow& aRun,
                    const RunStep& aStep,
                    const EngineOutput& aOutput)
{
  if (!aRun.isLastStage) {
    this->sendStep(
      aRun, stepForNextStage(aRun, aStep, aOutput.outputs, runtimeNow()));
    return;
  }
  TokenReady token = tokenForEntry(aRun, aStep, *aOutput.token);
  token.load = this->load();
  // The next step starts before the entry has the token. Otherwise every gap
  // between tokens would include a round trip to the entry.
  if (!aRun.isLastToken) {
    this->sendStep(aRun,
                   stepForNextToken(aRun, aStep, *aOutput.token, runtimeNow()));
  }
  this->sendToken(aRun, token);
}

FenceReply
StageRunner::fence(const FenceRequest& aFence)
{
  FenceReply reply = this->parts.ledger.with(
    [&](StepLedger& aLedger) { return aLedger.fence(aFence, runtimeNow()); });
  this->cancelDropped();
  return reply;
}

void
StageRunner::onEndpointRestarted(std::uint64_t aNewIncarnation)
{
  LOG(WARNING) << "side: endpoint " << this->parts.endpoint
               << " was restarted, open attempts are lost";
  this->parts.metrics.count("endpoint_restarts_total");
  this->parts.ledger.with([&](StepLedger& aLedger) {
    aLedger.onEndpointRestarted(aNewIncarnation, runtimeNow());
  });
  // Without this report the entries would wait until each attempt counts as
  // stalled.
  for (const DroppedAttempt& lost : this->parts.ledger.takeDropped()) {
    this->parts.engine.cancel(lost.sequence);
    this->tellTrouble(lost.replyTo,
                      StageTrouble{ lost.request,
                                    lost.attempt,
                                    this->parts.endpoint,
                                    ErrorKind::WrongIncarnation,
                                    "the endpoint was restarted" });
  }
}

void
StageRunner::expire()
{
  const std::vector<DroppedAttempt> expired = this->parts.ledger.with(
    [](StepLedger& aLedger) { return aLedger.expire(runtimeNow()); });
  for (const DroppedAttempt& attempt : expired) {
    this->parts.engine.cancel(attempt.sequence);
  }
}

void
StageRunner::cancelDropped()
{
  for (const DroppedAttempt& attempt : this->parts.ledger.takeDropped()) {
    this->parts.engine.cancel(attempt.sequence);
  }
}

LoadHint
StageRunner::load()
{
  LoadHint load = this->parts.watch.load();
  load.attempts = this->parts.ledger.with([](StepLedger& aLedger) {
    return static_cast<std::uint32_t>(aLedger.openAttempts());
  });
  return load;
}

} // namespace poplartrack
