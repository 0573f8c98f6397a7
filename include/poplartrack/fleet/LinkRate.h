#pragma once

#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** A pipe that carries so many prompts a second or more holds up no stream that
 * crosses it for long: each stands behind one of them for 50 ms at most, and
 * callers accept pauses of some such. */
constexpr double kSteadyCrossings = 20;

/** Requests in a second that a pipe between two zones carries when each crosses
 * it once; infinite where pipes are not bounded. */
double
crossingRate(const EngineProfile& aProfile);

/** Whether streams that cross pipes are held up by single prompts there only
 * for times that callers accept. */
inline bool
hasFastLinks(const EngineProfile& aProfile)
{
  return crossingRate(aProfile) >= kSteadyCrossings;
}

} // namespace poplartrack
