#pragma once

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** A request that is sent to no replica, since replicas ended under it. */
struct QuarantineRecord
{
  Fingerprint request;
  /** How long it has been so. */
  Duration age{ 0 };
  /** This process saw the end that decided it; others were told. */
  bool own = false;

  friend bool operator==(const QuarantineRecord&,
                         const QuarantineRecord&) = default;
};

} // namespace poplartrack
