#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplartrack {

struct SettingsNode;
using SettingsTable = std::map<std::string, SettingsNode, std::less<>>;
using SettingsArray = std::vector<SettingsNode>;

/**
 * One value of a settings file with its position. Validation works on a tree
 * of these nodes, so that it does not depend on the TOML library.
 * std::monostate stands for a TOML type that no setting has (dates and times).
 */
struct SettingsNode
{
  std::variant<std::monostate,
               bool,
               std::int64_t,
               double,
               std::string,
               SettingsArray,
               SettingsTable>
    value;
  /** Index into the list of file names that belongs to the tree. */
  std::uint32_t file = 0;
  std::uint32_t line = 0;

  /** Returns the table, or nullptr if the value is not a table. */
  [[nodiscard]] const SettingsTable* table() const
  {
    return std::get_if<SettingsTable>(&this->value);
  }
  /** Returns the entry of a key; nullptr if there is none or no table. */
  [[nodiscard]] const SettingsNode* find(std::string_view aKey) const;
};

/** Returns the TOML name of the value's type: "integer", "table", ... */
std::string_view
typeNameOf(const SettingsNode& aNode);

/**
 * Merges a later file into an earlier one. Tables merge key by key, any other
 * value of aOverride replaces the value in aBase.
 */
void
mergeOver(SettingsNode& aBase, SettingsNode aOverride);

} // namespace poplartrack
