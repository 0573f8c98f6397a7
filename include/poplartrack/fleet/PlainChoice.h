#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** A replica of a plain service that may take a request. */
struct PlainCandidate
{
  const Replica* replica = nullptr;
  /** Requests in flight there from this relay. */
  std::uint32_t inFlight = 0;
  /** Part of its latest answers that were errors, 0 to 1. */
  double errorRate = 0;
  /** False while it is known to refuse or to be gone. */
  bool usable = true;
  /** It has refused or failed this very request. */
  bool tried = false;
  /** False while it limits what it takes and has had that. */
  bool takesRequests = true;
};

/**
 * The replica with the least load in flight that answers without errors, in
 * the relay's own availability zone when there is nothing else between them.
 * One that is not usable is taken only if there is no other, since what is
 * known of it may be old. Null when there is none
 * that has not been tried and takes requests.
 */
const Replica*
choosePlainReplica(std::span<const PlainCandidate> aCandidates,
                   const std::string& aZone);

} // namespace poplartrack
