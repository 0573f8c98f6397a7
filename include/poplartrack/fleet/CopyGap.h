#pragma once

#include <string>

#include "poplartrack/fleet/LayerOrder.h"

namespace poplartrack {

/** Layers that no replica of a zone's copy holds or has an open order for. */
struct CopyGap
{
  std::string zone;
  LayerRange layers;

  friend bool operator==(const CopyGap&, const CopyGap&) = default;
};

} // namespace poplartrack
