#include "poplartrack/entry/CallerApi.h"

#include "CallerRetryAfter.h"

namespace poplartrack {
namespace {

/** How long to wait past the deadline, in case the request's own timers
 * fail. */
constexpr Duration kGrace = std::chrono::seconds{ 2 };

} // namespace

HttpReply
CallerApi::callModel(const Context& aContext,
                     const std::string& aModel,
                     const std::string& aBody)
{
  const auto spec = aContext.configuration->models.find(aModel);
  if (spec == aContext.configuration->models.end()) {
    return this->refuse(
      aContext,
      fail(ErrorKind::UnknownModel, "no model \"" + aModel + "\""),
      Duration::zero());
  }
  const Result<ModelCall> call = readModelCall(aModel, spec->second, aBody);
  if (!call) {
    return this->refuse(aContext, call.error(), Duration::zero());
  }
  return this->runModel(aContext, call.value(), spec->second);
}

HttpReply
CallerApi::runModel(const Context& aContext,
                    const ModelCall& aCall,
                    const ModelSpec& aSpec)
{
  RequestSpec spec;
  spec.request = aContext.request;
  spec.model = aCall.model;
  spec.modelVersion = aSpec.version;
  spec.layers = aSpec.layers;
  spec.prompt = aCall.prompt;
  spec.tokensWanted = aCall.tokensWanted;
  spec.deadline = aContext.deadline;
  spec.priority = aContext.headers.priority;
  spec.replyTo = this->parts.replyTo;
  spec.revision = aContext.configuration->revision;

  const TimePoint moment = runtimeNow();
  const RouteQuery query = this->parts.models.queryFor(spec, moment);
  const std::shared_ptr<const EndpointView> view = this->parts.endpoints.view();
  std::optional<RoutePlan> plan;
  const auto decision = this->parts.decider.with(
    [&](RouteChooser& aChooser,
        AdmissionControl& aAdmission,
        RetryBudget&) -> std::variant<Admitted, Refused> {
      Result<RoutePlan> chosen = aChooser.choose(*view, query, moment);
      if (!chosen) {
        return Refused{ chosen.error(), defaultRetryAfter(ErrorKind::NoRoute) };
      }
      plan = std::move(chosen).value();
      AdmitQuery ask;
      ask.account = aContext.headers.account;
      ask.model = aCall.model;
      ask.priority = aContext.headers.priority;
      ask.promptTokens = static_cast<std::uint32_t>(aCall.prompt.size());
      ask.tokensWanted = aCall.tokensWanted;
      ask.deadline = aContext.deadline;
      ask.expectedFirstToken = plan->expectedFirstToken;
      ask.expectedPerToken = plan->expectedPerToken;
      ask.expectedWait = plan->expectedWait;
      return aAdmission.admit(ask, moment);
    });
  if (const auto* refused = std::get_if<Refused>(&decision)) {
    return this->refuse(aContext, refused->error, refused->retryAfter);
  }
  const std::uint64_t ticket = std::get<Admitted>(decision).ticket;
  const Result<std::shared_ptr<ActiveRun>> run =
    this->parts.models.start(spec, *plan);
  if (!run) {
    this->finishTicket(ticket, 0, false);
    return this->refuse(aContext, run.error(), Duration::zero());
  }
  return aCall.stream ? this->streamAnswer(aContext, run.value(), ticket)
                      : this->awaitWhole(aContext, run.value(), ticket);
}

AnswerFacts
CallerApi::factsOf(const Context& aContext, ActiveRun& aRun) const
{
  AnswerFacts facts;
  facts.request = aContext.request;
  facts.revision = aContext.configuration->revision;
  facts.model = aRun.spec.model;
  facts.modelVersion = aRun.spec.modelVersion;
  const std::scoped_lock lock{ aRun.guard };
  facts.attempts = aRun.run.attempt();
  facts.route = aRun.run.route();
  facts.firstToken = aRun.firstToken - aContext.arrived;
  facts.total = aRun.lastToken - aContext.arrived;
  return facts;
}

void
CallerApi::finishTicket(std::uint64_t aTicket,
                        std::size_t aUsedTokens,
                        bool aWhole)
{
  this->parts.decider.with(
    [&](RouteChooser&, AdmissionControl& aAdmission, RetryBudget&) {
      aAdmission.finish(
        aTicket, static_cast<std::uint32_t>(aUsedTokens), aWhole, runtimeNow());
    });
  this->parts.metrics.count(aWhole ? "answers_whole_total"
                                   : "answers_failed_total");
}

HttpReply
CallerApi::awaitWhole(const Context& aContext,
                      const std::shared_ptr<ActiveRun>& aRun,
                      std::uint64_t aTicket)
{
  const RunOutput output = aRun->waitEnd(aContext.deadline + kGrace);
  const bool whole = output.end && output.end->whole;
  this->finishTicket(
    aTicket, aRun->spec.prompt.size() + output.tokens.size(), whole);
  if (!output.end) {
    return this->refuse(aContext,
                        fail(ErrorKind::DeadlineExceeded),
                        defaultRetryAfter(ErrorKind::DeadlineExceeded));
  }
  if (!whole) {
    return this->refuse(aContext,
                        output.end->error,
                        output.end->ran,
                        defaultRetryAfter(output.end->error.kind));
  }
  return wholeAnswer(this->factsOf(aContext, *aRun), output.tokens);
}

HttpReply
CallerApi::streamAnswer(const Context& aContext,
                        const std::shared_ptr<ActiveRun>& aRun,
                        std::uint64_t aTicket)
{
  HttpReply reply;
  reply.headers["content-type"] = "application/x-ndjson";
  addAnswerHeaders(reply, aContext.request, aContext.configuration->revision);
  reply.source = [this, aContext, aRun, taken = std::size_t{ 0 }]() mutable {
    const RunOutput output =
      aRun->waitOutput(taken, aContext.deadline + kGrace);
    BodyChunk chunk;
    for (const std::uint32_t token : output.tokens) {
      chunk.bytes += streamToken(static_cast<std::uint32_t>(taken), token);
      ++taken;
    }
    if (!output.end && !output.tokens.empty()) {
      return chunk;
    }
    chunk.state = BodyChunk::State::Last;
    if (output.end && output.end->whole) {
      chunk.bytes += streamEnd(this->factsOf(aContext, *aRun), taken);
      return chunk;
    }
    const RunEnd end = output.end.value_or(
      RunEnd{ false, fail(ErrorKind::DeadlineExceeded), RunState::Unknown });
    this->parts.metrics.countRefusal(end.error.kind);
    chunk.bytes += streamFailure(aContext.request, end.error, end.ran);
    return chunk;
  };
  reply.finished = [this, aRun, aTicket](bool /*aSentWhole*/) {
    this->parts.models.onCallerGone(aRun);
    bool whole = false;
    std::size_t used = aRun->spec.prompt.size();
    {
      const std::scoped_lock lock{ aRun->guard };
      whole = aRun->end().has_value() && aRun->end()->whole;
      used += aRun->run.committed().size();
    }
    this->finishTicket(aTicket, used, whole);
  };
  return reply;
}

} // namespace poplartrack
