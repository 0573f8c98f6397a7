#pragma once

#include <span>
#include <vector>

#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/MeanRequest.h"
#include "poplartrack/fleet/PlacedReplica.h"

namespace poplartrack {

/** Returns the tokens that a replica has memory for in each of its layers. A
 * slow one counts as a replica of the declared speed with as much less memory
 * and fewer slots: it serves as many requests a second as that one would. */
double
tokensOf(const EngineProfile& aProfile, const PlacedReplica& aPlaced);

/** Returns the sum over the replicas for each layer. */
std::vector<double>
tokensByLayer(const EngineProfile& aProfile,
              std::span<const PlacedReplica> aReplicas);

/** Returns the time that an answer takes, in s, if each layer is run by its
 * holders in proportion to their memory, with full batches. */
double
answerSeconds(const EngineProfile& aProfile,
              const MeanRequest& aMean,
              std::span<const PlacedReplica> aReplicas);

/**
 * Returns the requests a second that the copies of these replicas can carry: as
 * many as the scarcest layer has memory for at once, or as may begin at the
 * replicas of the first layer, divided by the time that an answer takes.
 */
double
carriedRate(const EngineProfile& aProfile,
            const MeanRequest& aMean,
            std::span<const PlacedReplica> aReplicas);

/** The same for requests of the declared mean. */
double
carriedRate(const EngineProfile& aProfile,
            std::span<const PlacedReplica> aReplicas);

} // namespace poplartrack
