#pragma once

#include <string>
#include <string_view>

namespace poplartrack {

/** Returns the SHA-256 of a text as 64 lower-case hex digits. */
std::string
sha256Hex(std::string_view aText);

/**
 * Returns true when the secret has this hash. The comparison takes the same
 * time wherever the hashes differ. Otherwise a caller could learn a hash digit
 * by digit from response times.
 */
bool
secretMatches(std::string_view aSecret, std::string_view aSha256Hex);

} // namespace poplartrack
