#pragma once

#include <string>

namespace poplartrack {

/** Returns the name of a region's placement lease. */
inline std::string
placementLeaseName(const std::string& aRegion)
{
  return "placement-" + aRegion;
}

} // namespace poplartrack
