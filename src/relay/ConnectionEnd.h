#pragma once

#include <cstdint>

namespace poplartrack {

/** How the connection of an attempt ended. */
enum class ConnectionEnd : std::uint8_t
{
  /** The replica's instance closed or reset it, or the connection became
   * unusable. */
  Closed,
  /** It was not established: nothing listens at the replica's address. */
  NotListening,
  /** The replica stopped responding. */
  Silent,
};

} // namespace poplartrack
