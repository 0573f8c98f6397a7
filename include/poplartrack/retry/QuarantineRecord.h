#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/Suspect.h"

namespace poplartrack {

/** A suspect in quarantine: requests that contain it are sent to no replica,
 * because replicas crashed while they had such requests. */
struct QuarantineRecord
{
  Suspect suspect;
  /** Time since the quarantine began. */
  Duration age{ 0 };
  /** This process saw the crash that led to the quarantine, rather than
   * receiving it from a peer or the store. */
  bool own = false;
  /** Trial runs that all relays together have made of a prompt part. */
  std::uint32_t trials = 0;

  friend bool operator==(const QuarantineRecord&,
                         const QuarantineRecord&) = default;
};

} // namespace poplartrack
