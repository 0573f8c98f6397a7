#pragma once

#include <nlohmann/json.hpp>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"

namespace poplartrack {

/**
 * Checks and reads the "settings" object of a canonical text, or an object with
 * some of its entries. BadSettings names the first problem.
 */
Result<Configuration>
configurationFromSettings(const nlohmann::json& aSettings);

} // namespace poplartrack
