#pragma once

#include <cstdint>
#include <vector>

#include "poplartrack/fleet/EngineProfile.h"

namespace poplartrack {

/** Most layers that an accelerator holds beside memory for so many tokens. */
std::uint32_t
layersBeside(const EngineProfile& aProfile,
             const AcceleratorKind& aKind,
             double aTokens);

/** Tokens that each replica of one copy can keep when the layers are cut for
 * that; 0 when the replicas cannot hold all layers. At most aMost. */
double
tokensOfCopy(const EngineProfile& aProfile,
             const std::vector<const AcceleratorKind*>& aReplicas,
             double aMost);

/** Layers for each replica of one copy, in its order; they add up to all
 * layers. Empty when the replicas cannot hold them beside aTokens. */
std::vector<std::uint32_t>
cutLayers(const EngineProfile& aProfile,
          const std::vector<const AcceleratorKind*>& aReplicas,
          double aTokens);

} // namespace poplartrack
