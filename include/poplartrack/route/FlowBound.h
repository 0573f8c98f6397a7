#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** Capacity of one endpoint, for the throughput bound. */
struct FlowEndpoint
{
  LayerRange holds;
  /** Layers of one token that it runs per second. */
  double layerTokensPerSecond = 0;
  /** Tokens per second that its network link carries; 0 if unlimited. */
  double linkTokensPerSecond = 0;
};

/**
 * Returns an upper bound on the tokens per second that any routing can run
 * through the layers [0, aLayers): the maximum flow of layer-tokens from the
 * endpoints to the layers that they hold. The flow allows an endpoint to split
 * its time over parts of its range and ignores the links between single pairs
 * of endpoints, so no routing exceeds the bound and a real one may stay a
 * little below it.
 */
double
flowBound(const std::vector<FlowEndpoint>& aEndpoints, std::uint32_t aLayers);

} // namespace poplartrack
