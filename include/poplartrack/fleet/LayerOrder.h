#pragma once

#include <string>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** Tells one replica to hold these layers in place of its current ones. */
struct LayerOrder
{
  std::string replica;
  LayerRange layers;
  /** Why the planner moves the layers; written to the log. */
  const char* reason = "";

  friend bool operator==(const LayerOrder& aLeft, const LayerOrder& aRight)
  {
    return aLeft.replica == aRight.replica && aLeft.layers == aRight.layers;
  }
};

} // namespace poplartrack
