#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "LossRecord.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/StallSuspects.h"
#include "poplartrack/fleet/SuspectRechecks.h"

namespace poplartrack {

/** What a relay keeps for its checks of streams for lost replicas, and of the
 * replicas that count as lost. */
struct LossProbeState
{
  StallSuspects suspects;
  /** When the streams are next checked. */
  std::optional<TimePoint> checkDue;
  /** When they were last checked. */
  TimePoint checkedAt{};
  SuspectRechecks rechecks;
  /** Replicas that were asked because they count as lost, and whose answer is
   * outstanding. */
  std::set<std::string> rechecked;
  /** The replicas that count as lost. */
  std::map<std::string, LossRecord> losses;
};

} // namespace poplartrack
