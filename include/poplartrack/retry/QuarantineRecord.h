#pragma once

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** A request that is sent to no replica, because replicas crashed while they
 * ran it. */
struct QuarantineRecord
{
  Fingerprint request;
  /** Time since the quarantine began. */
  Duration age{ 0 };
  /** This process saw the crash that led to the quarantine, rather than
   * receiving it from a peer or the store. */
  bool own = false;

  friend bool operator==(const QuarantineRecord&,
                         const QuarantineRecord&) = default;
};

} // namespace poplartrack
