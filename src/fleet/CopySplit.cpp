#include "CopySplit.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>

#include "LayerPartition.h"

namespace poplartrack {
namespace {

using Kinds = std::vector<const AcceleratorKind*>;

/** A zone gets several copies if each has memory for this fraction of the token
 * target. The loss of a replica then affects only one of them, and streams
 * continue through another one of the same zone without a new attempt. */
constexpr double kMinSplitCopyFraction = 0.5;

/** Fractions of the token target. For each of them, a split is tried whose
 * copies have the fewest replicas that keep memory for that many tokens. */
constexpr std::array<double, 6> kFractionsTried{ 0.5, 0.6, 0.7, 0.8, 0.9, 1.0 };

/** Returns the accelerators at the given indexes. */
Kinds
kindsAt(const Kinds& aReplicas, const CopyMembers& aMembers)
{
  Kinds kinds;
  kinds.reserve(aMembers.size());
  for (const std::size_t index : aMembers) {
    kinds.push_back(aReplicas[index]);
  }
  return kinds;
}

/** Returns the indexes in [aFrom, aTo). */
CopyMembers
indexesBetween(std::size_t aFrom, std::size_t aTo)
{
  CopyMembers indexes(aTo - aFrom);
  std::iota(indexes.begin(), indexes.end(), aFrom);
  return indexes;
}

/** Returns the answers per second of all copies together when they are full. */
double
totalAnswersPerSecond(const EngineProfile& aProfile,
                      const Kinds& aReplicas,
                      const std::vector<CopyMembers>& aCopies,
                      double aTokenTarget)
{
  double sum = 0;
  for (const CopyMembers& members : aCopies) {
    const Kinds kinds = kindsAt(aReplicas, members);
    const double tokens = bestTokenCapacity(aProfile, kinds, aTokenTarget);
    const auto counts =
      partitionLayers(aProfile, kinds, tokens, aProfile.layers);
    sum +=
      counts.empty() ? 0 : answersPerSecond(aProfile, kinds, counts, tokens);
  }
  return sum;
}

/** Splits the replicas round robin into aCopies copies. Returns nothing if one
 * of them has too little memory. */
std::optional<std::vector<CopyMembers>>
splitRoundRobin(const EngineProfile& aProfile,
                const Kinds& aReplicas,
                std::size_t aCopies,
                double aTokenTarget)
{
  std::vector<CopyMembers> copies(aCopies);
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    copies[i % aCopies].push_back(i);
  }
  const bool allFit =
    std::all_of(copies.begin(), copies.end(), [&](const CopyMembers& aCopy) {
      return copyTokenCapacity(
               aProfile, kindsAt(aReplicas, aCopy), aTokenTarget) >=
             kMinSplitCopyFraction * aTokenTarget;
    });
  return allFit ? std::optional{ copies } : std::nullopt;
}

/** Returns copies of the fewest replicas each that keep memory for aTokens,
 * taking the fastest replicas first. Those that remain are in no copy. */
std::vector<CopyMembers>
groupFastest(const EngineProfile& aProfile,
             const Kinds& aReplicas,
             double aTokens)
{
  std::vector<CopyMembers> copies;
  std::size_t from = 0;
  while (true) {
    const auto holds = [&](std::size_t aTo) {
      return copyTokenCapacity(aProfile,
                               kindsAt(aReplicas, indexesBetween(from, aTo)),
                               aTokens) >= aTokens;
    };
    std::size_t to = from + 1;
    while (to <= aReplicas.size() && !holds(to)) {
      ++to;
    }
    if (to > aReplicas.size()) {
      return copies;
    }
    copies.push_back(indexesBetween(from, to));
    from = to;
  }
}

/** Adds a copy of the remaining replicas if they can hold one. */
void
addRemainder(const EngineProfile& aProfile,
             const Kinds& aReplicas,
             std::vector<CopyMembers>& aCopies,
             double aTokenTarget)
{
  const std::size_t from = aCopies.empty() ? 0 : aCopies.back().back() + 1;
  const CopyMembers remainder = indexesBetween(from, aReplicas.size());
  if (!remainder.empty() &&
      copyTokenCapacity(aProfile,
                        kindsAt(aReplicas, remainder),
                        aTokenTarget) >= kMinSplitCopyFraction * aTokenTarget) {
    aCopies.push_back(remainder);
  }
}

} // namespace

std::vector<CopyMembers>
splitCopies(const EngineProfile& aProfile,
            const std::vector<const AcceleratorKind*>& aReplicas,
            double aTokenTarget)
{
  std::vector<CopyMembers> best{ indexesBetween(0, aReplicas.size()) };
  double mostAnswers = 0;
  const auto consider = [&](std::vector<CopyMembers> aCopies) {
    if (aCopies.size() < 2) {
      return;
    }
    const double answers =
      totalAnswersPerSecond(aProfile, aReplicas, aCopies, aTokenTarget);
    if (answers > mostAnswers) {
      mostAnswers = answers;
      best = std::move(aCopies);
    }
  };
  for (std::size_t copies = 2; copies <= aReplicas.size(); ++copies) {
    auto split = splitRoundRobin(aProfile, aReplicas, copies, aTokenTarget);
    if (!split) {
      break;
    }
    consider(std::move(*split));
  }
  for (const double fraction : kFractionsTried) {
    auto copies = groupFastest(aProfile, aReplicas, fraction * aTokenTarget);
    addRemainder(aProfile, aReplicas, copies, aTokenTarget);
    consider(std::move(copies));
  }
  return best;
}

} // namespace poplartrack
