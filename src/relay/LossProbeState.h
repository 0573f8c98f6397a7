#pragma once

#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/StallSuspects.h"

namespace poplartrack {

/** What a relay keeps for its checks of streams for lost replicas. */
struct LossProbeState
{
  StallSuspects suspects;
  /** When the streams are next checked. */
  std::optional<TimePoint> checkDue;
  /** When they were last checked. */
  TimePoint checkedAt{};
};

} // namespace poplartrack
