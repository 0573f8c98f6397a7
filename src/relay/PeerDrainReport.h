#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** A report from a relay with a newer replica list that a replica is
 * draining. */
struct PeerDrainReport
{
  /** Version of the sender's list. */
  std::uint64_t list;
  TimePoint receivedAt;
};

} // namespace poplartrack
