#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/**
 * Returns the layer range with which a new replica shortens the time of a token
 * the most, out of the layers that only slower replicas hold.
 *
 * @param aStepFactors step factor of the fastest holder of each layer
 * @param aStepFactor step factor of the new replica
 * @param aMaxLayers most layers that the new replica may hold
 * @return nothing if no layer is held only by clearly slower replicas
 */
std::optional<LayerRange>
fasterRange(const std::vector<double>& aStepFactors,
            double aStepFactor,
            std::uint32_t aMaxLayers);

} // namespace poplartrack
