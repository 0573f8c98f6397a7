#pragma once

#include <string_view>
#include <vector>

namespace poplartrack {

/**
 * Returns the ids of the parts of a prompt that other requests may share, from
 * a list of "ID:TOKENS" entries separated by commas. The last entry is left
 * out: it belongs to the request alone. Each id is returned once, and of a
 * longer list only the first 32. The views are valid as long as aList is.
 */
std::vector<std::string_view>
sharedPromptParts(std::string_view aList);

} // namespace poplartrack
