#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** What a failure of an endpoint is known by. */
enum class FailureEvidence : std::uint8_t
{
  /** Its side sent nothing in time. It may be sound, and any answer of the side
   * disproves it. */
  Silence,
  /** It refused, broke off, answered with an error, or its side answered while
   * a call did not end. */
  Refusal,
};

/** The evidence as a word for logs. */
constexpr std::string_view
nameOf(FailureEvidence aEvidence)
{
  constexpr std::array<std::string_view, 2> kNames{ "silence", "refusal" };
  return kNames[static_cast<std::size_t>(aEvidence)];
}

} // namespace poplartrack
