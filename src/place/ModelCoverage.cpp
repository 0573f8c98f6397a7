#include "poplartrack/place/ModelCoverage.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Upper bound of a layer's load (demand / rate), also used for a layer without
 * copies. It bounds the cost so that sums over layers keep their precision. */
constexpr double kMaxLoad = 1'000;
/** Factor on the gain of a layer's first copy in a zone and on the loss of its
 * last: copies should be spread over zones, so that the loss of one zone leaves
 * a copy in another. */
constexpr double kNewZoneWeight = 1.25;

} // namespace

ModelCoverage::ModelCoverage(std::uint32_t aLayers,
                             std::uint32_t aMinCopies,
                             double aDemand,
                             std::size_t aZones)
  : minCopies(aMinCopies)
  , demand(aDemand)
  , missingTotal(aLayers * aMinCopies)
  , layerStates(aLayers)
  , copiesPerZone(aZones * aLayers)
{
}

double
ModelCoverage::cost(double aRate) const
{
  if (this->demand <= 0) {
    return 0;
  }
  const double load =
    aRate * kMaxLoad > this->demand ? this->demand / aRate : kMaxLoad;
  return this->demand * load * load;
}

void
ModelCoverage::add(const CoverPart& aPart)
{
  for (std::uint32_t at = aPart.holds.from; at < aPart.holds.to; ++at) {
    LayerState& state = this->layerStates[at];
    this->missingTotal -= this->shortfall(state.copies) > 0 ? 1 : 0;
    ++state.copies;
    state.rate += aPart.rate;
    ++this->zoneCopies(aPart.zone, at);
  }
}

void
ModelCoverage::remove(const CoverPart& aPart)
{
  for (std::uint32_t at = aPart.holds.from; at < aPart.holds.to; ++at) {
    LayerState& state = this->layerStates[at];
    --state.copies;
    state.rate = state.copies == 0 ? 0 : state.rate - aPart.rate;
    this->missingTotal += this->shortfall(state.copies) > 0 ? 1 : 0;
    --this->zoneCopies(aPart.zone, at);
  }
}

BestWindow
ModelCoverage::bestWindow(std::uint32_t aSize,
                          double aRate,
                          std::size_t aZone) const
{
  BestWindow best;
  BestWindow window;
  std::vector<double> gains(this->layers());
  const std::uint32_t size = std::min(aSize, this->layers());
  for (std::uint32_t at = 0; at < this->layers(); ++at) {
    const LayerState& state = this->layerStates[at];
    const bool newZone = this->zoneCopies(aZone, at) == 0;
    gains[at] = (this->cost(state.rate) - this->cost(state.rate + aRate)) *
                (newZone ? kNewZoneWeight : 1);
    window.gain += gains[at];
    window.missingFilled += this->shortfall(state.copies) > 0 ? 1 : 0;
    if (at >= size) {
      window.gain -= gains[at - size];
      window.missingFilled -=
        this->shortfall(this->layerStates[at - size].copies) > 0 ? 1 : 0;
    }
    if (at + 1 < size) {
      continue;
    }
    window.holds = { at + 1 - size, at + 1 };
    const bool better =
      window.missingFilled > best.missingFilled ||
      (window.missingFilled == best.missingFilled && window.gain > best.gain);
    if (better || best.holds.size() == 0) {
      best = window;
    }
  }
  return best;
}

double
ModelCoverage::removalCost(const CoverPart& aPart) const
{
  double loss = 0;
  for (std::uint32_t at = aPart.holds.from; at < aPart.holds.to; ++at) {
    const LayerState& state = this->layerStates[at];
    const double rateWithout = state.copies == 1 ? 0 : state.rate - aPart.rate;
    const bool lastInZone = this->zoneCopies(aPart.zone, at) == 1;
    loss += (this->cost(rateWithout) - this->cost(state.rate)) *
            (lastInZone ? kNewZoneWeight : 1);
  }
  return loss;
}

bool
ModelCoverage::hasSpareCopies(const CoverPart& aPart) const
{
  for (std::uint32_t at = aPart.holds.from; at < aPart.holds.to; ++at) {
    if (this->layerStates[at].copies <= this->minCopies) {
      return false;
    }
  }
  return true;
}

} // namespace poplartrack
