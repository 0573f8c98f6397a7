#pragma once

#include "poplartrack/place/PlacementInput.h"
#include "poplartrack/place/PlacementPlan.h"

namespace poplartrack {

/**
 * Returns which layers of which model each endpoint is to hold. A pure
 * function: the same input gives the same plan.
 *
 * Endpoints keep the layers that they hold if these still fit the
 * configuration. Then each empty endpoint gets the range with the greatest
 * benefit, endpoints whose layers have spare copies move to ranges with fewer
 * than minCopies, and a few endpoints move to balance the load. An endpoint
 * holds one range of one model, as large as its memory allows: the route
 * chooser decides which of these layers it runs, and large ranges mean few
 * hops.
 */
PlacementPlan
planPlacement(const PlacementInput& aInput, const PlacementPolicy& aPolicy);

} // namespace poplartrack
