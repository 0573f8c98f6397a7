#pragma once

#include <cstdint>

namespace poplartrack {

/** What shows that a replica has crashed. */
enum class CrashProof : std::uint8_t
{
  /** Two relays cannot reach it. A sound replica that is silent for a second
   * looks the same. */
  Unreachable,
  /** It has restarted, left the replica list, or nothing listens at its
   * address. */
  Exited,
};

} // namespace poplartrack
