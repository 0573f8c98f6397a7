#pragma once

#include <stop_token>

#include "poplartrack/base/Clock.h"
#include "poplartrack/entry/ClaimKeeper.h"
#include "poplartrack/observe/Metrics.h"

namespace poplartrack {

/** Claims a key and, as ClaimWait decides, waits for another holder of it until
 * the deadline. Blocks. Once aStop is requested, the last verdict is final.
 * Counts a call that waits in claim_waits_total, once. */
ClaimVerdict
awaitClaim(const ClaimKeeper& aClaims,
           const ClaimRequest& aRequest,
           TimePoint aDeadline,
           const std::stop_token& aStop,
           Metrics& aMetrics);

} // namespace poplartrack
