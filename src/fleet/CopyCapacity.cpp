#include "poplartrack/fleet/CopyCapacity.h"

#include <algorithm>
#include <vector>

#include "LayerCopy.h"
#include "PathCosts.h"

namespace poplartrack {

using namespace layer_copy;

double
tokensOf(const EngineProfile& aProfile, const PlacedReplica& aPlaced)
{
  const double freeMb = kindOf(aProfile, *aPlaced.replica)->memoryMb -
                        aProfile.layerMb * aPlaced.layers.size();
  return std::max(0.0, freeMb) /
         (aProfile.tokenLayerMb() * aPlaced.layers.size()) / aPlaced.slowdown;
}

std::vector<double>
tokensByLayer(const EngineProfile& aProfile,
              std::span<const PlacedReplica> aReplicas)
{
  std::vector<double> tokens(aProfile.layers, 0);
  for (const PlacedReplica& placed : aReplicas) {
    if (placed.layers.size() == 0) {
      continue;
    }
    const double each = tokensOf(aProfile, placed);
    for (auto i = placed.layers.from; i < placed.layers.to; ++i) {
      tokens[i] += each;
    }
  }
  return tokens;
}

double
answerSeconds(const EngineProfile& aProfile,
              const MeanRequest& aMean,
              std::span<const PlacedReplica> aReplicas)
{
  std::vector<double> tokens(aProfile.layers, 0);
  std::vector<double> ms(aProfile.layers, 0);
  for (const PlacedReplica& placed : aReplicas) {
    if (placed.layers.size() == 0) {
      continue;
    }
    const double each = tokensOf(aProfile, placed);
    const AcceleratorKind& kind = *kindOf(aProfile, *placed.replica);
    const double batch = each / aMean.tokens();
    const double stepMs = aProfile.stepMs + batch * aProfile.perRequestMs;
    constexpr double kMsPerSecond = 1'000;
    const double layerMs =
      kStepsPerToken * stepMs * kind.stepFactor * aMean.answer +
      kMsPerSecond / aProfile.prefillPerSecond * kind.prefillFactor *
        aMean.prompt;
    for (auto i = placed.layers.from; i < placed.layers.to; ++i) {
      tokens[i] += each;
      ms[i] += each * layerMs / aProfile.layers;
    }
  }
  double sum = 0;
  for (std::uint32_t i = 0; i < aProfile.layers; ++i) {
    sum += tokens[i] > 0 ? ms[i] / tokens[i] : 0;
  }
  constexpr double kSecondsPerMs = 1e-3;
  return std::max(sum * kSecondsPerMs, kSecondsPerMs);
}

double
carriedRate(const EngineProfile& aProfile,
            const MeanRequest& aMean,
            std::span<const PlacedReplica> aReplicas)
{
  if (aReplicas.empty()) {
    return 0;
  }
  const auto tokens = tokensByLayer(aProfile, aReplicas);
  double starts = 0;
  for (const PlacedReplica& placed : aReplicas) {
    const bool holdsFirst = placed.layers.size() > 0 && placed.layers.from == 0;
    starts += holdsFirst ? placed.replica->slots / placed.slowdown : 0;
  }
  const double scarcest = *std::min_element(tokens.begin(), tokens.end());
  return std::min(scarcest / aMean.tokens(), starts) /
         answerSeconds(aProfile, aMean, aReplicas);
}

double
carriedRate(const EngineProfile& aProfile,
            std::span<const PlacedReplica> aReplicas)
{
  return carriedRate(aProfile, declaredMean(aProfile), aReplicas);
}

} // namespace poplartrack
