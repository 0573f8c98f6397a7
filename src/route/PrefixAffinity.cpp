#include "poplartrack/route/PrefixAffinity.h"

#include <map>
#include <utility>

#include <xxhash.h>

namespace poplartrack {

void
applyPrefixAffinity(std::vector<Candidate>& aCandidates,
                    std::uint64_t aPrefixHash,
                    const RoutePolicy& aPolicy)
{
  /** The best candidate of one range so far. */
  struct Best
  {
    std::uint64_t score = 0;
    Candidate* candidate = nullptr;
  };
  double totalLoad = 0;
  for (const Candidate& candidate : aCandidates) {
    totalLoad += candidate.load;
  }
  const double mean = totalLoad / static_cast<double>(aCandidates.size());
  // Bounded load: above the bound the prefix moves to the candidate with the
  // next highest score, so that a popular prefix cannot overload one endpoint.
  const double bound = aPolicy.prefixLoadBound * mean + 1;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Best> bestByRange;
  for (Candidate& candidate : aCandidates) {
    if (candidate.load > bound || candidate.fitness != Fitness::Fit) {
      continue;
    }
    const std::string& name = candidate.info->name;
    const std::uint64_t score =
      XXH3_64bits_withSeed(name.data(), name.size(), aPrefixHash);
    const LayerRange& holds = candidate.info->holds;
    Best& best = bestByRange[{ holds.from, holds.to }];
    if (best.candidate == nullptr || score > best.score) {
      best = Best{ score, &candidate };
    }
  }
  for (auto& [range, best] : bestByRange) {
    best.candidate->prefillFraction = 1 - aPolicy.prefixSaving;
  }
}

} // namespace poplartrack
