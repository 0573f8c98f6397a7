#include "poplartrack/side/PlainRunner.h"

#include <algorithm>

#include "EndpointLog.h"
#include "poplartrack/wire/Codec.h"

namespace poplartrack {
PlainRunner::PlainRunner(SideParts aParts)
  : parts(std::move(aParts))
{
}

void
PlainRunner::call(const PlainCall& aCall, const Responder& aRespond)
{
  {
    // Before the verdict, so that the end of the call finds this waiter.
    const std::scoped_lock lock{ this->guard };
    this->waiting[aCall.request].push_back(aRespond);
  }
  const PlainVerdict verdict = this->parts.ledger.with(
    [&](StepLedger& aLedger) { return aLedger.onPlain(aCall, runtimeNow()); });
  if (const auto* run = std::get_if<RunPlain>(&verdict)) {
    this->dispatch(aCall, run->deadline);
    return;
  }
  if (std::holds_alternative<Join>(verdict)) {
    return;
  }
  PlainReply reply;
  reply.request = aCall.request;
  if (const auto* replay = std::get_if<Replay>(&verdict)) {
    reply = replay->reply;
  } else {
    const auto& refuse = std::get<Refuse>(verdict);
    this->parts.metrics.countRefusal(refuse.error.kind);
    reply.refusal = Refusal::of(refuse.error);
    reply.mayHaveRun = refuse.everRan;
  }
  // A rejection concerns only the latest waiter; the others wait for the call.
  Responder mine;
  {
    const std::scoped_lock lock{ this->guard };
    auto& responders = this->waiting[aCall.request];
    if (responders.empty()) {
      // The call has ended meanwhile and has answered this waiter as well.
      this->waiting.erase(aCall.request);
      return;
    }
    mine = std::move(responders.back());
    responders.pop_back();
    if (responders.empty()) {
      this->waiting.erase(aCall.request);
    }
  }
  mine(encode(reply));
}

void
PlainRunner::dispatch(const PlainCall& aCall, TimePoint aDeadline)
{
  this->parts.watch.onStepStarted();
  const TimePoint started = runtimeNow();
  this->parts.engine.plain(aCall.operation,
                           toText(aCall.request),
                           aCall.body,
                           aCall.idempotent,
                           std::max(aDeadline - started, Duration{ 1 }),
                           [this, aCall, started](const HttpResult& aResult) {
                             this->parts.watch.onStepEnded(
                               runtimeNow() - started, true);
                             this->onEndpointDone(aCall, aResult);
                           });
}

PlainReply
PlainRunner::judge(const HttpResult& aResult) const
{
  PlainReply reply;
  switch (aResult.outcome) {
    case CallOutcome::Replied:
      reply.status = static_cast<std::uint32_t>(aResult.status);
      reply.body = aResult.body;
      break;
    case CallOutcome::NotSent:
      reply.mayHaveRun = false;
      reply.refusal =
        Refusal::of(fail(ErrorKind::StageRefused, aResult.detail));
      break;
    case CallOutcome::Unknown:
      reply.refusal =
        Refusal::of(fail(ErrorKind::OutcomeUnknown, aResult.detail));
      break;
  }
  return reply;
}

std::vector<Responder>
PlainRunner::takeWaiting(const RequestId& aRequest)
{
  const std::scoped_lock lock{ this->guard };
  const auto found = this->waiting.find(aRequest);
  if (found == this->waiting.end()) {
    return {};
  }
  std::vector<Responder> responders = std::move(found->second);
  this->waiting.erase(found);
  return responders;
}

void
PlainRunner::onEndpointDone(const PlainCall& aCall, const HttpResult& aResult)
{
  if (aResult.outcome == CallOutcome::Replied) {
    logAnswer(this->parts.endpoint, this->parts.watch.onAnswer(runtimeNow()));
  }
  PlainReply reply = this->judge(aResult);
  reply.request = aCall.request;
  this->parts.ledger.with([&](StepLedger& aLedger) {
    aLedger.onPlainDone(aCall.request, aCall.attempt, reply, runtimeNow());
  });
  reply.load = this->parts.watch.load();
  const std::string frame = encode(reply);
  for (const Responder& respond : this->takeWaiting(aCall.request)) {
    respond(frame);
  }
}

} // namespace poplartrack
