#pragma once

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/ExpectedReturns.h"
#include "poplartrack/fleet/ReturnSchedule.h"

namespace poplartrack {

/** What a relay keeps of rejected callers that were told when to return. */
struct ReturnState
{
  ReturnSchedule schedule;
  ExpectedReturns expected;
  /** When a status message was last sent because of a return. */
  TimePoint sentAt{};
};

} // namespace poplartrack
