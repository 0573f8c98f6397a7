#pragma once

#include <vector>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/LinkRate.h"

namespace poplartrack {

/** What the replicas of one availability zone hold of a model together. */
struct ZoneHolding
{
  /** Disjoint and in ascending order. */
  std::vector<LayerRange> ranges;
  /** Requests in a second that each of these layers can serve there. */
  double rate = 0;
};

/**
 * Requests in a second that the zones carry together, with each request on one
 * path of zones that hold its layers in order. Bounded by the zones' rates and
 * by the pipe that each two zones share. 0 when some layer is held nowhere.
 *
 * An estimate from below: the load is dealt in equal steps, each to the path on
 * which the fullest resources suffer least.
 */
double
carriedRate(const EngineProfile& aProfile,
            const std::vector<ZoneHolding>& aZones);

} // namespace poplartrack
