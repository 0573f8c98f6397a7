#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** The model, version and layers that one endpoint is to hold. */
struct PlannedHold
{
  std::string endpoint;
  std::string model;
  std::string version;
  LayerRange holds;

  friend bool operator==(const PlannedHold&, const PlannedHold&) = default;
};

/** The layers that each endpoint of a region is to hold. */
struct PlacementPlan
{
  /** In the order of the input, without the endpoints that stay empty. */
  std::vector<PlannedHold> holds;
  /** Models that have fewer than minCopies of some layer in this plan: the
   * endpoints' memory does not suffice. */
  std::vector<std::string> shortModels;
  /** Number of endpoints whose model or layers change; a new version of the
   * same model does not count. */
  std::uint32_t moves = 0;
};

} // namespace poplartrack
