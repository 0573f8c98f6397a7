#include "AnswerLimits.h"

#include <algorithm>

namespace poplartrack {
namespace {

constexpr double kBytesPerKb = 1024;
constexpr double kBytesPerMb = kBytesPerKb * kBytesPerKb;

/** Most interim answers, and most answers to other requests, that are skipped
 * before the answer to a request. A replica repeats single answers. */
constexpr std::uint32_t kMaxSkippedAnswers = 16;

} // namespace

AnswerLimits
answerLimits(const RelaySettings& aSettings, std::size_t aHeldLimit)
{
  AnswerLimits limits;
  limits.headBytes =
    static_cast<std::size_t>(aSettings.answerHeadKb * kBytesPerKb);
  limits.bodyBytes = std::min<std::uint64_t>(
    static_cast<std::uint64_t>(aSettings.answerMb * kBytesPerMb), aHeldLimit);
  limits.streamBytes =
    static_cast<std::uint64_t>(aSettings.streamMb * kBytesPerMb);
  limits.eventBytes = std::min(
    static_cast<std::size_t>(aSettings.eventKb * kBytesPerKb), aHeldLimit);
  return limits;
}

std::optional<AnswerExcess>
excessOf(const AnswerProgress& aProgress, const AnswerLimits& aLimits)
{
  if (aProgress.problem == ParseProblem::HeadTooLarge) {
    return AnswerExcess::Head;
  }
  if (aProgress.problem == ParseProblem::FramingTooLarge) {
    return AnswerExcess::Framing;
  }
  if (aProgress.interim > kMaxSkippedAnswers) {
    return AnswerExcess::Interim;
  }
  if (aProgress.foreign > kMaxSkippedAnswers ||
      aProgress.foreignBytes > aLimits.bodyBytes) {
    return AnswerExcess::Foreign;
  }
  if (aProgress.isForeign) {
    return std::nullopt;
  }
  if (!aProgress.isStream) {
    return aProgress.bodyBytes > aLimits.bodyBytes
             ? std::optional{ AnswerExcess::Body }
             : std::nullopt;
  }
  if (aProgress.partialEventBytes > aLimits.eventBytes) {
    return AnswerExcess::Event;
  }
  return aProgress.bodyBytes > aLimits.streamBytes
           ? std::optional{ AnswerExcess::Stream }
           : std::nullopt;
}

} // namespace poplartrack
