#pragma once

#include <string_view>

namespace poplartrack {

/**
 * Returns the nesting depth of a JSON text, by the brackets outside of strings.
 *
 * nlohmann::json copies and prints values recursively: a text that is nested
 * some ten thousand levels deep overflows the stack and ends the process. What
 * others have written is checked before it is parsed.
 */
int
jsonDepth(std::string_view aText);

} // namespace poplartrack
