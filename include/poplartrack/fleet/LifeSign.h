#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** What showed that a replica that was out of use is alive. */
enum class LifeSign : std::uint8_t
{
  /** Nothing: its time out of use is over. */
  None,
  /** An event of a stream that passes through it. */
  Event,
  /** A whole answer to a request. */
  Answer,
  /** An answer to a status query. */
  StatusAnswer,
};

/** Name of each sign in logs. */
inline constexpr std::array<std::string_view, 4> kLifeSignNames{
  "none",
  "event",
  "answer",
  "status_answer",
};

constexpr std::string_view
nameOf(LifeSign aSign)
{
  return kLifeSignNames.at(static_cast<std::size_t>(aSign));
}

} // namespace poplartrack
