#include "FasterRange.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** A newcomer counts as faster than a holder up to this part of its step
 * factor: for less, memory decides where it goes. */
constexpr double kFaster = 0.75;

} // namespace

std::optional<LayerRange>
fasterRange(const std::vector<double>& aBest,
            double aStepFactor,
            std::uint32_t aMost)
{
  const auto layers = static_cast<std::uint32_t>(aBest.size());
  const auto gainAt = [&](std::uint32_t aLayer) {
    const bool faster = aStepFactor <= kFaster * aBest[aLayer];
    return faster ? aBest[aLayer] - aStepFactor : 0;
  };
  std::optional<LayerRange> best;
  double mostGain = 0;
  for (std::uint32_t from = 0; from < layers; ++from) {
    double gain = 0;
    const std::uint32_t last = std::min(layers, from + aMost);
    for (std::uint32_t to = from + 1; to <= last; ++to) {
      gain += gainAt(to - 1);
      // Only where the last layer adds to it: none is loaded for nothing.
      if (gain > mostGain) {
        mostGain = gain;
        best = LayerRange{ from, to };
      }
    }
  }
  while (best && gainAt(best->from) == 0) {
    ++best->from;
  }
  return best;
}

} // namespace poplartrack
