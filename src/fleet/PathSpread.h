#pragma once

#include "PathCosts.h"

namespace poplartrack {

/** Cost that is added to a part all of whose memory or slots are in use, as a
 * fraction of its time. Answers become at most this much longer; without such a
 * bound an empty slow replica would be preferred to a fast one. */
inline constexpr double kMaxSpreadCost = 0.1;

/** Returns the share of a replica's memory or slots that is in use, whichever
 * is larger. */
double
usedShare(const EngineProfile& aProfile,
          const AcceleratorKind& aKind,
          const PathCandidate& aCandidate);

} // namespace poplartrack
