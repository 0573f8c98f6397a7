#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/route/EndpointEstimate.h"
#include "poplartrack/route/ZoneTable.h"

namespace poplartrack {

/** One stage of a path: a candidate and the layers that it runs. */
struct PathStage
{
  /** Index of the candidate. */
  std::uint32_t candidate = 0;
  LayerRange runs;
};

/** The amount of work of one request, as factors on the costs. */
struct PathWork
{
  /** Decode steps that each stage runs. */
  double steps = 1;
  /** Duration of the prefill, in decode steps. */
  double prefillSteps = 0;
  /** Work of the prefill, in decode steps of a full batch: the capacity that it
   * takes from other requests. */
  double prefillWork = 0;
};

/** Returns the layers at which routes of one model may change from one stage to
 * the next, in ascending order and with 0 and aLayers. At most aMaxCuts lie
 * between these two, unless the cover with the fewest stages needs more. */
std::vector<std::uint32_t>
cutPoints(const std::vector<Candidate>& aCandidates,
          std::uint32_t aLayers,
          std::uint32_t aMaxCuts);

/** Returns the layer ranges that no candidate holds. */
std::vector<LayerRange>
uncoveredLayers(const std::vector<Candidate>& aCandidates,
                std::uint32_t aLayers);

/**
 * The graph in which paths are searched. A node is a cut point and an
 * availability zone; an edge is the cheapest candidate of a zone that holds the
 * layers between two cut points. The cost of the search therefore depends on
 * the number of cut points and zones, not on the number of endpoints.
 */
class LayerGraph
{
public:
  LayerGraph(const std::vector<Candidate>& aCandidates,
             const std::vector<std::uint32_t>& aCuts,
             const ZoneTable& aZones,
             const PathWork& aWork);

  /** Builds the edges from the fit candidates and, if aWithBackingOff, also
   * from those in backoff. The cost of each candidate is multiplied by a random
   * factor in [1, 1 + aSpread). */
  void buildEdges(bool aWithBackingOff,
                  double aSpread,
                  std::mt19937_64& aRandom);

  /** Returns the cheapest path, or an empty one if there is none. No candidate
   * occurs in it twice. */
  [[nodiscard]] std::vector<PathStage> cheapest() const;

private:
  /** No candidate; as a first zone: any zone. */
  static constexpr std::uint32_t kNone = UINT32_MAX;

  /** The cheapest candidate between two cut points in one zone. */
  struct Edge
  {
    double cost = 0;
    std::uint32_t candidate = kNone;
  };
  /** The cheapest path to a node and its predecessor there. */
  struct Node
  {
    double cost = 0;
    bool reached = false;
    std::uint32_t fromCut = 0;
    std::uint32_t fromZone = 0;
  };

  /** Returns the index in edges; aFrom and aTo are indexes in cuts. */
  [[nodiscard]] std::size_t edgeIndex(std::uint32_t aFrom,
                                      std::uint32_t aTo,
                                      std::uint32_t aZone) const;
  /** Adds a candidate to all edges whose layers it holds, with its cost
   * multiplied by aFactor. */
  void addEdges(std::uint32_t aIndex, double aFactor);
  /** Returns the cheapest path to each node. With aFirstZone only paths whose
   * first stage is in that zone; kNone: any. */
  std::vector<Node> search(std::uint32_t aFirstZone) const;
  /** Returns the cost of the cheapest path that ends in aLastZone, with the
   * hops from the last stage back to the first one; infinity if there is none.
   * With kNone the first stage counts as being in zone 0, the entry's zone. */
  [[nodiscard]] double pathCost(const std::vector<Node>& aNodes,
                                std::uint32_t aLastZone,
                                std::uint32_t aFirstZone) const;
  /** Returns the stages of the cheapest path that ends in aLastZone. */
  [[nodiscard]] std::vector<PathStage> tracePath(
    const std::vector<Node>& aNodes,
    std::uint32_t aLastZone) const;

  const std::vector<Candidate>& candidates;
  const std::vector<std::uint32_t>& cuts;
  const ZoneTable& zones;
  PathWork work;
  std::uint32_t zoneCount;
  std::vector<Edge> edges;
};

} // namespace poplartrack
