#include "poplartrack/fleet/PlainChoice.h"

namespace poplartrack {
namespace {

/** Errors count as this many requests in flight: a replica that fails half of
 * its answers is left out until the others are that much busier. */
constexpr double kErrorWeight = 12;

/** Another availability zone counts as this part of a request in flight. */
constexpr double kForeignZone = 0.4;

/** One that refused lately comes after every one that did not. */
constexpr double kUnusable = 1e6;

double
costOf(const PlainCandidate& aCandidate, const std::string& aZone)
{
  double cost = aCandidate.inFlight + kErrorWeight * aCandidate.errorRate;
  cost += aCandidate.replica->zone == aZone ? 0 : kForeignZone;
  cost += aCandidate.usable ? 0 : kUnusable;
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
