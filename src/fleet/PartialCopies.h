#pragma once

#include <vector>

#include "ZoneThroughput.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** How the replicas of zones that are too small for whole copies share the
 * layers. */
struct PartialCopies
{
  /** Requests per second that the zones carry together; 0 if they cannot hold
   * all layers. */
  double rate = 0;
  /** Layers by zone and replica, in the given order; an empty range for a
   * replica that gets none. */
  std::vector<std::vector<LayerRange>> layers;
};

/**
 * Distributes the layers over zones that are each too small for a whole copy.
 *
 * If one copy were spread over all zones, paths would cross zones at nearly
 * every replica, and the activations of a prompt would fill a slow link at each
 * crossing. Instead, each zone holds as many layers as it can and leaves out
 * one range, a different one in each zone. Where a zone lacks layers, another
 * one continues, so that a request crosses once, and the requests can spread
 * over the links between all pairs of zones. The memory kept for requests and
 * the positions of the missing ranges are those with which the zones carry the
 * most requests together.
 *
 * A zone that can barely hold a whole copy gets one if the zones then carry
 * more requests together.
 *
 * @param aZones the accelerators of each zone, fast ones first
 */
PartialCopies
planPartialCopies(
  const EngineProfile& aProfile,
  const std::vector<std::vector<const AcceleratorKind*>>& aZones);

} // namespace poplartrack
