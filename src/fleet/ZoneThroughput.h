#pragma once

#include <vector>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/LinkRate.h"

namespace poplartrack {

/** The layers that the replicas of one availability zone hold together. */
struct ZoneHolding
{
  /** Disjoint and in ascending order. */
  std::vector<LayerRange> ranges;
  /** Requests per second that the zone can serve in each of these layers. */
  double rate = 0;
};

/**
 * Returns an estimate of the requests per second that the zones carry together.
 * Each request takes one path through zones that hold its layers in order. The
 * rates of the zones and the link between each two zones bound the result. 0 if
 * no zone holds some layer.
 *
 * The estimate is a lower bound: a greedy assignment adds the load in equal
 * steps, each on the path that loads the fullest resources the least.
 */
double
zoneThroughput(const EngineProfile& aProfile,
               const std::vector<ZoneHolding>& aZones);

} // namespace poplartrack
