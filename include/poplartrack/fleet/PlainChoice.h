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
  /** Fraction of its latest answers that were errors, 0 to 1. */
  double errorRate = 0;
  /** False while it is in backoff after a refusal or a lost connection. */
  bool usable = true;
  /** Whether it has refused or failed this very request. */
  bool tried = false;
  /** False while its rate limit allows this relay no request. */
  bool takesRequests = true;
};

/** Chooses the replica with the least load in flight and the lowest error rate,
 * and prefers the relay's own availability zone when nothing else tells two
 * replicas apart. A replica that is not usable is chosen only if there is no
 * other, since what is known of it may be outdated. Returns null when no
 * replica is left that is untried and takes requests. */
const Replica*
choosePlainReplica(std::span<const PlainCandidate> aCandidates,
                   const std::string& aZone);

} // namespace poplartrack
