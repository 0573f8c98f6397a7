#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** Why the relay closes the connection of a caller. */
enum class CallerClose : std::uint8_t
{
  /** The caller has closed it. */
  Left,
  /** No request came on it for too long. */
  Idle,
  /** It was idle for longest when descriptors ran out. */
  Descriptors,
  /** Its last answer is written. */
  Answered,
  /** The caller accepted no bytes for too long. */
  Unwritten,
  /** The rest of its answer cannot come. */
  Cut,
};

constexpr std::size_t kCallerCloseCount =
  static_cast<std::size_t>(CallerClose::Cut) + 1;

constexpr std::array<std::string_view, kCallerCloseCount> kCallerCloseNames{
  "left", "idle", "descriptors", "answered", "unwritten", "cut",
};

constexpr std::string_view
nameOf(CallerClose aCause)
{
  return kCallerCloseNames[static_cast<std::size_t>(aCause)];
}

} // namespace poplartrack
