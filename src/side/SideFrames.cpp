#include "poplartrack/side/SideServer.h"
#include "poplartrack/wire/AnswerFrame.h"

namespace poplartrack {

void
SideServer::onFrame(const std::string& aFrame, const Responder& aRespond)
{
  const Result<MessageKind> kind = kindOf(aFrame);
  if (!kind) {
    this->metrics.countRefusal(kind.error().kind);
    StepReply reply;
    reply.refusal = Refusal::of(kind.error());
    aRespond(encode(reply));
    return;
  }
  switch (kind.value()) {
    case MessageKind::OpenAttempt:
      answerFrame<OpenAttempt, OpenReply>(
        aFrame, aRespond, [this](const OpenAttempt& aOpen) {
          return this->stages.open(aOpen);
        });
      return;
    case MessageKind::RunStep:
      answerFrame<RunStep, StepReply>(
        aFrame, aRespond, [this](const RunStep& aStep) {
          return this->stages.step(aStep);
        });
      return;
    case MessageKind::FenceRequest:
      answerFrame<FenceRequest, FenceReply>(
        aFrame, aRespond, [this](const FenceRequest& aFence) {
          return this->stages.fence(aFence);
        });
      return;
    case MessageKind::Probe:
      answerFrame<Probe, ProbeReply>(
        aFrame, aRespond, [this](const Probe& aProbe) {
          return this->probe(aProbe);
        });
      return;
    case MessageKind::PlainCall: {
      const Result<PlainCall> call = decode<PlainCall>(aFrame);
      if (call) {
        this->plains.call(call.value(), aRespond);
        return;
      }
      PlainReply reply;
      reply.mayHaveRun = false;
      reply.refusal = Refusal::of(call.error());
      aRespond(encode(reply));
      return;
    }
    case MessageKind::EndpointOrder: {
      const Result<EndpointOrder> order = decode<EndpointOrder>(aFrame);
      if (order) {
        this->takeOrder(order.value(), aRespond);
        return;
      }
      aRespond(encode(OrderReply{ Refusal::of(order.error()) }));
      return;
    }
    default: {
      StepReply reply;
      reply.refusal =
        Refusal::of(fail(ErrorKind::Malformed, "no message for a side"));
      aRespond(encode(reply));
    }
  }
}

HttpReply
SideServer::onHttp(const HttpRequest& aRequest)
{
  HttpReply reply;
  reply.headers["content-type"] = "text/plain";
  if (aRequest.path == "/metrics") {
    const LoadHint load = this->stages.load();
    this->metrics.set("attempts_open", load.attempts);
    this->metrics.set("steps_running", load.running);
    reply.body = this->metrics.render();
    return reply;
  }
  if (aRequest.path == "/healthz") {
    const bool alive = this->watch.info().has_value();
    reply.status = alive ? 200 : 503;
    reply.body = alive ? "ok\n" : "the endpoint does not answer\n";
    return reply;
  }
  reply.status = 404;
  reply.body = "there are /metrics and /healthz\n";
  return reply;
}

} // namespace poplartrack
