#include "PathSpread.h"

#include <algorithm>

namespace poplartrack {

double
usedShare(const EngineProfile& aProfile,
          const AcceleratorKind& aKind,
          const PathCandidate& aCandidate)
{
  const Replica& replica = *aCandidate.replica;
  const ReplicaLoad& load = aCandidate.load;
  const double capacity = tokenLayerCapacity(aProfile, aKind, replica);
  const double memory = capacity > 0 ? load.tokenLayers / capacity : 1;
  const double slots = static_cast<double>(load.pathStarts) /
                       std::max<std::uint32_t>(replica.slots, 1);
  return std::clamp(std::max(memory, slots), 0.0, 1.0);
}

} // namespace poplartrack
