#include "poplartrack/route/LayerGraph.h"

#include <algorithm>
#include <limits>

namespace poplartrack {
namespace {

/** Factor on the cost of a candidate in backoff that must be used. */
constexpr double kBackoffCostFactor = 8;
/** Up to this number of zones, the search runs once per zone of the first
 * stage, so that the cost of the hop back to the first stage is exact. The time
 * of this grows with the third power of the number of zones. */
constexpr std::uint32_t kMaxExactZones = 6;

} // namespace

std::vector<LayerRange>
uncoveredLayers(const std::vector<Candidate>& aCandidates,
                std::uint32_t aLayers)
{
  std::vector<LayerRange> held;
  held.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    held.push_back(candidate.info->holds);
  }
  std::sort(held.begin(),
            held.end(),
            [](const LayerRange& aOne, const LayerRange& aTwo) {
              return aOne.from < aTwo.from;
            });
  std::vector<LayerRange> gaps;
  std::uint32_t reach = 0;
  for (const LayerRange& range : held) {
    if (range.from > reach && reach < aLayers) {
      gaps.push_back(LayerRange{ reach, std::min(range.from, aLayers) });
    }
    reach = std::max(reach, range.to);
  }
  if (reach < aLayers) {
    gaps.push_back(LayerRange{ reach, aLayers });
  }
  return gaps;
}

std::vector<std::uint32_t>
cutPoints(const std::vector<Candidate>& aCandidates,
          std::uint32_t aLayers,
          std::uint32_t aMaxCuts)
{
  std::vector<std::uint32_t> uses(aLayers + 1, 0);
  std::vector<std::uint32_t> reach(aLayers + 1, 0);
  for (const Candidate& candidate : aCandidates) {
    const LayerRange& holds = candidate.info->holds;
    if (holds.size() == 0 || holds.from >= aLayers) {
      continue;
    }
    const std::uint32_t to = std::min(holds.to, aLayers);
    ++uses[holds.from];
    ++uses[to];
    reach[holds.from] = std::max(reach[holds.from], to);
  }
  std::vector<std::uint32_t> cuts;
  for (std::uint32_t layer = 1; layer < aLayers; ++layer) {
    if (uses[layer] > 0) {
      cuts.push_back(layer);
    }
  }
  if (cuts.size() > aMaxCuts) {
    // Keep the most used cut points and those of the cover with the fewest
    // stages: without these a covered model might get no route.
    std::uint32_t best = 0;
    std::uint32_t end = 0;
    for (std::uint32_t layer = 0; layer < aLayers; ++layer) {
      best = std::max(best, reach[layer]);
      if (layer == end && best > end) {
        uses[best] = UINT32_MAX;
        end = best;
      }
    }
    std::stable_sort(cuts.begin(),
                     cuts.end(),
                     [&uses](std::uint32_t aOne, std::uint32_t aTwo) {
                       return uses[aOne] > uses[aTwo];
                     });
    const auto needed = static_cast<std::size_t>(
      std::count_if(cuts.begin(), cuts.end(), [&uses](std::uint32_t aCut) {
        return uses[aCut] == UINT32_MAX;
      }));
    cuts.resize(std::max<std::size_t>(aMaxCuts, needed));
  }
  cuts.push_back(0);
  cuts.push_back(aLayers);
  std::sort(cuts.begin(), cuts.end());
  return cuts;
}

LayerGraph::LayerGraph(const std::vector<Candidate>& aCandidates,
                       const std::vector<std::uint32_t>& aCuts,
                       const ZoneTable& aZones,
                       const PathWork& aWork)
  : candidates(aCandidates)
  , cuts(aCuts)
  , zones(aZones)
  , work(aWork)
  , zoneCount(aZones.size())
{
}

std::size_t
LayerGraph::edgeIndex(std::uint32_t aFrom,
                      std::uint32_t aTo,
                      std::uint32_t aZone) const
{
  return (static_cast<std::size_t>(aFrom) * this->cuts.size() + aTo) *
           this->zoneCount +
         aZone;
}

void
LayerGraph::buildEdges(bool aWithBackingOff,
                       double aSpread,
                       std::mt19937_64& aRandom)
{
  this->edges.assign(this->cuts.size() * this->cuts.size() * this->zoneCount,
                     Edge{});
  std::uniform_real_distribution<double> randomFactor(1.0, 1.0 + aSpread);
  for (std::uint32_t i = 0; i < this->candidates.size(); ++i) {
    const Fitness fitness = this->candidates[i].fitness;
    const bool backingOff = fitness == Fitness::BackingOff;
    if (fitness == Fitness::Unfit || (backingOff && !aWithBackingOff)) {
      continue;
    }
    this->addEdges(
      i, randomFactor(aRandom) * (backingOff ? kBackoffCostFactor : 1));
  }
}

void
LayerGraph::addEdges(std::uint32_t aIndex, double aFactor)
{
  const Candidate& candidate = this->candidates[aIndex];
  const LayerRange& holds = candidate.info->holds;
  const double perLayer =
    candidate.layerMicros * candidate.costFactor *
    (this->work.steps + this->work.prefillWork * candidate.prefillFraction);
  const double fixed = 2 * candidate.extraLinkMicros * this->work.steps;
  const auto first =
    std::lower_bound(this->cuts.begin(), this->cuts.end(), holds.from);
  for (auto from = first; from != this->cuts.end(); ++from) {
    for (auto to = from + 1; to != this->cuts.end() && *to <= holds.to; ++to) {
      const double cost = (perLayer * (*to - *from) + fixed) * aFactor;
      Edge& edge = this->edges[this->edgeIndex(
        static_cast<std::uint32_t>(from - this->cuts.begin()),
        static_cast<std::uint32_t>(to - this->cuts.begin()),
        candidate.zone)];
      if (edge.candidate == kNone || cost < edge.cost) {
        edge = Edge{ cost, aIndex };
      }
    }
  }
}

std::vector<LayerGraph::Node>
LayerGraph::search(std::uint32_t aFirstZone) const
{
  const auto count = static_cast<std::uint32_t>(this->cuts.size());
  std::vector<Node> nodes(static_cast<std::size_t>(count) * this->zoneCount);
  const auto relax = [&](std::uint32_t aFrom,
                         std::uint32_t aTo,
                         std::uint32_t aFromZone,
                         std::uint32_t aToZone,
                         double aBefore) {
    const Edge& edge = this->edges[this->edgeIndex(aFrom, aTo, aToZone)];
    if (edge.candidate == kNone) {
      return;
    }
    Node& node = nodes[aTo * this->zoneCount + aToZone];
    const double cost = aBefore + edge.cost;
    if (!node.reached || cost < node.cost) {
      node = Node{ cost, true, aFrom, aFromZone };
    }
  };
  for (std::uint32_t to = 1; to < count; ++to) {
    for (std::uint32_t zone = 0; zone < this->zoneCount; ++zone) {
      if (aFirstZone == kNone || zone == aFirstZone) {
        relax(0, to, zone, zone, this->zones.hop(0, zone));
      }
    }
  }
  for (std::uint32_t from = 1; from + 1 < count; ++from) {
    for (std::uint32_t zone = 0; zone < this->zoneCount; ++zone) {
      const Node node = nodes[from * this->zoneCount + zone];
      if (!node.reached) {
        continue;
      }
      for (std::uint32_t next = 0; next < this->zoneCount; ++next) {
        const double before =
          node.cost + this->work.steps * this->zones.hop(zone, next);
        for (std::uint32_t to = from + 1; to < count; ++to) {
          relax(from, to, zone, next, before);
        }
      }
    }
  }
  return nodes;
}

double
LayerGraph::pathCost(const std::vector<Node>& aNodes,
                     std::uint32_t aLastZone,
                     std::uint32_t aFirstZone) const
{
  const Node& node =
    aNodes[(this->cuts.size() - 1) * this->zoneCount + aLastZone];
  if (!node.reached) {
    return std::numeric_limits<double>::infinity();
  }
  // Each further step starts at the first stage again, so the hop back to it is
  // part of the cost.
  const std::uint32_t first = aFirstZone == kNone ? 0 : aFirstZone;
  return node.cost + (this->work.steps - 1) * this->zones.hop(aLastZone, first);
}

std::vector<PathStage>
LayerGraph::tracePath(const std::vector<Node>& aNodes,
                      std::uint32_t aLastZone) const
{
  std::vector<PathStage> path;
  auto cut = static_cast<std::uint32_t>(this->cuts.size() - 1);
  std::uint32_t zone = aLastZone;
  while (cut != 0) {
    const Node& node = aNodes[cut * this->zoneCount + zone];
    const Edge& edge = this->edges[this->edgeIndex(node.fromCut, cut, zone)];
    path.push_back(
      PathStage{ edge.candidate,
                 LayerRange{ this->cuts[node.fromCut], this->cuts[cut] } });
    cut = node.fromCut;
    zone = node.fromZone;
  }
  std::reverse(path.begin(), path.end());
  return path;
}

namespace {

/**
 * Returns the path with each candidate used once: a side runs only one stage of
 * an attempt. A candidate that the search has used twice also holds all layers
 * in between, since ranges have no gaps. It runs all of them, and the stages in
 * between are removed.
 */
std::vector<PathStage>
withoutRepeats(const std::vector<PathStage>& aPath)
{
  std::vector<PathStage> path;
  for (const PathStage& stage : aPath) {
    const auto same =
      std::find_if(path.begin(), path.end(), [&stage](const PathStage& aOld) {
        return aOld.candidate == stage.candidate;
      });
    if (same == path.end()) {
      path.push_back(stage);
      continue;
    }
    same->runs.to = stage.runs.to;
    path.erase(same + 1, path.end());
  }
  return path;
}

} // namespace

std::vector<PathStage>
LayerGraph::cheapest() const
{
  const bool exact = this->zoneCount <= kMaxExactZones;
  double best = std::numeric_limits<double>::infinity();
  std::vector<PathStage> path;
  const std::uint32_t searches = exact ? this->zoneCount : 1;
  for (std::uint32_t i = 0; i < searches; ++i) {
    const std::uint32_t first = exact ? i : kNone;
    const std::vector<Node> nodes = this->search(first);
    for (std::uint32_t last = 0; last < this->zoneCount; ++last) {
      const double cost = this->pathCost(nodes, last, first);
      if (cost < best) {
        best = cost;
        path = this->tracePath(nodes, last);
      }
    }
  }
  return withoutRepeats(path);
}

} // namespace poplartrack
