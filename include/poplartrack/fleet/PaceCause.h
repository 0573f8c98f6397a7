#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace poplartrack {

/** Why the pace gate holds a request back. */
enum class PaceCause : std::uint8_t
{
  /** Nothing holds it back. */
  None,
  /** Its first event would come after the objective. */
  FirstEvent,
  /** Pauses of the streams on the path would be too long. */
  Pause,
  /** Too little would be left for a request that goes before it. */
  Headroom,
  /** A more urgent request, or one like it, is held back in this round. */
  Order,
};

constexpr std::array<std::string_view, 5> kPaceCauseNames{ "none",
                                                           "first_event",
                                                           "pause",
                                                           "headroom",
                                                           "order" };

constexpr std::string_view
nameOf(PaceCause aCause)
{
  return kPaceCauseNames[static_cast<std::size_t>(aCause)];
}

} // namespace poplartrack
