#pragma once

#include <string>
#include <vector>

#include "poplartrack/config/Configuration.h"
#include "poplartrack/config/SettingsNode.h"
#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

/** Returns the configuration of a tree in which checkSettings() found no
 * problem. */
Configuration
configurationFrom(const SettingsNode& aRoot);

/**
 * Adds the problems that involve more than one key: a model whose version is
 * not declared, a default deadline above the maximum, and floor shares that add
 * up to more than 1. Also adds a service with a reserved name.
 */
void
checkConsistency(const SettingsNode& aRoot,
                 const std::vector<std::string>& aFiles,
                 std::vector<SettingsProblem>& aProblems);

} // namespace poplartrack
