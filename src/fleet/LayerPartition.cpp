#include "LayerPartition.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace poplartrack {
namespace {

/** Halvings of the search for the tokens of a copy: finer than a token. */
constexpr int kSearchSteps = 24;

/** An accelerator counts as fast when its steps take less than this part of
 * the slowest one's. */
constexpr double kFastPart = 0.5;

std::uint32_t
layersOfAll(const EngineProfile& aProfile,
            const std::vector<const AcceleratorKind*>& aReplicas,
            double aTokens)
{
  std::uint32_t sum = 0;
  for (const AcceleratorKind* kind : aReplicas) {
    sum += layersBeside(aProfile, *kind, aTokens);
  }
  return sum;
}

/** Deals aLayers over the replicas in proportion to what each may take. */
void
deal(std::vector<std::uint32_t>& aCounts,
     const std::vector<std::size_t>& aPlaces,
     const std::vector<std::uint32_t>& aMost,
     std::uint32_t aLayers)
{
  std::uint32_t total = 0;
  for (const std::size_t place : aPlaces) {
    total += aMost[place];
  }
  std::uint32_t before = 0;
  std::uint32_t dealt = 0;
  for (const std::size_t place : aPlaces) {
    before += aMost[place];
    const std::uint32_t upTo =
      total == 0 ? 0
                 : static_cast<std::uint32_t>(std::lround(
                     static_cast<double>(aLayers) * before / total));
    aCounts[place] = std::min(upTo - dealt, aMost[place]);
    dealt += aCounts[place];
  }
  for (const std::size_t place : aPlaces) {
    const std::uint32_t more =
      std::min(aMost[place] - aCounts[place], aLayers - dealt);
    aCounts[place] += more;
    dealt += more;
  }
}

/** Least memory that a copy is cut for, as a part of the most that it could
 * keep, and how many amounts between the two are tried. Cut for the most, slow
 * accelerators held as many layers as their memory took, and each token waited
 * for them. */
constexpr double kLeastMemory = 0.3;
constexpr int kMemorySteps = 14;

/** What a member at its most costs, in layers loaded. A load of one layer takes
 * a fraction of a second once; memory that is missing refuses requests for as
 * long as the cut stands. */
constexpr double kFullCost = 6;

/** Cost of giving a member the layers [aFrom, aTo). */
double
recutCost(const CutMember& aMember, std::uint32_t aFrom, std::uint32_t aTo)
{
  const std::uint32_t kept = LayerRange{ std::max(aFrom, aMember.held.from),
                                         std::min(aTo, aMember.held.to) }
                               .size();
  const double part = static_cast<double>(aTo - aFrom) / aMember.most;
  return (aTo - aFrom) - kept + kFullCost * part * part;
}

} // namespace

std::uint32_t
layersBeside(const EngineProfile& aProfile,
             const AcceleratorKind& aKind,
             double aTokens)
{
  const double perLayer = aProfile.layerMb + aProfile.tokenLayerMb() * aTokens;
  const double most = perLayer > 0 ? aKind.memoryMb / perLayer : 0;
  return static_cast<std::uint32_t>(
    std::min<double>(std::floor(most), aProfile.layers));
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
  const double passMs =
    aProfile.stepMs +
    requests * (aProfile.perRequestMs +
                aProfile.contextMsPerK * perRequest / kTokensPerK);
  double slowness = 0;
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    slowness += aReplicas[i]->stepFactor * aCounts[i] / aProfile.layers;
  }
  const double answerMs = passMs * slowness * aProfile.meanAnswerTokens;
  constexpr double kMsPerSecond = 1000;
  return answerMs > 0 ? kMsPerSecond * requests / answerMs : 0;
}

double
tokensOfCopy(const EngineProfile& aProfile,
             const std::vector<const AcceleratorKind*>& aReplicas,
             double aMost)
{
  if (layersOfAll(aProfile, aReplicas, aMost) >= aProfile.layers) {
    return aMost;
  }
  double low = 0;
  double high = aMost;
  for (int i = 0; i < kSearchSteps; ++i) {
    const double middle = (low + high) / 2;
    if (layersOfAll(aProfile, aReplicas, middle) >= aProfile.layers) {
      low = middle;
    } else {
      high = middle;
    }
  }
  return low;
}

std::vector<std::uint32_t>
cutLayers(const EngineProfile& aProfile,
          const std::vector<const AcceleratorKind*>& aReplicas,
          double aTokens,
          std::uint32_t aLayers)
{
  double slowest = 0;
  for (const AcceleratorKind* kind : aReplicas) {
    slowest = std::max(slowest, kind->stepFactor);
  }
  std::vector<std::uint32_t> most;
  std::vector<std::size_t> fast;
  std::vector<std::size_t> slow;
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    most.push_back(layersBeside(aProfile, *aReplicas[i], aTokens));
    const bool isFast = aReplicas[i]->stepFactor < kFastPart * slowest;
    (isFast ? fast : slow).push_back(i);
  }
  if (std::accumulate(most.begin(), most.end(), 0U) < aLayers) {
    return {};
  }
  std::uint32_t onFast = 0;
  for (const std::size_t place : fast) {
    onFast += most[place];
  }
  onFast = std::min(onFast, aLayers);
  std::vector<std::uint32_t> counts(aReplicas.size(), 0);
  deal(counts, fast, most, onFast);
  deal(counts, slow, most, aLayers - onFast);
  return counts;
}

double
bestTokens(const EngineProfile& aProfile,
           const std::vector<const AcceleratorKind*>& aReplicas,
           double aMost)
{
  const double most = tokensOfCopy(aProfile, aReplicas, aMost);
  double best = most;
  double mostAnswers = 0;
  for (int step = kMemorySteps; step >= 0; --step) {
    const double part = kLeastMemory + (1 - kLeastMemory) * step / kMemorySteps;
    const double tokens = part * most;
    const auto counts = cutLayers(aProfile, aReplicas, tokens, aProfile.layers);
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
recutLayers(std::uint32_t aLayers, const std::vector<CutMember>& aMembers)
{
  // best[i][b]: least cost at which the first i members cover [0, b).
  constexpr double kNever = std::numeric_limits<double>::infinity();
  const std::size_t count = aMembers.size();
  std::vector<std::vector<double>> best(
    count + 1, std::vector<double>(aLayers + 1, kNever));
  std::vector<std::vector<std::uint32_t>> start(
    count + 1, std::vector<std::uint32_t>(aLayers + 1, 0));
  best[0][0] = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const CutMember& member = aMembers[i];
    for (std::uint32_t from = 0; from <= aLayers; ++from) {
      if (best[i][from] == kNever) {
        continue;
      }
      const std::uint32_t last = std::min(aLayers, from + member.most);
      for (std::uint32_t to = from; to <= last; ++to) {
        const double cost =
          best[i][from] + (to == from ? 0 : recutCost(member, from, to));
        if (cost < best[i + 1][to]) {
          best[i + 1][to] = cost;
          start[i + 1][to] = from;
        }
      }
    }
  }
  if (best[count][aLayers] == kNever) {
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
