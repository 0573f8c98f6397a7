#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"

namespace poplartrack {

/** Parses a canonical text or an update, without exceptions. Returns a
 * discarded value if it is no JSON or nested too deeply. */
nlohmann::json
parseRevisionJson(std::string_view aText);

/**
 * Checks and reads the "settings" object of a canonical text, or an object with
 * some of its entries. BadSettings names the first problem.
 */
Result<Configuration>
configurationFromSettings(const nlohmann::json& aSettings);

} // namespace poplartrack
