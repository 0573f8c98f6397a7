/**
 * The named baselines inside the shipped program: these two functions take the
 * place of LayerGraph's when poplartrack_baseline_* is linked, so that only
 * the choice of the path differs. Estimates, rests, admission and retries are
 * the shipped ones. POPLARTRACK_BASELINE is a BaselineRule.
 */
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "decisions/Baselines.h"
#include "poplartrack/route/LayerGraph.h"

namespace poplartrack {
namespace {

constexpr bench::BaselineRule kRule = bench::BaselineRule::POPLARTRACK_BASELINE;

/** One chooser a process, under its lock. */
std::unordered_map<std::uint32_t, std::uint64_t> turns;

std::uint32_t
pick(const std::vector<Candidate>& aCandidates,
     const std::vector<std::uint32_t>& aFit,
     std::uint32_t aLayer,
     std::mt19937_64& aRandom)
{
  if (kRule == bench::BaselineRule::Random) {
    return aFit[aRandom() % aFit.size()];
  }
  if (kRule == bench::BaselineRule::RoundRobin) {
    return aFit[turns[aLayer]++ % aFit.size()];
  }
  std::uint32_t best = aFit.front();
  for (const std::uint32_t one : aFit) {
    if (aCandidates[one].info->load.attempts <
        aCandidates[best].info->load.attempts) {
      best = one;
    }
  }
  return best;
}

} // namespace

/** Stage by stage, an endpoint that holds the next layer runs all it holds
 * from there; the edges take the stages in order. */
void
LayerGraph::buildEdges(bool aWithBackingOff,
                       double /*aSpread*/,
                       std::mt19937_64& aRandom)
{
  this->edges.clear();
  std::uint32_t layer = 0;
  while (layer < this->cuts.back()) {
    std::vector<std::uint32_t> fit;
    for (std::uint32_t i = 0; i < this->candidates.size(); ++i) {
      const Candidate& candidate = this->candidates[i];
      const LayerRange& holds = candidate.info->holds;
      const bool may =
        candidate.fitness == Fitness::Fit ||
        (candidate.fitness == Fitness::BackingOff && aWithBackingOff);
      if (may && holds.from <= layer && layer < holds.to) {
        fit.push_back(i);
      }
    }
    if (fit.empty()) {
      this->edges.clear();
      return;
    }
    const std::uint32_t next = pick(this->candidates, fit, layer, aRandom);
    this->edges.push_back(Edge{ 0, next });
    layer = this->candidates[next].info->holds.to;
  }
}

std::vector<PathStage>
LayerGraph::cheapest() const
{
  std::vector<PathStage> path;
  std::uint32_t layer = 0;
  for (const Edge& edge : this->edges) {
    const std::uint32_t end = std::min(
      this->candidates[edge.candidate].info->holds.to, this->cuts.back());
    path.push_back(PathStage{ edge.candidate, LayerRange{ layer, end } });
    layer = end;
  }
  return path;
}

} // namespace poplartrack
