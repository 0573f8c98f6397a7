#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** How the connection of an attempt ended. */
enum class ConnectionEnd : std::uint8_t
{
  /** The replica ended its side in the regular way, which may be the end of an
   * answer without a length. */
  Finished,
  /** The replica's instance reset it, or it became unusable. */
  Broken,
  /** It was not established: nothing listens at the replica's address. */
  NotListening,
  /** The replica stopped responding. */
  Silent,
};

/** Names of ConnectionEnd, in its order, as they stand in the log. */
constexpr std::array<std::string_view, 4> kConnectionEndNames{
  "closed",
  "reset",
  "not connected",
  "silent",
};
static_assert(kConnectionEndNames.size() ==
              static_cast<std::size_t>(ConnectionEnd::Silent) + 1);

constexpr std::string_view
nameOf(ConnectionEnd aEnd)
{
  return kConnectionEndNames[static_cast<std::size_t>(aEnd)];
}

} // namespace poplartrack
