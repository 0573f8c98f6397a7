#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/http/HttpServer.h"
#include "poplartrack/wire/RouteStage.h"

namespace poplartrack {

/** Facts about the request that every answer contains. */
struct AnswerFacts
{
  RequestId request;
  std::uint64_t revision = 0;
  std::string model;
  std::string modelVersion;
  std::uint32_t attempts = 0;
  Route route;
  Duration firstToken{ 0 };
  Duration total{ 0 };
};

/** Returns a complete answer: status 200 with all tokens. */
HttpReply
wholeAnswer(const AnswerFacts& aFacts,
            const std::vector<std::uint32_t>& aTokens);

/** Returns a rejection or failure: status, error kind, whether the request may
 * have run, and when to retry. */
HttpReply
refusalAnswer(const RequestId& aRequest,
              std::uint64_t aRevision,
              const Error& aError,
              RunState aRan,
              Duration aRetryAfter);

/** Adds the headers that every answer carries. */
void
addAnswerHeaders(HttpReply& aReply,
                 const RequestId& aRequest,
                 std::uint64_t aRevision);

/** Returns the line of one streamed token. */
std::string
streamToken(std::uint32_t aIndex, std::uint32_t aToken);

/** Returns the last line of a complete stream. A stream without it is
 * incomplete. */
std::string
streamEnd(const AnswerFacts& aFacts, std::size_t aTokens);

/** Returns the last line of a stream that failed. */
std::string
streamFailure(const RequestId& aRequest, const Error& aError, RunState aRan);

} // namespace poplartrack
