#pragma once

#include <vector>

#include "ZoneThroughput.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** How the replicas of zones that hold no whole copy share the layers. */
struct StaggeredCopies
{
  /** Requests in a second that the zones carry together; 0 where they cannot
   * hold all layers. */
  double rate = 0;
  /** By zone and replica, in the order in which they were given; empty for a
   * replica that gets none. */
  std::vector<std::vector<LayerRange>> layers;
};

/**
 * Deals the layers to zones too small for a whole copy each.
 *
 * One copy dealt over all zones crosses zones at nearly every part, and a
 * prompt's activations fill a slow pipe at each crossing. Here each zone holds
 * all that it can but for one stretch, and the stretches lie apart: where a
 * zone lacks layers another one goes on, so a request crosses once, and each
 * two zones have a pipe between them that can be the one. How much memory is
 * left for requests, and where the stretches lie, is decided by what the zones
 * then carry together.
 *
 * @param aZones the accelerators of each zone, fast ones first
 */
StaggeredCopies
staggerCopies(const EngineProfile& aProfile,
              const std::vector<std::vector<const AcceleratorKind*>>& aZones);

} // namespace poplartrack
