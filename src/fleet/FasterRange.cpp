#include "FasterRange.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** A new replica counts as faster than a holder if its step factor is at most
 * this fraction of the holder's. For smaller gains, memory decides which layers
 * it takes. */
constexpr double kFasterRatio = 0.75;

} // namespace

std::optional<LayerRange>
fasterRange(const std::vector<double>& aStepFactors,
            double aStepFactor,
            std::uint32_t aMaxLayers)
{
  const auto layers = static_cast<std::uint32_t>(aStepFactors.size());
  const auto gainAt = [&](std::uint32_t aLayer) {
    const bool faster = aStepFactor <= kFasterRatio * aStepFactors[aLayer];
    return faster ? aStepFactors[aLayer] - aStepFactor : 0;
  };
  std::optional<LayerRange> best;
  double mostGain = 0;
  for (std::uint32_t from = 0; from < layers; ++from) {
    double gain = 0;
    const std::uint32_t last = std::min(layers, from + aMaxLayers);
    for (std::uint32_t to = from + 1; to <= last; ++to) {
      gain += gainAt(to - 1);
      // Only a strictly larger gain counts, so that the range never ends with a
      // layer that gains nothing.
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
