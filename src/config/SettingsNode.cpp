#include "poplartrack/config/SettingsNode.h"

#include <array>

namespace poplartrack {

const SettingsNode*
SettingsNode::find(std::string_view aKey) const
{
  const SettingsTable* entries = this->table();
  if (entries == nullptr) {
    return nullptr;
  }
  const auto entry = entries->find(aKey);
  return entry == entries->end() ? nullptr : &entry->second;
}

std::string_view
typeNameOf(const SettingsNode& aNode)
{
  constexpr std::array<std::string_view, 7> kNames{
    "date or time", "boolean", "integer", "float", "string", "array", "table",
  };
  return kNames[aNode.value.index()];
}

void
mergeOver(SettingsNode& aBase, SettingsNode aOverride)
{
  auto* base = std::get_if<SettingsTable>(&aBase.value);
  auto* overrides = std::get_if<SettingsTable>(&aOverride.value);
  if (base == nullptr || overrides == nullptr) {
    aBase = std::move(aOverride);
    return;
  }
  for (auto& [key, node] : *overrides) {
    const auto existing = base->find(key);
    if (existing == base->end()) {
      base->emplace(key, std::move(node));
    } else {
      mergeOver(existing->second, std::move(node));
    }
  }
}

} // namespace poplartrack
