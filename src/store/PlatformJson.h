#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** Bodies of docs/PLATFORM.md. A reader gives nothing when the text is not
 * what the page says. */

std::string
transactionToJson(const std::vector<TableWrite>& aWrites);

std::optional<std::vector<std::uint64_t>>
versionsFromJson(const std::string& aText);

std::optional<TableRow>
rowFromJson(const std::string& aText, const std::string& aKey);

std::optional<std::vector<TableRow>>
rowsFromJson(const std::string& aText);

std::optional<std::vector<InstanceInfo>>
instancesFromJson(const std::string& aText);

} // namespace poplartrack
