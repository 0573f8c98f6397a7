// How the planner keeps copies fast: newcomers take layers that only slower
// replicas hold.

#include <algorithm>

#include "CopySplit.h"
#include "FasterRange.h"
#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** A layer that nobody holds counts as one of a replica this many times as slow
 * as the slowest. */
constexpr double kNobody = 2;

double
stepOfNobody(const EngineProfile& aProfile)
{
  double slowest = 0;
  for (const auto& [name, kind] : aProfile.kinds) {
    slowest = std::max(slowest, kind.stepFactor);
  }
  return kNobody * slowest;
}

/** Tokens that the fastest copy of these replicas would be cut for. */
template<typename Group>
double
tokensOfFastest(const EngineProfile& aProfile, Group& aGroup)
{
  auto kinds = kindsOf(aProfile, pointersTo(aGroup));
  std::sort(
    kinds.begin(), kinds.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->stepFactor < aRight->stepFactor;
    });
  const double goal = tokenGoal(aProfile);
  const auto copies = splitCopies(aProfile, kinds, goal);
  std::vector<const AcceleratorKind*> first;
  for (const std::size_t place : copies.front()) {
    first.push_back(kinds[place]);
  }
  return bestTokens(aProfile, first, goal);
}

} // namespace

/**
 * Gives a newcomer the layers that only slower replicas hold: as a rule those
 * of the one before it, for which the slow ones stand in. Put where memory was
 * least, the fastest accelerators came back beside their like, and the zone
 * went on over slow ones to the end of the day.
 */
bool
LayerPlanner::placeFaster(const EngineProfile& aProfile,
                          Group& aGroup,
                          Holder& aHolder)
{
  const AcceleratorKind& kind = *kindOf(aProfile, *aHolder.replica);
  const auto fastest = fastestByLayer(aProfile, aGroup, stepOfNobody(aProfile));
  // The cut of a large zone takes long: most newcomers have nothing to gain,
  // and ask in each round.
  if (!fasterRange(fastest, kind.stepFactor, 1)) {
    return false;
  }
  const auto range = fasterRange(
    fastest,
    kind.stepFactor,
    layersBeside(aProfile, kind, tokensOfFastest(aProfile, aGroup)));
  if (!range) {
    return false;
  }
  this->order(aHolder, *range, "faster");
  return true;
}

} // namespace poplartrack
