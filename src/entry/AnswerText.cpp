#include "poplartrack/entry/AnswerText.h"

#include <nlohmann/json.hpp>

namespace poplartrack {
namespace {

using nlohmann::json;

constexpr Duration::rep kMicrosPerSecond = 1'000'000;
constexpr double kMicrosPerMilli = 1e3;

json
describeRoute(const Route& aRoute)
{
  json stages = json::array();
  for (const RouteStage& stage : aRoute) {
    stages.push_back({ { "endpoint", stage.endpoint },
                       { "from", stage.runs.from },
                       { "to", stage.runs.to } });
  }
  return stages;
}

json
describeFacts(const AnswerFacts& aFacts)
{
  return json{
    { "request", toText(aFacts.request) },
    { "outcome", "complete" },
    { "model", aFacts.model },
    { "version", aFacts.modelVersion },
    { "revision", aFacts.revision },
    { "attempts", aFacts.attempts },
    { "route", describeRoute(aFacts.route) },
    { "first_token_ms",
      static_cast<double>(aFacts.firstToken.count()) / kMicrosPerMilli },
    { "total_ms", static_cast<double>(aFacts.total.count()) / kMicrosPerMilli }
  };
}

json
describeError(const RequestId& aRequest, const Error& aError, RunState aRan)
{
  return json{ { "request", toText(aRequest) },
               { "outcome", "refused" },
               { "kind", nameOf(aError.kind) },
               { "ran", nameOf(aRan) },
               { "message",
                 aError.detail.empty()
                   ? std::string{ rowOf(aError.kind).message }
                   : aError.detail } };
}

} // namespace

void
addAnswerHeaders(HttpReply& aReply,
                 const RequestId& aRequest,
                 std::uint64_t aRevision)
{
  aReply.headers["x-request-id"] = toText(aRequest);
  aReply.headers["x-config-revision"] = std::to_string(aRevision);
}

HttpReply
wholeAnswer(const AnswerFacts& aFacts,
            const std::vector<std::uint32_t>& aTokens)
{
  HttpReply reply;
  json body = describeFacts(aFacts);
  body["tokens"] = aTokens;
  reply.body = body.dump() + "\n";
  reply.headers["content-type"] = "application/json";
  addAnswerHeaders(reply, aFacts.request, aFacts.revision);
  return reply;
}

HttpReply
refusalAnswer(const RequestId& aRequest,
              std::uint64_t aRevision,
              const Error& aError,
              RunState aRan,
              Duration aRetryAfter)
{
  HttpReply reply;
  reply.status = rowOf(aError.kind).httpStatus;
  json body = describeError(aRequest, aError, aRan);
  if (aRetryAfter > Duration::zero()) {
    const auto seconds =
      (aRetryAfter.count() + kMicrosPerSecond - 1) / kMicrosPerSecond;
    reply.headers["retry-after"] = std::to_string(seconds);
    body["retry_after_ms"] = aRetryAfter.count() / 1000;
  }
  reply.body = body.dump() + "\n";
  reply.headers["content-type"] = "application/json";
  addAnswerHeaders(reply, aRequest, aRevision);
  return reply;
}

std::string
streamToken(std::uint32_t aIndex, std::uint32_t aToken)
{
  return json{ { "index", aIndex }, { "token", aToken } }.dump() + "\n";
}

std::string
streamEnd(const AnswerFacts& aFacts, std::size_t aTokens)
{
  json body = describeFacts(aFacts);
  body["tokens"] = aTokens;
  return json{ { "end", std::move(body) } }.dump() + "\n";
}

std::string
streamFailure(const RequestId& aRequest, const Error& aError, RunState aRan)
{
  return json{ { "failed", describeError(aRequest, aError, aRan) } }.dump() +
         "\n";
}

} // namespace poplartrack
