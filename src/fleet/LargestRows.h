#pragma once

#include <cstddef>
#include <vector>

#include "AccountRowRef.h"
#include "poplartrack/fleet/AccountUse.h"

namespace poplartrack {

/** Returns at most aMaxRows rows: those with the most tokens, and for each
 * service the sum of the others as account 0. Rows without tokens, which only
 * have a usual use, come last and are in no sum.
 * @param aServices Number of services with rows. A row is kept free for the sum
 *   of each. */
std::vector<AccountUse>
largestRows(std::vector<AccountRowRef> aNamed,
            std::size_t aServices,
            std::size_t aMaxRows);

} // namespace poplartrack
