#pragma once

#include <cstdint>
#include <vector>

#include "poplartrack/route/EndpointInfo.h"

namespace poplartrack {

/** One engine endpoint that placement may use. */
struct PlacementEndpoint
{
  EndpointInfo info;
  /** Number of layers that fit its memory. */
  std::uint32_t capacityLayers = 0;
  /** Layers of one token that it runs per second; only ratios matter. */
  double speed = 1;
};

/** Returns the engine endpoints of one region in a view. An endpoint that does
 * not report its capacity gets the number of layers that it holds; one that
 * does not report its speed gets speed 1. */
std::vector<PlacementEndpoint>
placementEndpoints(const std::vector<EndpointInfo>& aView,
                   const std::string& aRegion);

} // namespace poplartrack
