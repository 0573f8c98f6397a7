#pragma once

#include "poplartrack/fleet/PaceEstimate.h"
#include "poplartrack/fleet/PaceGate.h"
#include "poplartrack/fleet/QueueBound.h"

namespace poplartrack {

/** The decisions of admission by pace. */
struct PaceState
{
  PaceEstimate estimate;
  PaceGate gate;
  QueueBound queueBound;
};

} // namespace poplartrack
