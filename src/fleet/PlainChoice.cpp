#include "poplartrack/fleet/PlainChoice.h"

namespace poplartrack {
namespace {

/** Requests in flight that an error rate of 1 counts as: a replica that fails
 * half of its answers is chosen only when the others have 6 more in flight. */
constexpr double kErrorWeight = 12;

/** Requests in flight that another availability zone counts as. */
constexpr double kOtherZonePenalty = 0.4;

/** Ranks every replica in backoff after all others. */
constexpr double kUnusablePenalty = 1e6;

double
costOf(const PlainCandidate& aCandidate, const std::string& aZone)
{
  double cost = aCandidate.inFlight + kErrorWeight * aCandidate.errorRate;
  cost += aCandidate.replica->zone == aZone ? 0 : kOtherZonePenalty;
  cost += aCandidate.usable ? 0 : kUnusablePenalty;
  return cost;
}

} // namespace

const Replica*
choosePlainReplica(std::span<const PlainCandidate> aCandidates,
                   const std::string& aZone)
{
  const PlainCandidate* best = nullptr;
  for (const PlainCandidate& candidate : aCandidates) {
    if (candidate.tried || !candidate.takesRequests) {
      continue;
    }
    if (best == nullptr || costOf(candidate, aZone) < costOf(*best, aZone)) {
      best = &candidate;
    }
  }
  return best == nullptr ? nullptr : best->replica;
}

} // namespace poplartrack
