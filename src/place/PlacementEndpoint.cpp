#include "poplartrack/place/PlacementEndpoint.h"

namespace poplartrack {

std::vector<PlacementEndpoint>
placementEndpoints(const std::vector<EndpointInfo>& aView,
                   const std::string& aRegion)
{
  std::vector<PlacementEndpoint> endpoints;
  for (const EndpointInfo& info : aView) {
    if (info.service != "engine" || info.region != aRegion) {
      continue;
    }
    PlacementEndpoint endpoint;
    endpoint.info = info;
    endpoint.capacityLayers =
      info.capacityLayers > 0 ? info.capacityLayers : info.holds.size();
    endpoint.speed = info.layersPerSecond > 0 ? info.layersPerSecond : 1;
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

} // namespace poplartrack
