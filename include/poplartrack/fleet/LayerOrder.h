#pragma once

#include <string>

#include "poplartrack/base/LayerRange.h"

namespace poplartrack {

/** One replica is to hold these layers, instead of what it holds now. */
struct LayerOrder
{
  std::string replica;
  LayerRange layers;
  /** Why, for the log. */
  const char* reason = "";

  friend bool operator==(const LayerOrder& aLeft, const LayerOrder& aRight)
  {
    return aLeft.replica == aRight.replica && aLeft.layers == aRight.layers;
  }
};

} // namespace poplartrack
