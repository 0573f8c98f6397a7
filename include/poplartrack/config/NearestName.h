#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace poplartrack {

/**
 * Returns the known name closest to a mistyped one, or an empty string if none
 * is close enough: the Levenshtein distance may be at most a third of the
 * mistyped name's length, or 1 for shorter names.
 */
std::string
nearestName(std::string_view aName, const std::vector<std::string>& aKnown);

} // namespace poplartrack
