#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "MessageParser.h"
#include "poplartrack/observe/AnswerExcess.h"
#include "poplartrack/relay/RelaySettings.h"

namespace poplartrack {

/** Bounds of what one answer of a replica may take, in bytes. */
struct AnswerLimits
{
  std::size_t headBytes = 0;
  std::uint64_t bodyBytes = 0;
  std::uint64_t streamBytes = 0;
  std::size_t eventBytes = 0;
};

/** Returns the bounds of the settings. aHeldLimit: what all requests and
 * answers may hold in memory together; no answer may take more. */
AnswerLimits
answerLimits(const RelaySettings& aSettings, std::size_t aHeldLimit);

/** What has arrived on a connection since its request was sent. */
struct AnswerProgress
{
  ParseProblem problem = ParseProblem::None;
  /** The answer is a stream. */
  bool isStream = false;
  /** The answer belongs to another request. */
  bool isForeign = false;
  /** Bytes of the body, received or announced, whichever are more. */
  std::uint64_t bodyBytes = 0;
  /** Bytes of the event of which only a part has arrived. */
  std::size_t partialEventBytes = 0;
  /** Number of interim answers. */
  std::uint32_t interim = 0;
  /** Number of answers to other requests, and their bytes. */
  std::uint32_t foreign = 0;
  std::uint64_t foreignBytes = 0;
};

/** Returns the bound that the answer exceeds, if any. */
std::optional<AnswerExcess>
excessOf(const AnswerProgress& aProgress, const AnswerLimits& aLimits);

} // namespace poplartrack
