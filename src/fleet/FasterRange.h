#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/**
 * The layers with which a newcomer shortens a token's way the most: those that
 * only slower replicas hold.
 *
 * @param aBest step factor of the fastest holder of each layer
 * @param aStepFactor that of the newcomer
 * @param aMost most layers that it may hold
 * @return nothing where no layer is held by clearly slower ones alone
 */
std::optional<LayerRange>
fasterRange(const std::vector<double>& aBest,
            double aStepFactor,
            std::uint32_t aMost);

} // namespace poplartrack
