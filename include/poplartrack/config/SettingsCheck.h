#pragma once

#include <span>
#include <string>
#include <vector>

#include "poplartrack/config/SettingRow.h"
#include "poplartrack/config/SettingsNode.h"
#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

/** How much of the settings a tree holds. */
enum class TreeExtent : std::uint8_t
{
  /** A part, such as one of several files: required keys may be missing. */
  Part,
  /** All settings, merged: required keys must be present. */
  Whole,
};

/**
 * Checks a tree against the rows of known settings: unknown keys, wrong
 * types, values out of range and, for a whole tree, missing keys. Adds every
 * mistake to aProblems.
 *
 * @param aFiles file names, indexed by SettingsNode::file
 */
void
checkSettings(const SettingsNode& aRoot,
              std::span<const SettingRow> aRows,
              const std::vector<std::string>& aFiles,
              TreeExtent aExtent,
              std::vector<SettingsProblem>& aProblems);

} // namespace poplartrack
