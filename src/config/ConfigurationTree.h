#pragma once

#include <string>
#include <vector>

#include "poplartrack/config/Configuration.h"
#include "poplartrack/config/SettingsNode.h"
#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

/** The configuration of a tree in which checkSettings found nothing. */
Configuration
configurationFrom(const SettingsNode& aRoot);

/**
 * What no single key shows: a version in force that is not declared, a
 * default deadline above the longest one, floor shares that add up to more
 * than everything, a service that takes a reserved name.
 */
void
checkConsistency(const SettingsNode& aRoot,
                 const std::vector<std::string>& aFiles,
                 std::vector<SettingsProblem>& aProblems);

} // namespace poplartrack
