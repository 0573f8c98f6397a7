// The messages of a request run's current attempt.

#include "poplartrack/entry/RequestRun.h"

#include <algorithm>

namespace poplartrack {

std::uint64_t
RequestRun::remainingMicros(TimePoint aNow) const
{
  const Duration left =
    std::max(Duration{ 0 }, Duration{ this->spec.deadline - aNow });
  return static_cast<std::uint64_t>(left.count());
}

SendOpen
RequestRun::openFor(std::uint32_t aStage, TimePoint aNow) const
{
  const RouteStage& stage = this->currentRoute[aStage];
  OpenAttempt message;
  message.request = this->spec.request;
  message.attempt = this->attemptNumber;
  message.model = this->spec.model;
  message.modelVersion = this->spec.modelVersion;
  message.layers = this->spec.layers;
  message.route = this->currentRoute;
  message.stage = aStage;
  message.prefillTokens = this->nextPosition();
  message.tokensWanted = this->tokensLeft();
  message.remainingMicros = this->remainingMicros(aNow);
  message.priority = this->spec.priority;
  message.replyTo = this->spec.replyTo;
  message.revision = this->spec.revision;
  return { stage.endpoint, stage.address, std::move(message) };
}

SendFirstStep
RequestRun::firstStep(TimePoint aNow) const
{
  const RouteStage& first = this->currentRoute.front();
  RunStep message;
  message.request = this->spec.request;
  message.attempt = this->attemptNumber;
  message.inputs.assign(this->spec.prompt.begin(), this->spec.prompt.end());
  message.inputs.insert(
    message.inputs.end(), this->tokens.begin(), this->tokens.end());
  message.remainingMicros = this->remainingMicros(aNow);
  return { first.endpoint, first.address, std::move(message) };
}

} // namespace poplartrack
