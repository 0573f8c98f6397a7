#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Priority.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"
#include "poplartrack/http/HttpServer.h"

namespace poplartrack {

/** Headers that every call has; see docs/CALLING.md. */
struct CallerHeaders
{
  std::string account;
  std::string secret;
  Priority priority = Priority::Normal;
  /** Time from arrival to deadline. */
  Duration deadline{ 0 };
  std::string idempotencyKey;
  /** The caller marks the call as one that may run at most once. */
  bool nonIdempotent = false;
};

/** A call for a model's answer. */
struct ModelCall
{
  std::string model;
  std::vector<std::uint32_t> prompt;
  std::uint32_t tokensWanted = 0;
  bool stream = false;
};

/** A call of a plain service's operation. */
struct ServiceCall
{
  std::string service;
  std::string operation;
  std::string body;
};

/** Maximum length of an idempotency key. */
constexpr std::size_t kMaxKeyBytes = 128;
/** Largest token id of any vocabulary. */
constexpr std::uint32_t kMaxTokenId = 1U << 24U;

/** Parses the headers. The message of a BadRequest, BadDeadline or Unauthorized
 * error names the header and its valid values. */
Result<CallerHeaders>
readCallerHeaders(const HttpRequest& aRequest, const RequestLimits& aLimits);

/** Reads the body of a model call and checks it against the model's bounds.
 * A string prompt is taken byte by byte, a token id a byte. */
Result<ModelCall>
readModelCall(std::string_view aModel,
              const ModelSpec& aSpec,
              const std::string& aBody);

/** Checks that a service call's body is JSON. An empty body is "{}". */
Result<ServiceCall>
readServiceCall(std::string_view aService,
                std::string_view aOperation,
                const std::string& aBody);

} // namespace poplartrack
