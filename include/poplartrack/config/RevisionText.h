#pragma once

#include <string>
#include <string_view>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"

namespace poplartrack {

/**
 * Returns the canonical text of a merged configuration: JSON with the structure
 * of the operators' folder, every key present and sorted. Equal configurations
 * have equal texts, and fromRevisionText() restores the same configuration.
 */
std::string
toRevisionText(const Configuration& aConfiguration);

/**
 * Reads a canonical text and checks it as strictly as the folder. BadSettings
 * names the first problem; a text that fails must not be applied.
 */
Result<Configuration>
fromRevisionText(std::string_view aText);

} // namespace poplartrack
