#pragma once

#include <string>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** Layers of a replica through which no new path may begin: the replica will be
 * ordered to drop them. */
struct ReleasedLayers
{
  std::string replica;
  LayerRange layers;

  friend bool operator==(const ReleasedLayers&,
                         const ReleasedLayers&) = default;
};

} // namespace poplartrack
