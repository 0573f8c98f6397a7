#include "poplartrack/entry/CallerRequest.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "poplartrack/base/JsonDepth.h"

namespace poplartrack {
namespace {

using nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";
/** Maximum nesting depth of JSON; no valid call needs more. */
constexpr int kMaxJsonDepth = 32;

std::string
headerOr(const HttpRequest& aRequest,
         const std::string& aName,
         const std::string& aDefault = {})
{
  const auto found = aRequest.headers.find(aName);
  return found == aRequest.headers.end() ? aDefault : found->second;
}

Result<Duration>
readDeadline(const std::string& aText, const RequestLimits& aLimits)
{
  if (aText.empty()) {
    return aLimits.defaultDeadline;
  }
  std::int64_t millis = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, millis);
  const std::int64_t most =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLimits.maxDeadline)
      .count();
  if (parsed.ec != std::errc{} || parsed.ptr != end || millis < 1 ||
      millis > most) {
    return fail(ErrorKind::BadDeadline,
                "x-deadline-ms must be a whole number from 1 to " +
                  std::to_string(most));
  }
  return Duration{ std::chrono::milliseconds{ millis } };
}

Result<json>
readJson(const std::string& aBody)
{
  if (jsonDepth(aBody) > kMaxJsonDepth) {
    return fail(ErrorKind::BadRequest, "the body is nested too deeply");
  }
  json body = json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    return fail(ErrorKind::BadRequest, "the body is not JSON");
  }
  return body;
}

Result<std::vector<std::uint32_t>>
readPrompt(const json& aPrompt)
{
  std::vector<std::uint32_t> tokens;
  if (aPrompt.is_string()) {
    for (const char letter : aPrompt.get_ref<const std::string&>()) {
      tokens.push_back(static_cast<unsigned char>(letter));
    }
    return tokens;
  }
  if (!aPrompt.is_array()) {
    return fail(ErrorKind::BadRequest,
                "\"prompt\" must be a string or a list of token ids");
  }
  for (const json& item : aPrompt) {
    if (!item.is_number_unsigned() || item.get<std::uint64_t>() > kMaxTokenId) {
      return fail(ErrorKind::BadRequest,
                  "\"prompt\" holds something that is no token id");
    }
    tokens.push_back(item.get<std::uint32_t>());
  }
  return tokens;
}

Result<std::uint32_t>
readTokensWanted(const json& aBody, const ModelSpec& aSpec)
{
  if (!aBody.contains("max_tokens")) {
    return std::min<std::uint32_t>(64, aSpec.maxAnswerTokens);
  }
  const json& value = aBody.at("max_tokens");
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1 ||
      value.get<std::uint64_t>() > aSpec.maxAnswerTokens) {
    return fail(ErrorKind::BadRequest,
                "\"max_tokens\" must be a whole number from 1 to " +
                  std::to_string(aSpec.maxAnswerTokens));
  }
  return value.get<std::uint32_t>();
}

Result<Done>
checkKnownKeys(const json& aBody)
{
  for (const auto& [key, value] : aBody.items()) {
    if (key != "prompt" && key != "max_tokens" && key != "stream") {
      return fail(ErrorKind::BadRequest,
                  "unknown key \"" + key +
                    "\"; known are prompt, max_tokens, stream");
    }
  }
  return Done{};
}

} // namespace

Result<CallerHeaders>
readCallerHeaders(const HttpRequest& aRequest, const RequestLimits& aLimits)
{
  CallerHeaders headers;
  const std::string credentials = headerOr(aRequest, "authorization");
  const std::size_t colon = credentials.find(':');
  if (!credentials.starts_with(kBearer) || colon == std::string::npos) {
    return fail(ErrorKind::Unauthorized,
                "authorization must be \"Bearer ACCOUNT:SECRET\"");
  }
  headers.account = credentials.substr(kBearer.size(), colon - kBearer.size());
  headers.secret = credentials.substr(colon + 1);

  const std::string priority = headerOr(aRequest, "x-priority", "normal");
  const auto known = priorityFromName(priority);
  if (!known) {
    return fail(ErrorKind::BadRequest,
                "x-priority must be high, normal or low");
  }
  headers.priority = *known;

  const Result<Duration> deadline =
    readDeadline(headerOr(aRequest, "x-deadline-ms"), aLimits);
  if (!deadline) {
    return deadline.error();
  }
  headers.deadline = deadline.value();

  headers.idempotencyKey = headerOr(aRequest, "idempotency-key");
  if (headers.idempotencyKey.size() > kMaxKeyBytes) {
    return fail(ErrorKind::BadRequest,
                "idempotency-key is longer than 128 bytes");
  }
  const std::string mark = headerOr(aRequest, "x-non-idempotent", "false");
  if (mark != "true" && mark != "false") {
    return fail(ErrorKind::BadRequest,
                "x-non-idempotent must be true or false");
  }
  headers.nonIdempotent = mark == "true";
  return headers;
}

Result<ModelCall>
readModelCall(std::string_view aModel,
              const ModelSpec& aSpec,
              const std::string& aBody)
{
  const Result<json> parsed = readJson(aBody);
  if (!parsed) {
    return parsed.error();
  }
  const json& body = parsed.value();
  if (!body.is_object() || !body.contains("prompt")) {
    return fail(ErrorKind::BadRequest,
                "the body must be an object with a \"prompt\"");
  }
  if (const Result<Done> keys = checkKnownKeys(body); !keys) {
    return keys.error();
  }
  ModelCall call;
  call.model = aModel;
  Result<std::vector<std::uint32_t>> prompt = readPrompt(body.at("prompt"));
  if (!prompt) {
    return prompt.error();
  }
  call.prompt = std::move(prompt).value();
  if (call.prompt.empty()) {
    return fail(ErrorKind::BadRequest, "\"prompt\" is empty");
  }
  if (call.prompt.size() > aSpec.maxPromptTokens) {
    return fail(ErrorKind::TooLarge,
                "\"prompt\" has more than " +
                  std::to_string(aSpec.maxPromptTokens) + " tokens");
  }
  const Result<std::uint32_t> wanted = readTokensWanted(body, aSpec);
  if (!wanted) {
    return wanted.error();
  }
  call.tokensWanted = wanted.value();
  if (body.contains("stream")) {
    if (!body.at("stream").is_boolean()) {
      return fail(ErrorKind::BadRequest, "\"stream\" must be true or false");
    }
    call.stream = body.at("stream").get<bool>();
  }
  return call;
}

Result<ServiceCall>
readServiceCall(std::string_view aService,
                std::string_view aOperation,
                const std::string& aBody)
{
  const std::string body = aBody.empty() ? "{}" : aBody;
  if (const Result<json> parsed = readJson(body); !parsed) {
    return parsed.error();
  }
  return ServiceCall{ std::string{ aService },
                      std::string{ aOperation },
                      body };
}

} // namespace poplartrack
