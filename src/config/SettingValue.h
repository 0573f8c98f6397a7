#pragma once

#include <string>
#include <string_view>

#include "poplartrack/config/SettingRow.h"
#include "poplartrack/config/SettingsNode.h"

namespace poplartrack {

/** Returns whether the value has the type that the row requires. */
bool
hasType(const SettingRow& aRow, const SettingsNode& aNode);

/**
 * Returns whether a value is in range and well formed. hasType must hold for
 * it.
 */
bool
isValidValue(const SettingRow& aRow, const SettingsNode& aNode);

/** Formats a value for an error message; long strings are cut. */
std::string
valueText(const SettingsNode& aNode);

/** Returns whether a text is 1 to 64 letters, digits, '-', '_' and '.'. */
bool
isName(std::string_view aText);

} // namespace poplartrack
