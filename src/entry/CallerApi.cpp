#include "poplartrack/entry/CallerApi.h"

#include <array>
#include <vector>

#include "CallerRetryAfter.h"
#include "poplartrack/config/SecretHash.h"

namespace poplartrack {
namespace {

/** Returns the segments of a path. */
std::vector<std::string>
splitPath(const std::string& aPath)
{
  std::vector<std::string> parts;
  std::string part;
  for (const char letter : aPath) {
    if (letter != '/') {
      part += letter;
      continue;
    }
    if (!part.empty()) {
      parts.push_back(std::move(part));
      part.clear();
    }
  }
  if (!part.empty()) {
    parts.push_back(std::move(part));
  }
  return parts;
}

bool
isModelPath(const std::vector<std::string>& aPath)
{
  constexpr std::size_t kParts = 4;
  return aPath.size() == kParts && aPath[0] == "v1" && aPath[1] == "models" &&
         aPath[3] == "answers";
}

bool
isServicePath(const std::vector<std::string>& aPath)
{
  constexpr std::size_t kParts = 4;
  return aPath.size() == kParts && aPath[0] == "v1" && aPath[1] == "services";
}

} // namespace

CallerApi::CallerApi(CallerApiParts aParts)
  : parts(std::move(aParts))
{
}

HttpReply
CallerApi::refuse(const Context& aContext,
                  const Error& aError,
                  RunState aRan,
                  Duration aRetryAfter)
{
  this->parts.metrics.countRefusal(aError.kind);
  const std::uint64_t revision =
    aContext.configuration ? aContext.configuration->revision : 0;
  return refusalAnswer(aContext.request, revision, aError, aRan, aRetryAfter);
}

HttpReply
CallerApi::refuse(const Context& aContext,
                  const Error& aError,
                  Duration aRetryAfter)
{
  return this->refuse(
    aContext, aError, rowOf(aError.kind).runState, aRetryAfter);
}

HttpReply
CallerApi::handle(const HttpRequest& aRequest)
{
  Context context;
  context.request = randomRequestId();
  context.arrived = runtimeNow();
  context.configuration = this->parts.configuration.read();
  if (this->parts.closed.stop_requested()) {
    return this->refuse(context,
                        fail(ErrorKind::Draining),
                        defaultRetryAfter(ErrorKind::Draining));
  }
  const std::vector<std::string> path = splitPath(aRequest.path);
  if (!isModelPath(path) && !isServicePath(path)) {
    return this->refuse(context,
                        fail(ErrorKind::NotFound,
                             "there are /v1/models/MODEL/answers and "
                             "/v1/services/SERVICE/OPERATION"),
                        Duration::zero());
  }
  if (aRequest.method != "POST") {
    return this->refuse(
      context, fail(ErrorKind::BadRequest, "use POST"), Duration::zero());
  }
  if (!context.configuration || context.configuration->revision == 0) {
    return this->refuse(context,
                        fail(ErrorKind::NoConfiguration),
                        defaultRetryAfter(ErrorKind::NoConfiguration));
  }
  Result<CallerHeaders> headers =
    readCallerHeaders(aRequest, context.configuration->limits);
  if (!headers) {
    return this->refuse(context, headers.error(), Duration::zero());
  }
  context.headers = std::move(headers).value();
  context.deadline = context.arrived + context.headers.deadline;
  if (const Result<Done> known = this->authenticate(context); !known) {
    return this->refuse(context, known.error(), Duration::zero());
  }
  return isModelPath(path)
           ? this->callModel(context, path[2], aRequest.body)
           : this->callService(context, path[2], path[3], aRequest.body);
}

Result<Done>
CallerApi::authenticate(const Context& aContext) const
{
  const auto& accounts = aContext.configuration->accounts;
  const auto account = accounts.find(aContext.headers.account);
  // One message for both: callers must not learn which accounts exist.
  if (account == accounts.end() ||
      !secretMatches(aContext.headers.secret, account->second.secretSha256)) {
    return fail(ErrorKind::Unauthorized, "the account or secret is wrong");
  }
  return Done{};
}

} // namespace poplartrack
