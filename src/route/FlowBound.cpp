#include "poplartrack/route/FlowBound.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace poplartrack {
namespace {

/** Steps of the bisection: the error is below 1e-12 of the first interval. */
constexpr int kBisectionSteps = 50;

/** An endpoint's layers and its layer-tokens per second that are not used
 * yet. */
struct Supply
{
  LayerRange holds;
  double left = 0;
};

/**
 * Returns whether every layer can get aRate tokens per second. aSupplies must
 * be in ascending order of holds.to. Each layer uses the endpoints that hold it
 * in this order: those whose range ends first can help the fewest later layers,
 * so using them first is optimal.
 */
bool
isFeasible(std::vector<Supply> aSupplies, std::uint32_t aLayers, double aRate)
{
  for (std::uint32_t layer = 0; layer < aLayers; ++layer) {
    double needed = aRate;
    for (Supply& supply : aSupplies) {
      if (layer < supply.holds.from || layer >= supply.holds.to) {
        continue;
      }
      const double part = std::min(needed, supply.left);
      supply.left -= part;
      needed -= part;
    }
    // Relative tolerance for rounding errors.
    constexpr double kTolerance = 1e-9;
    if (needed > kTolerance * aRate) {
      return false;
    }
  }
  return true;
}

} // namespace

double
flowBound(const std::vector<FlowEndpoint>& aEndpoints, std::uint32_t aLayers)
{
  if (aLayers == 0) {
    return 0;
  }
  std::vector<Supply> supplies;
  double all = 0;
  for (const FlowEndpoint& endpoint : aEndpoints) {
    double rate = endpoint.layerTokensPerSecond;
    if (endpoint.linkTokensPerSecond > 0) {
      // A token crosses the link once, regardless of how many layers it runs.
      rate =
        std::min(rate, endpoint.linkTokensPerSecond * endpoint.holds.size());
    }
    supplies.push_back(Supply{ endpoint.holds, rate });
    all += rate;
  }
  std::sort(supplies.begin(),
            supplies.end(),
            [](const Supply& aOne, const Supply& aTwo) {
              return aOne.holds.to < aTwo.holds.to;
            });
  double low = 0;
  double high = all / aLayers;
  for (int i = 0; i < kBisectionSteps; ++i) {
    const double middle = low + (high - low) / 2;
    (isFeasible(supplies, aLayers, middle) ? low : high) = middle;
  }
  return low;
}

} // namespace poplartrack
