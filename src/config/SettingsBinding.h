#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <fstream>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/config/SettingsCheck.h"
#include "poplartrack/config/SettingsNode.h"
#include "poplartrack/config/SettingsProblem.h"
#include "poplartrack/config/TomlDocument.h"

namespace poplartrack {

/**
 * Copies one setting of a validated tree into a field. A key that is not given
 * leaves the field's default unchanged.
 */
template<std::integral T>
void
bind(const SettingsNode& aTable, std::string_view aKey, T& aField)
{
  const SettingsNode* node = aTable.find(aKey);
  if (node == nullptr) {
    return;
  }
  if constexpr (std::is_same_v<T, bool>) {
    aField = std::get<bool>(node->value);
  } else {
    aField = static_cast<T>(std::get<std::int64_t>(node->value));
  }
}

inline void
bind(const SettingsNode& aTable, std::string_view aKey, double& aField)
{
  const SettingsNode* node = aTable.find(aKey);
  if (node == nullptr) {
    return;
  }
  const auto* real = std::get_if<double>(&node->value);
  aField = real != nullptr
             ? *real
             : static_cast<double>(std::get<std::int64_t>(node->value));
}

inline void
bind(const SettingsNode& aTable, std::string_view aKey, std::string& aField)
{
  if (const SettingsNode* node = aTable.find(aKey)) {
    aField = std::get<std::string>(node->value);
  }
}

/** Copies a setting in milliseconds. */
inline void
bind(const SettingsNode& aTable, std::string_view aKey, Duration& aField)
{
  if (const SettingsNode* node = aTable.find(aKey)) {
    aField = std::chrono::milliseconds{ std::get<std::int64_t>(node->value) };
  }
}

/** Returns a table of a tree; an empty table if the key is not given. */
inline const SettingsNode&
tableOf(const SettingsNode& aRoot, std::string_view aKey)
{
  static const SettingsNode kEmpty{ SettingsTable{}, 0, 0 };
  const SettingsNode* node = aRoot.find(aKey);
  return node == nullptr ? kEmpty : *node;
}

/** Copies an address; validation has checked its format. */
inline void
bind(const SettingsNode& aTable, std::string_view aKey, Address& aField)
{
  std::string text;
  bind(aTable, aKey, text);
  Result<Address> address = addressFromText(text);
  if (address) {
    aField = std::move(address).value();
  }
}

/**
 * Parses the text of a settings file and validates it against its rows. If it
 * is valid, aRead converts the tree to the result's value.
 */
template<typename T, typename Read>
Checked<T>
parseSettings(const std::string& aFile,
              std::string_view aText,
              std::span<const SettingRow> aRows,
              Read&& aRead)
{
  Checked<T> result;
  TomlDocument document = parseToml(aFile, 0, aText);
  result.problems = std::move(document.problems);
  checkSettings(document.root,
                aRows,
                { aFile },
                document.incomplete ? TreeExtent::Part : TreeExtent::Whole,
                result.problems);
  std::sort(result.problems.begin(), result.problems.end());
  if (result.ok()) {
    result.value = aRead(document.root);
  }
  return result;
}

/** Returns the text of a settings file, or a problem if it is unreadable. */
inline Checked<std::string>
readSettingsFile(const std::string& aPath)
{
  Checked<std::string> result;
  std::ifstream stream{ aPath, std::ios::binary };
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    result.problems.push_back(
      SettingsProblem{ aPath, 0, "", "the file cannot be read" });
    return result;
  }
  result.value = text.str();
  return result;
}

/**
 * Calls aVisit(name, node) for each entry of the table at aKey. Does nothing
 * if there is no such table.
 */
template<typename Visit>
void
forEachEntry(const SettingsNode& aTable, std::string_view aKey, Visit&& aVisit)
{
  const SettingsNode* node = aTable.find(aKey);
  if (node == nullptr || node->table() == nullptr) {
    return;
  }
  for (const auto& [name, entry] : *node->table()) {
    aVisit(name, entry);
  }
}

} // namespace poplartrack
