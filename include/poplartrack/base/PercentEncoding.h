#pragma once

#include <string>
#include <string_view>

namespace poplartrack {

/** The text as one path segment or query value: every byte but letters,
 * digits and "-._~" becomes %XX. */
std::string
percentEncode(std::string_view aText);

} // namespace poplartrack
