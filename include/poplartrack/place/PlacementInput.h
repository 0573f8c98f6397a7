#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "poplartrack/config/Configuration.h"
#include "poplartrack/place/PlacementEndpoint.h"

namespace poplartrack {

/** Thresholds of the placement planner. */
struct PlacementPolicy
{
  /** An endpoint is moved to balance the load only if the gain is more than
   * this many times the loss, so that fluctuating demand does not move weights
   * back and forth. */
  double minGainToLoss = 1.5;
  /** An endpoint is moved to balance the load only if the gain per unit of its
   * speed (layers per second) is at least this. At average load one unit of
   * speed gains about 2. */
  double minGainPerSpeed = 0.1;
  /** Maximum number of endpoints that one plan moves to balance the load. Moves
   * that add copies missing to a model's minCopies are not counted. */
  std::uint32_t maxBalanceMoves = 8;
};

/** The input of the planner: the configuration, the endpoints of one region and
 * the demand. */
struct PlacementInput
{
  const Configuration& configuration;
  const std::vector<PlacementEndpoint>& endpoints;
  /** Requested tokens per second of each model. A model without an entry has
   * demand 0 and gets only its minCopies. If all demands are 0, all models
   * count as equally in demand. */
  const std::map<std::string, double>& demand;
};

} // namespace poplartrack
