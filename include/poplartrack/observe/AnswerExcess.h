#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** Which bound an answer of a replica exceeded. Each has a counter. */
enum class AnswerExcess : std::uint8_t
{
  /** The status line and the header fields. */
  Head,
  /** Chunk sizes, chunk extensions and trailers. */
  Framing,
  /** The body of an answer that is forwarded as a whole. */
  Body,
  /** All events of a stream together. */
  Stream,
  /** One event of a stream. */
  Event,
  /** Interim answers (1xx) before the answer itself. */
  Interim,
  /** Answers to other requests. */
  Foreign,
  /** The answer to a status query. */
  Report,
};

constexpr std::size_t kAnswerExcessCount =
  static_cast<std::size_t>(AnswerExcess::Report) + 1;

constexpr std::array<std::string_view, kAnswerExcessCount> kAnswerExcessNames{
  "head", "framing", "body", "stream", "event", "interim", "foreign", "report",
};

/** The bound's stable name. */
constexpr std::string_view
nameOf(AnswerExcess aExcess)
{
  return kAnswerExcessNames[static_cast<std::size_t>(aExcess)];
}

} // namespace poplartrack
