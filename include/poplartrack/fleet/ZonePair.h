#pragma once

#include <algorithm>
#include <string>
#include <utility>

namespace poplartrack {

/** Two availability zones, the smaller name first: a link has no direction. */
using ZonePair = std::pair<std::string, std::string>;

inline ZonePair
zonePair(const std::string& aOne, const std::string& aOther)
{
  return std::minmax(aOne, aOther);
}

} // namespace poplartrack
