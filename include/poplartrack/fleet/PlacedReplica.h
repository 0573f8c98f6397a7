#pragma once

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** A replica with the layers that it holds, or will hold once its open order is
 * done. */
struct PlacedReplica
{
  const Replica* replica = nullptr;
  LayerRange layers;
  /** Whether it has an open order or is in backoff. */
  bool pending = false;
  /** How many times as long as declared its work takes. */
  double slowdown = 1;
};

} // namespace poplartrack
