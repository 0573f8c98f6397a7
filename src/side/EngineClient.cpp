#include "poplartrack/side/EngineClient.h"

#include "EngineJson.h"

namespace poplartrack {
namespace {

constexpr int kHttpOk = 200;
constexpr Duration kCancelTimeout = std::chrono::seconds{ 2 };
/** Timeout of a weight load, which goes through the rate-limited weight
 * store. */
constexpr Duration kOrderTimeout = std::chrono::seconds{ 60 };

/** Returns the output of a step, or the error that the end of its HTTP request
 * proves. */
Result<EngineOutput>
judgeStep(const HttpResult& aResult)
{
  if (aResult.outcome == CallOutcome::NotSent) {
    return fail(ErrorKind::StageRefused, "not reached: " + aResult.detail);
  }
  if (aResult.outcome == CallOutcome::Unknown) {
    return fail(ErrorKind::StageLost, "no answer: " + aResult.detail);
  }
  if (aResult.status == kHttpOk) {
    return readOutput(aResult.body);
  }
  return fail(ErrorKind::StageRefused,
              "engine refused: " + readRefusal(aResult.body));
}

template<typename T, typename Reader>
Result<T>
judgeRead(const HttpResult& aResult, Reader aReader)
{
  if (aResult.outcome != CallOutcome::Replied) {
    return fail(ErrorKind::Network, aResult.detail);
  }
  if (aResult.status != kHttpOk) {
    return fail(ErrorKind::EndpointFailed,
                "status " + std::to_string(aResult.status));
  }
  return aReader(aResult.body);
}

/** Returns the description, or the error that the end of the query proves. */
Result<EngineInfo>
judgeInfo(const HttpResult& aResult)
{
  if (aResult.outcome != CallOutcome::Replied && !aResult.timedOut) {
    return fail(ErrorKind::EndpointFailed, aResult.detail);
  }
  return judgeRead<EngineInfo>(aResult, readInfo);
}

} // namespace

EngineClient::EngineClient(HttpClient& aHttp, const std::string& aAddress)
  : http(aHttp)
  , base("http://" + aAddress)
{
}

HttpCall
EngineClient::newCall(const std::string& aPath, Duration aTimeout) const
{
  HttpCall call;
  call.url = this->base + aPath;
  call.timeout = aTimeout;
  // docs/ENGINE.md lets endpoints answer so.
  call.framing = BodyFraming::Optional;
  return call;
}

HttpCall
EngineClient::post(const std::string& aPath,
                   std::string aBody,
                   Duration aTimeout) const
{
  HttpCall call = this->newCall(aPath, aTimeout);
  call.method = "POST";
  call.headers["content-type"] = "application/json";
  call.body = std::move(aBody);
  return call;
}

void
EngineClient::step(const EngineStep& aStep, Duration aTimeout, StepDone aDone)
{
  // A step that libcurl retries by itself is harmless: the engine rejects a
  // position that the sequence already holds. The answer is then lost, not
  // wrong.
  this->http.send(this->post("/v1/steps", writeStep(aStep), aTimeout),
                  [done = std::move(aDone)](const HttpResult& aResult) {
                    done(judgeStep(aResult));
                  });
}

void
EngineClient::cancel(const std::string& aSequence)
{
  this->http.send(this->post("/v1/cancel",
                             "{\"sequence\":\"" + aSequence + "\"}",
                             kCancelTimeout),
                  [](const HttpResult& /*aResult*/) {});
}

void
EngineClient::info(Duration aTimeout, InfoDone aDone)
{
  this->http.send(this->newCall("/v1/info", aTimeout),
                  [done = std::move(aDone)](const HttpResult& aResult) {
                    done(judgeInfo(aResult));
                  });
}

void
EngineClient::load(Duration aTimeout, LoadDone aDone)
{
  this->http.send(this->newCall("/v1/load", aTimeout),
                  [done = std::move(aDone)](const HttpResult& aResult) {
                    done(judgeRead<LoadHint>(aResult, readLoad));
                  });
}

void
EngineClient::order(const std::string& aModel,
                    const std::string& aVersion,
                    LayerRange aHolds,
                    std::uint64_t aFence,
                    std::function<void(Result<Done>)> aDone)
{
  HttpCall call = this->post(
    "/v1/orders", writeOrder(aModel, aVersion, aHolds, aFence), kOrderTimeout);
  // If libcurl retried an order after a kept-alive connection had closed, it
  // could take effect after a later one: engines check no fencing numbers.
  call.freshConnection = true;
  this->http.send(
    std::move(call), [done = std::move(aDone)](const HttpResult& aResult) {
      done(judgeRead<Done>(
        aResult, [](const std::string& /*aBody*/) { return Done{}; }));
    });
}

void
EngineClient::plain(const std::string& aOperation,
                    const std::string& aRequestId,
                    std::string aBody,
                    bool aIdempotent,
                    Duration aTimeout,
                    HttpDone aDone)
{
  HttpCall call = this->post("/v1/" + aOperation, std::move(aBody), aTimeout);
  call.headers["x-request-id"] = aRequestId;
  // See HttpCall::freshConnection: if a kept-alive connection closed during the
  // call, libcurl would retry it, and it would run twice.
  call.freshConnection = !aIdempotent;
  this->http.send(std::move(call), std::move(aDone));
}

} // namespace poplartrack
