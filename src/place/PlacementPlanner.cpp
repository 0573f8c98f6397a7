#include "poplartrack/place/PlacementPlanner.h"

#include "PlacementBuilder.h"

namespace poplartrack {

PlacementPlan
planPlacement(const PlacementInput& aInput, const PlacementPolicy& aPolicy)
{
  PlacementBuilder builder{ aInput, aPolicy };
  builder.fillEmpty();
  builder.fillMissing();
  builder.balance();
  return builder.plan();
}

} // namespace poplartrack
