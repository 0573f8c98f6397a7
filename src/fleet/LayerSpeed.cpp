// The part of LayerPlanner that keeps copies fast: a new replica takes layers
// that only slower replicas hold.

#include <algorithm>

#include "CopySplit.h"
#include "FasterRange.h"
#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** A layer that no replica holds counts as held by one whose steps take this
 * many times as long as those of the slowest kind. */
constexpr double kUnheldSlowdown = 2;

/** Returns the step factor with which a layer that no replica holds counts. */
double
unheldStepFactor(const EngineProfile& aProfile)
{
  double slowest = 0;
  for (const auto& [name, kind] : aProfile.kinds) {
    slowest = std::max(slowest, kind.stepFactor);
  }
  return kUnheldSlowdown * slowest;
}

/** Returns the tokens that the fastest copy of these replicas would keep memory
 * for. */
template<typename Group>
double
fastestCopyTokenCapacity(const EngineProfile& aProfile, Group& aGroup)
{
  auto kinds = kindsOf(aProfile, pointersTo(aGroup));
  std::sort(
    kinds.begin(), kinds.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->stepFactor < aRight->stepFactor;
    });
  const double target = tokenTarget(aProfile);
  const auto copies = splitCopies(aProfile, kinds, target);
  std::vector<const AcceleratorKind*> first;
  for (const std::size_t place : copies.front()) {
    first.push_back(kinds[place]);
  }
  return bestTokenCapacity(aProfile, first, target);
}

} // namespace

/**
 * Assigns layers that only slower replicas hold to an empty replica. As a rule
 * a fast replica held them before it was lost and slow replicas took them over.
 * If memory alone decided, a returning fast accelerator would duplicate layers
 * of other fast ones, and the zone would keep using slow ones. Returns false if
 * no layer gets faster.
 */
bool
LayerPlanner::assignFasterRange(const EngineProfile& aProfile,
                                Group& aGroup,
                                Member& aEmpty)
{
  const AcceleratorKind& kind = *kindOf(aProfile, *aEmpty.replica);
  const auto fastest =
    stepFactorByLayer(aProfile, aGroup, unheldStepFactor(aProfile));
  // Splitting a large zone takes long. Most empty replicas cannot speed up any
  // layer, and are checked in each plan, so that case is excluded first.
  if (!fasterRange(fastest, kind.stepFactor, 1)) {
    return false;
  }
  const auto range = fasterRange(
    fastest,
    kind.stepFactor,
    layerCapacity(aProfile, kind, fastestCopyTokenCapacity(aProfile, aGroup)));
  if (!range) {
    return false;
  }
  this->issueOrder(aEmpty, *range, "faster");
  return true;
}

} // namespace poplartrack
