#pragma once

#include <cstdint>
#include <vector>

#include "poplartrack/route/EndpointEstimate.h"
#include "poplartrack/route/RoutePolicy.h"

namespace poplartrack {

/** Chooses for each layer range the candidate that is expected to have the
 * prompt prefix in its cache, and lowers its prefillFraction. The choice is by
 * rendezvous hashing with bounded load. */
void
applyPrefixAffinity(std::vector<Candidate>& aCandidates,
                    std::uint64_t aPrefixHash,
                    const RoutePolicy& aPolicy);

} // namespace poplartrack
