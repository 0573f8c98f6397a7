#include "CopySplit.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>

#include "LayerPartition.h"

namespace poplartrack {
namespace {

using Kinds = std::vector<const AcceleratorKind*>;

/** A zone gets several copies when each has memory for this part of the goal:
 * the loss of a replica then costs one of them, and streams go on through the
 * other inside the zone, without another attempt. */
constexpr double kCopyOfSeveral = 0.5;

/** Parts of the goal for which copies of the fewest replicas are tried. */
constexpr std::array<double, 6> kPartsTried{ 0.5, 0.6, 0.7, 0.8, 0.9, 1.0 };

Kinds
kindsAt(const Kinds& aReplicas, const CopyMembers& aMembers)
{
  Kinds kinds;
  kinds.reserve(aMembers.size());
  for (const std::size_t place : aMembers) {
    kinds.push_back(aReplicas[place]);
  }
  return kinds;
}

CopyMembers
placesBetween(std::size_t aFrom, std::size_t aTo)
{
  CopyMembers places(aTo - aFrom);
  std::iota(places.begin(), places.end(), aFrom);
  return places;
}

/** Answers that the copies give in a second together when all are full. */
double
answersOf(const EngineProfile& aProfile,
          const Kinds& aReplicas,
          const std::vector<CopyMembers>& aCopies,
          double aGoal)
{
  double sum = 0;
  for (const CopyMembers& members : aCopies) {
    const Kinds kinds = kindsAt(aReplicas, members);
    const double tokens = bestTokens(aProfile, kinds, aGoal);
    const auto counts = cutLayers(aProfile, kinds, tokens, aProfile.layers);
    sum +=
      counts.empty() ? 0 : answersPerSecond(aProfile, kinds, counts, tokens);
  }
  return sum;
}

/** Deals the replicas out in turn over so many copies; nothing when one of
 * these has too little memory. */
std::optional<std::vector<CopyMembers>>
dealtInTurn(const EngineProfile& aProfile,
            const Kinds& aReplicas,
            std::size_t aCopies,
            double aGoal)
{
  std::vector<CopyMembers> copies(aCopies);
  for (std::size_t i = 0; i < aReplicas.size(); ++i) {
    copies[i % aCopies].push_back(i);
  }
  const bool enough =
    std::all_of(copies.begin(), copies.end(), [&](const CopyMembers& aCopy) {
      return tokensOfCopy(aProfile, kindsAt(aReplicas, aCopy), aGoal) >=
             kCopyOfSeveral * aGoal;
    });
  return enough ? std::optional{ copies } : std::nullopt;
}

/** Copies of as few replicas each as keep memory for aTokens, fast ones first.
 * Those that are left over are in none. */
std::vector<CopyMembers>
fastTogether(const EngineProfile& aProfile,
             const Kinds& aReplicas,
             double aTokens)
{
  std::vector<CopyMembers> copies;
  std::size_t from = 0;
  while (true) {
    const auto holds = [&](std::size_t aTo) {
      return tokensOfCopy(aProfile,
                          kindsAt(aReplicas, placesBetween(from, aTo)),
                          aTokens) >= aTokens;
    };
    std::size_t to = from + 1;
    while (to <= aReplicas.size() && !holds(to)) {
      ++to;
    }
    if (to > aReplicas.size()) {
      return copies;
    }
    copies.push_back(placesBetween(from, to));
    from = to;
  }
}

/** Adds a copy of the replicas that are left over if they hold one. */
void
addRest(const EngineProfile& aProfile,
        const Kinds& aReplicas,
        std::vector<CopyMembers>& aCopies,
        double aGoal)
{
  const std::size_t from = aCopies.empty() ? 0 : aCopies.back().back() + 1;
  const CopyMembers rest = placesBetween(from, aReplicas.size());
  if (!rest.empty() &&
      tokensOfCopy(aProfile, kindsAt(aReplicas, rest), aGoal) >=
        kCopyOfSeveral * aGoal) {
    aCopies.push_back(rest);
  }
}

} // namespace

std::vector<CopyMembers>
splitCopies(const EngineProfile& aProfile,
            const std::vector<const AcceleratorKind*>& aReplicas,
            double aGoal)
{
  std::vector<CopyMembers> best{ placesBetween(0, aReplicas.size()) };
  double mostAnswers = 0;
  const auto consider = [&](std::vector<CopyMembers> aCopies) {
    if (aCopies.size() < 2) {
      return;
    }
    const double answers = answersOf(aProfile, aReplicas, aCopies, aGoal);
    if (answers > mostAnswers) {
      mostAnswers = answers;
      best = std::move(aCopies);
    }
  };
  for (std::size_t copies = 2; copies <= aReplicas.size(); ++copies) {
    auto dealt = dealtInTurn(aProfile, aReplicas, copies, aGoal);
    if (!dealt) {
      break;
    }
    consider(std::move(*dealt));
  }
  for (const double part : kPartsTried) {
    auto copies = fastTogether(aProfile, aReplicas, part * aGoal);
    addRest(aProfile, aReplicas, copies, aGoal);
    consider(std::move(copies));
  }
  return best;
}

} // namespace poplartrack
