#pragma once

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/fleet/PaceCorrection.h"

namespace poplartrack {

/** Expected times of one more request on a path, corrected by what streams on
 * paths with the same first replica took (PaceCorrection). */
struct PaceForecast
{
  /** Time from sending the request to its first event, with queued. */
  Duration firstEvent{ 0 };
  /** The part of firstEvent in which earlier prompts are in prefill. */
  Duration queued{ 0 };
  /** Time between two events of its stream. */
  Duration pause{ 0 };
  /** The forecast of firstEvent without queued, corrected by a factor of at
   * most 1.5. If it exceeds the route's objective, the request would be late
   * here even if no prompt were before it. */
  Duration idleFirstEvent{ 0 };
  /** The same for pause: the time between two events if no other request used
   * the path. */
  Duration idlePause{ 0 };
  /** No request is in flight on the path, so that the pace gate lets one more
   * start whatever the other fields say. */
  bool idle = false;
};

/** Returns the forecast for a path found by the path search.
 * @param aTokensPerEvent Number of tokens in an event: the path search's times
 *   are those between tokens.
 * @param aIdle No request is in flight on the path. */
PaceForecast
paceForecast(const LayerPath& aPath,
             const PaceCorrection& aCorrection,
             int aTokensPerEvent,
             bool aIdle);

} // namespace poplartrack
