#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** The layers of a model that one endpoint holds, and how fast it runs them. */
struct CoverPart
{
  LayerRange holds;
  /** Tokens per second through each of the layers: the endpoint's speed divided
   * by the number of layers held. */
  double rate = 0;
  /** Index of the endpoint's availability zone. */
  std::size_t zone = 0;
};

/** The best layer range for one more endpoint. */
struct BestWindow
{
  LayerRange holds;
  /** Copies that it would add to layers that have fewer than minCopies. */
  std::uint32_t missingFilled = 0;
  /** Load cost that it would remove, with kNewZoneWeight applied. */
  double gain = 0;
};

/**
 * The number of copies and the token rate of each layer of one model.
 *
 * The load of a layer is demand / rate; its load cost is
 * demand * (demand / rate)^2. The cost is convex, so one more endpoint lowers
 * it most where the load is highest, and the sum over all models and layers can
 * be lowered one endpoint at a time. The load of the busiest layer cannot,
 * since one endpoint rarely covers all of a model's busiest layers. With the
 * factor "demand" the sum is least where the load is the same everywhere;
 * without it a model with high demand would get too few endpoints.
 */
class ModelCoverage
{
public:
  ModelCoverage(std::uint32_t aLayers,
                std::uint32_t aMinCopies,
                double aDemand,
                std::size_t aZones);

  [[nodiscard]] std::uint32_t layers() const
  {
    return static_cast<std::uint32_t>(this->layerStates.size());
  }
  [[nodiscard]] std::uint32_t copies(std::uint32_t aLayer) const
  {
    return this->layerStates[aLayer].copies;
  }
  /** Returns the number of copies that are missing to minCopies, summed over
   * all layers. */
  [[nodiscard]] std::uint32_t missingCopies() const
  {
    return this->missingTotal;
  }

  /** Adds the layers of one endpoint. */
  void add(const CoverPart& aPart);
  /** Removes layers that were added before. */
  void remove(const CoverPart& aPart);
  /** Returns the best range of aSize layers for an endpoint of this rate and
   * zone: the one that adds most missing copies, then the one that saves most
   * load cost. */
  [[nodiscard]] BestWindow bestWindow(std::uint32_t aSize,
                                      double aRate,
                                      std::size_t aZone) const;
  /** Returns the load cost that removing the part would add. */
  [[nodiscard]] double removalCost(const CoverPart& aPart) const;
  /** Returns whether each layer of the part has minCopies without it. */
  [[nodiscard]] bool hasSpareCopies(const CoverPart& aPart) const;

private:
  struct LayerState
  {
    std::uint32_t copies = 0;
    /** Tokens per second of all copies together. */
    double rate = 0;
  };

  /** Returns how many copies are missing to minCopies. */
  [[nodiscard]] std::uint32_t shortfall(std::uint32_t aCopies) const
  {
    return aCopies < this->minCopies ? this->minCopies - aCopies : 0;
  }
  /** Returns the load cost of a layer that has this token rate. */
  [[nodiscard]] double cost(double aRate) const;
  /** Returns the number of copies of a layer in one zone. */
  [[nodiscard]] std::uint16_t& zoneCopies(std::size_t aZone,
                                          std::uint32_t aLayer)
  {
    return this->copiesPerZone[aZone * this->layerStates.size() + aLayer];
  }
  [[nodiscard]] std::uint16_t zoneCopies(std::size_t aZone,
                                         std::uint32_t aLayer) const
  {
    return this->copiesPerZone[aZone * this->layerStates.size() + aLayer];
  }

  std::uint32_t minCopies;
  /** Tokens per second, in the unit of the rates. */
  double demand;
  /** Sum of the shortfalls of all layers. */
  std::uint32_t missingTotal;
  std::vector<LayerState> layerStates;
  /** Copies of each layer in each zone; the layers of a zone are adjacent. */
  std::vector<std::uint16_t> copiesPerZone;
};

} // namespace poplartrack
