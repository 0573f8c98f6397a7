#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/route/EndpointEstimate.h"
#include "poplartrack/route/ZoneTable.h"

namespace poplartrack {

/** One stage of a path: a candidate (by index) and what it runs. */
struct PathStage
{
  std::uint32_t candidate = 0;
  LayerRange runs;
};

/** How much of each cost one request pays. */
struct PathWork
{
  /** Decode steps that each stage makes. */
  double steps = 1;
  /** The time of the first step's inputs as a number of decode steps. */
  double prefillSteps = 0;
  /** The work of the first step's inputs as a number of decode steps in a full
   * batch: what they keep others from. */
  double prefillWork = 0;
};

/** The places at which routes of one model may be cut, 0 and L included. */
std::vector<std::uint32_t>
cutsOf(const std::vector<Candidate>& aCandidates,
       std::uint32_t aLayers,
       std::uint32_t aMaxCuts);

/** What no candidate holds; empty when all layers are covered. */
std::vector<LayerRange>
uncovered(const std::vector<Candidate>& aCandidates, std::uint32_t aLayers);

/**
 * The graph whose nodes are (cut, availability zone) and whose edges are the
 * cheapest candidate between two cuts in a zone. Candidates are folded into
 * edges first, so that the search costs cuts and zones, not endpoints.
 */
class LayerGraph
{
public:
  LayerGraph(const std::vector<Candidate>& aCandidates,
             const std::vector<std::uint32_t>& aCuts,
             const ZoneTable& aZones,
             const PathWork& aWork);

  /** Folds the fit candidates, or the resting ones as well, each at a cost
   * drawn up by up to aSpread of itself. */
  void buildEdges(bool aWithBackingOff,
                  double aSpread,
                  std::mt19937_64& aRandom);

  /** The cheapest path, empty when there is none. No candidate is in it
   * twice. */
  [[nodiscard]] std::vector<PathStage> cheapest() const;

private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  /** The cheapest candidate between two cuts in one zone. */
  struct Edge
  {
    double cost = 0;
    std::uint32_t candidate = kNone;
  };
  /** The cheapest way to a node. */
  struct Node
  {
    double cost = 0;
    bool reached = false;
    std::uint32_t fromCut = 0;
    std::uint32_t fromZone = 0;
  };

  [[nodiscard]] std::size_t edgeAt(std::uint32_t aFrom,
                                   std::uint32_t aTo,
                                   std::uint32_t aZone) const;
  void offer(std::uint32_t aIndex, double aFactor);
  std::vector<Node> search(std::uint32_t aFirstZone) const;
  [[nodiscard]] double total(const std::vector<Node>& aNodes,
                             std::uint32_t aLastZone,
                             std::uint32_t aFirstZone) const;
  [[nodiscard]] std::vector<PathStage> trace(const std::vector<Node>& aNodes,
                                             std::uint32_t aLastZone) const;

  const std::vector<Candidate>& candidates;
  const std::vector<std::uint32_t>& cuts;
  const ZoneTable& zones;
  PathWork work;
  std::uint32_t zoneCount;
  std::vector<Edge> edges;
};

} // namespace poplartrack
