#include "poplartrack/ledger/StepFollowUp.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Returns the step for another stage, without its position and inputs. Its
 * time left excludes the time spent in the endpoint. */
RunStep
followUp(const RunNow& aRun, TimePoint aNow)
{
  RunStep next;
  next.request = aRun.attempt->request;
  next.attempt = aRun.attempt->attempt;
  const Duration left = std::max(Duration{ 0 }, aRun.deadline - aNow);
  next.remainingMicros = static_cast<std::uint64_t>(left.count());
  return next;
}

std::uint32_t
positionAfter(const RunStep& aStep)
{
  return aStep.position + static_cast<std::uint32_t>(aStep.inputs.size());
}

} // namespace

RunStep
stepForNextStage(const RunNow& aRun,
                 const RunStep& aStep,
                 std::vector<std::uint64_t> aOutputs,
                 TimePoint aNow)
{
  RunStep next = followUp(aRun, aNow);
  next.position = aStep.position;
  next.layer = aRun.layers.to;
  next.inputs = std::move(aOutputs);
  next.receipt = aRun.receipt;
  return next;
}

RunStep
stepForNextToken(const RunNow& aRun,
                 const RunStep& aStep,
                 std::uint32_t aToken,
                 TimePoint aNow)
{
  RunStep next = followUp(aRun, aNow);
  next.position = positionAfter(aStep);
  next.layer = 0;
  next.inputs = { aToken };
  return next;
}

TokenReady
tokenForEntry(const RunNow& aRun, const RunStep& aStep, std::uint32_t aToken)
{
  TokenReady ready;
  ready.request = aRun.attempt->request;
  ready.attempt = aRun.attempt->attempt;
  ready.position = positionAfter(aStep);
  ready.token = aToken;
  ready.receipt = aRun.receipt;
  return ready;
}

} // namespace poplartrack
