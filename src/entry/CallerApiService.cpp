#include "poplartrack/entry/CallerApi.h"

#include "CallerRetryAfter.h"
#include "poplartrack/entry/AwaitClaim.h"

namespace poplartrack {
namespace {

ClaimEnd
endOf(const ClaimHeld& aClaim, const PlainEnd& aEnd)
{
  if (aEnd.answer) {
    return answeredClaim(aClaim, aEnd.answer->status, aEnd.answer->body);
  }
  // Proved not to have run: the same key may be used for a retry.
  return aEnd.ran == RunState::NotRun ? releasedClaim(aClaim)
                                      : unknownClaim(aClaim);
}

} // namespace

HttpReply
CallerApi::callService(const Context& aContext,
                       const std::string& aService,
                       const std::string& aOperation,
                       const std::string& aBody)
{
  const auto& services = aContext.configuration->services;
  const auto service = services.find(aService);
  if (service == services.end()) {
    return this->refuse(
      aContext,
      fail(ErrorKind::UnknownService, "no service \"" + aService + "\""),
      Duration::zero());
  }
  const auto operation = service->second.operations.find(aOperation);
  if (operation == service->second.operations.end()) {
    return this->refuse(aContext,
                        fail(ErrorKind::UnknownService,
                             "service \"" + aService +
                               "\" has no operation \"" + aOperation + "\""),
                        Duration::zero());
  }
  const Result<ServiceCall> call = readServiceCall(aService, aOperation, aBody);
  if (!call) {
    return this->refuse(aContext, call.error(), Duration::zero());
  }
  // The caller may demand at most one run of an idempotent operation, but not
  // retries of one that is declared as not idempotent.
  const bool idempotent =
    operation->second.idempotent && !aContext.headers.nonIdempotent;
  return this->runService(aContext, call.value(), idempotent);
}

HttpReply
CallerApi::runService(const Context& aContext,
                      const ServiceCall& aCall,
                      bool aIdempotent)
{
  const auto decision = this->parts.decider.with(
    [&](RouteChooser&, AdmissionControl& aAdmission, RetryBudget&) {
      AdmitQuery ask;
      ask.account = aContext.headers.account;
      ask.priority = aContext.headers.priority;
      ask.deadline = aContext.deadline;
      return aAdmission.admit(ask, runtimeNow());
    });
  if (const auto* refused = std::get_if<Refused>(&decision)) {
    return this->refuse(aContext, refused->error, refused->retryAfter);
  }
  const std::uint64_t ticket = std::get<Admitted>(decision).ticket;
  PlainSpec spec;
  spec.request = aContext.request;
  spec.service = aCall.service;
  spec.operation = aCall.operation;
  spec.body = aCall.body;
  spec.idempotent = aIdempotent;
  spec.deadline = aContext.deadline;
  spec.revision = aContext.configuration->revision;
  const std::string& key = aContext.headers.idempotencyKey;
  if (aIdempotent || key.empty()) {
    HttpReply reply = this->dispatchPlain(aContext, spec, nullptr);
    this->finishTicket(ticket, 0, reply.status < 400);
    return reply;
  }
  ClaimRequest request;
  request.account = aContext.headers.account;
  request.key = key;
  request.digest = bodyDigest(aCall.service, aCall.operation, aCall.body);
  request.token = toText(aContext.request);
  const ClaimVerdict verdict = awaitClaim(this->parts.claims,
                                          request,
                                          aContext.deadline,
                                          this->parts.draining,
                                          this->parts.metrics);
  HttpReply reply;
  if (const auto* held = std::get_if<ClaimHeld>(&verdict)) {
    reply = this->dispatchPlain(aContext, spec, held);
  } else if (const auto* replay = std::get_if<ClaimReplay>(&verdict)) {
    this->parts.metrics.count("claims_replayed_total");
    reply.status = static_cast<int>(replay->status);
    reply.body = replay->body;
    reply.headers["content-type"] = "application/json";
    addAnswerHeaders(reply, aContext.request, aContext.configuration->revision);
    reply.headers["x-outcome"] = "replayed";
  } else {
    const auto& refused = std::get<ClaimRefused>(verdict);
    reply = this->refuse(aContext,
                         refused.error,
                         refused.ran,
                         defaultRetryAfter(refused.error.kind));
  }
  this->finishTicket(ticket, 0, reply.status < 400);
  return reply;
}

HttpReply
CallerApi::dispatchPlain(const Context& aContext,
                         const PlainSpec& aSpec,
                         const ClaimHeld* aClaim)
{
  const PlainEnd end = this->parts.plains.call(aSpec);
  this->parts.metrics.observe("plain_seconds", runtimeNow() - aContext.arrived);
  if (aClaim != nullptr) {
    this->parts.claimEnds.write(endOf(*aClaim, end), runtimeNow());
  }
  if (!end.answer) {
    return this->refuse(
      aContext, end.error, end.ran, defaultRetryAfter(end.error.kind));
  }
  HttpReply reply;
  reply.status = static_cast<int>(end.answer->status);
  reply.body = end.answer->body;
  reply.headers["content-type"] = "application/json";
  addAnswerHeaders(reply, aContext.request, aContext.configuration->revision);
  reply.headers["x-outcome"] = "complete";
  reply.headers["x-endpoint"] = end.endpoint;
  reply.headers["x-attempts"] = std::to_string(end.attempts);
  return reply;
}

} // namespace poplartrack
