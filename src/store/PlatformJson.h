#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** Conversions of the JSON bodies that docs/PLATFORM.md defines. The functions
 * that parse return nothing if the text is not valid. */

/** Returns the body of a transaction request. */
std::string
transactionToJson(const std::vector<TableWrite>& aWrites);

/** Parses the reply to a transaction: the new version of each row. */
std::optional<std::vector<std::uint64_t>>
versionsFromJson(const std::string& aText);

/** Parses the reply to a read of the row with this key. */
std::optional<TableRow>
rowFromJson(const std::string& aText, const std::string& aKey);

/** Parses the reply to a scan of a table. */
std::optional<std::vector<TableRow>>
rowsFromJson(const std::string& aText);

/** Parses the instance list. Instances with missing or odd fields are left out:
 * the others are still needed. */
std::optional<std::vector<InstanceInfo>>
instancesFromJson(const std::string& aText);

} // namespace poplartrack
