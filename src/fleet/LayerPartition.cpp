#include "LayerPartition.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace poplartrack {
namespace {

/** Bisection steps of the search for the token capacity of a copy; its result
 * is finer than one token. */
constexpr int kBisectionSteps = 24;

/** An accelerator counts as fast if its steps take less than this fraction of
 * the time of the slowest one's. */
constexpr double kFastStepRatio = 0.5;

/** Returns the layers that all replicas together hold while each keeps memory
 * for aTokens tokens. */
std::uint32_t
totalLayerCapacity(const EngineProfile& aProfile,
                   const std::vector<const AcceleratorKind*>& aReplicas,
                   double aTokens)
{
  std::uint32_t sum = 0;
  for (const AcceleratorKind* kind : aReplicas) {
    sum += layerCapacity(aProfile, *kind, aTokens);
  }
  return sum;
}

/** Distributes aLayers over the replicas at aIndexes, in proportion to the most
 * layers that each may get. */
void
distributeProportionally(std::vector<std::uint32_t>& aCounts,
                         const std::vector<std::size_t>& aIndexes,
                         const std::vector<std::uint32_t>& aMaxLayers,
                         std::uint32_t aLayers)
{
  std::uint32_t total = 0;
  for (const std::size_t index : aIndexes) {
    total += aMaxLayers[index];
  }
  std::uint32_t before = 0;
  std::uint32_t assigned = 0;
  for (const std::size_t index : aIndexes) {
    before += aMaxLayers[index];
    const std::uint32_t upTo =
      total == 0 ? 0
                 : static_cast<std::uint32_t>(std::lround(
                     static_cast<double>(aLayers) * before / total));
    aCounts[index] = std::min(upTo - assigned, aMaxLayers[index]);
    assigned += aCounts[index];
  }
  for (const std::size_t index : aIndexes) {
    const std::uint32_t more =
      std::min(aMaxLayers[index] - aCounts[index], aLayers - assigned);
    aCounts[index] += more;
    assigned += more;
  }
}

/** Least token capacity that a copy is laid out for, as a fraction of the most
 * that it could have. With the most, slow accelerators would hold as many
 * layers as fit into their memory, and each token would wait for them. */
constexpr double kMinCapacityFraction = 0.3;
/** Steps between the least and the most token capacity that are tried. */
constexpr int kCapacitySteps = 14;

/** Penalty for a member that gets the most layers that it may have, as a number
 * of layers to load. Loading a layer takes a fraction of a second once, whereas
 * too little memory causes refusals as long as the partition lasts. */
constexpr double kFullMemberCostLayers = 6;

/** Returns the cost of giving a member the layers [aFrom, aTo): the layers that
 * it has to load, and a penalty that grows with the fraction of its maximum. */
double
repartitionCost(const RepartitionMember& aMember,
                std::uint32_t aFrom,
                std::uint32_t aTo)
{
  const std::uint32_t kept = LayerRange{ std::max(aFrom, aMember.held.from),
                                         std::min(aTo, aMember.held.to) }
                               .size();
  const double fraction = static_cast<double>(aTo - aFrom) / aMember.maxLayers;
  return (aTo - aFrom) - kept + kFullMemberCostLayers * fraction * fraction;
}

} // namespace

std::uint32_t
layerCapacity(const EngineProfile& aProfile,
              const AcceleratorKind& aKind,
              double aTokens)
{
  const double perLayer = aProfile.layerMb + aProfile.tokenLayerMb() * aTokens;
  const double maxLayers = perLayer > 0 ? aKind.memoryMb / perLayer : 0;
  return static_cast<std::uint32_t>(
    std::min<double>(std::floor(maxLayers), aProfile.layers));
}

double
answersPerSecond(const EngineProfile& aProfile,
                 const std::vector<const AcceleratorKind*>& aReplicas,
                 const std::vector<std::uint32_t>& aCounts,
                 double aTokens)
{
  const double perRequest =
    aProfile.meanPromptTokens + aProfile.meanAnswerTokens;
  const double requests = aTokens / std::max(perRequest, 1.0);
  constexpr double kTokensPerK = 1000;
  const double decodeStepMs =
    aProfile.stepMs +
    requests * (aProfile.perRequestMs +
                aProfile.contextMsPerK * perRequest / kTokensPerK);
  double weightedStepFactor = 0;
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    weightedStepFactor +=
      aReplicas[i]->stepFactor * aCounts[i] / aProfile.layers;
  }
  const double answerMs =
    decodeStepMs * weightedStepFactor * aProfile.meanAnswerTokens;
  constexpr double kMsPerSecond = 1000;
  return answerMs > 0 ? kMsPerSecond * requests / answerMs : 0;
}

double
copyTokenCapacity(const EngineProfile& aProfile,
                  const std::vector<const AcceleratorKind*>& aReplicas,
                  double aMaxTokens)
{
  if (totalLayerCapacity(aProfile, aReplicas, aMaxTokens) >= aProfile.layers) {
    return aMaxTokens;
  }
  double low = 0;
  double high = aMaxTokens;
  for (int i = 0; i < kBisectionSteps; ++i) {
    const double middle = (low + high) / 2;
    if (totalLayerCapacity(aProfile, aReplicas, middle) >= aProfile.layers) {
      low = middle;
    } else {
      high = middle;
    }
  }
  return low;
}

std::vector<std::uint32_t>
partitionLayers(const EngineProfile& aProfile,
                const std::vector<const AcceleratorKind*>& aReplicas,
                double aTokens,
                std::uint32_t aLayers)
{
  double slowest = 0;
  for (const AcceleratorKind* kind : aReplicas) {
    slowest = std::max(slowest, kind->stepFactor);
  }
  std::vector<std::uint32_t> maxLayers;
  std::vector<std::size_t> fast;
  std::vector<std::size_t> slow;
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    maxLayers.push_back(layerCapacity(aProfile, *aReplicas[i], aTokens));
    const bool isFast = aReplicas[i]->stepFactor < kFastStepRatio * slowest;
    (isFast ? fast : slow).push_back(i);
  }
  if (std::accumulate(maxLayers.begin(), maxLayers.end(), 0U) < aLayers) {
    return {};
  }
  std::uint32_t onFast = 0;
  for (const std::size_t index : fast) {
    onFast += maxLayers[index];
  }
  onFast = std::min(onFast, aLayers);
  std::vector<std::uint32_t> counts(aReplicas.size(), 0);
  distributeProportionally(counts, fast, maxLayers, onFast);
  distributeProportionally(counts, slow, maxLayers, aLayers - onFast);
  return counts;
}

double
bestTokenCapacity(const EngineProfile& aProfile,
                  const std::vector<const AcceleratorKind*>& aReplicas,
                  double aMaxTokens)
{
  const double maxTokens = copyTokenCapacity(aProfile, aReplicas, aMaxTokens);
  double best = maxTokens;
  double mostAnswers = 0;
  for (int step = kCapacitySteps; step >= 0; --step) {
    const double fraction =
      kMinCapacityFraction + (1 - kMinCapacityFraction) * step / kCapacitySteps;
    const double tokens = fraction * maxTokens;
    const auto counts =
      partitionLayers(aProfile, aReplicas, tokens, aProfile.layers);
    const double answers =
      counts.empty() ? 0
                     : answersPerSecond(aProfile, aReplicas, counts, tokens);
    if (answers > mostAnswers) {
      mostAnswers = answers;
      best = tokens;
    }
  }
  return best;
}

std::vector<LayerRange>
repartitionLayers(std::uint32_t aLayers,
                  const std::vector<RepartitionMember>& aMembers)
{
  // Dynamic programming. best[i][b] is the least cost at which the first i
  // members cover [0, b); start[i][b] is where the range of the last of
  // these members begins.
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  const std::size_t count = aMembers.size();
  std::vector<std::vector<double>> best(
    count + 1, std::vector<double>(aLayers + 1, kInfinity));
  std::vector<std::vector<std::uint32_t>> start(
    count + 1, std::vector<std::uint32_t>(aLayers + 1, 0));
  best[0][0] = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const RepartitionMember& member = aMembers[i];
    for (std::uint32_t from = 0; from <= aLayers; ++from) {
      if (best[i][from] == kInfinity) {
        continue;
      }
      const std::uint32_t last = std::min(aLayers, from + member.maxLayers);
      for (std::uint32_t to = from; to <= last; ++to) {
        const double cost =
          best[i][from] + (to == from ? 0 : repartitionCost(member, from, to));
        if (cost < best[i + 1][to]) {
          best[i + 1][to] = cost;
          start[i + 1][to] = from;
        }
      }
    }
  }
  if (best[count][aLayers] == kInfinity) {
    return {};
  }
  std::vector<LayerRange> ranges(count);
  std::uint32_t to = aLayers;
  for (std::size_t i = count; i > 0; --i) {
    ranges[i - 1] = { start[i][to], to };
    to = start[i][to];
  }
  return ranges;
}

} // namespace poplartrack
