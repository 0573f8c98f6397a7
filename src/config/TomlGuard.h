#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplartrack {

/** A line that must not reach the TOML library. */
struct RejectedLine
{
  /** Counted from 0. */
  std::size_t index = 0;
  std::string reason;
};

/**
 * Returns the first line on which the TOML library would have undefined
 * behaviour. The library assumes, without a check, that a file has:
 *
 * - a name after '[': without one it fails an assertion, or, with assertions
 *   off, continues unchecked;
 * - only ASCII outside of strings and comments: when it tests whether a letter
 *   such as U+00F8 is white space, it reaches code marked as unreachable;
 * - valid UTF-8.
 *
 * The fuzz target found each of these. Rejecting such lines before parsing is
 * enough, since every later step of the library comes after these checks.
 */
std::optional<RejectedLine>
findRejectedLine(const std::vector<std::string>& aLines);

} // namespace poplartrack
