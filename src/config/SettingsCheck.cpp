#include "poplartrack/config/SettingsCheck.h"

#include <map>

#include "SettingValue.h"
#include "poplartrack/config/NearestName.h"

namespace poplartrack {
namespace {

/** Part of a row's path that matches any valid name. */
constexpr std::string_view kAnyName = "*";

/** The rows as a tree, one level for each part of the dotted path. */
struct SchemaNode
{
  std::map<std::string, SchemaNode, std::less<>> children;
  /** The setting at this node; nullptr for a table. */
  const SettingRow* row = nullptr;
};

SchemaNode
buildSchema(std::span<const SettingRow> aRows)
{
  SchemaNode root;
  for (const SettingRow& row : aRows) {
    SchemaNode* node = &root;
    std::string_view remaining = row.path;
    while (!remaining.empty()) {
      const auto dot = remaining.find('.');
      node = &node->children[std::string{ remaining.substr(0, dot) }];
      remaining.remove_prefix(dot == std::string_view::npos ? remaining.size()
                                                            : dot + 1);
    }
    node->row = &row;
  }
  return root;
}

/** Walks a settings tree along the schema and collects the problems. */
class SettingsChecker
{
public:
  SettingsChecker(const std::vector<std::string>& aFiles,
                  TreeExtent aExtent,
                  std::vector<SettingsProblem>& aProblems)
    : files(aFiles)
    , extent(aExtent)
    , problems(aProblems)
  {
  }

  /** Checks a table and everything below it. */
  void checkTable(const SettingsNode& aNode,
                  const SchemaNode& aSchema,
                  const std::string& aPath)
  {
    const SettingsTable* entries = aNode.table();
    if (entries == nullptr) {
      this->addProblem(aNode,
                       aPath,
                       "a table is wanted, not the " +
                         std::string{ typeNameOf(aNode) });
      return;
    }
    for (const auto& [key, child] : *entries) {
      this->checkEntry(key, child, aSchema, aPath);
    }
    if (this->extent == TreeExtent::Whole) {
      this->reportMissingKeys(aNode, aSchema, aPath);
    }
  }

private:
  /** Checks one key of a table: that it is known, then its value. */
  void checkEntry(const std::string& aKey,
                  const SettingsNode& aNode,
                  const SchemaNode& aSchema,
                  const std::string& aPath)
  {
    const std::string path = joinPath(aPath, aKey);
    auto known = aSchema.children.find(aKey);
    if (known == aSchema.children.end()) {
      known = aSchema.children.find(kAnyName);
      if (known != aSchema.children.end() && !isName(aKey)) {
        this->addProblem(aNode,
                         path,
                         "is no name; use letters, digits, '-', '_', '.', at "
                         "most 64");
        return;
      }
    }
    if (known == aSchema.children.end()) {
      this->addProblem(aNode, path, unknownKeyText(aKey, aSchema));
      return;
    }
    if (known->second.row == nullptr) {
      this->checkTable(aNode, known->second, path);
      return;
    }
    this->checkValue(aNode, *known->second.row, path);
  }

  /** Checks type and range of a single setting. */
  void checkValue(const SettingsNode& aNode,
                  const SettingRow& aRow,
                  const std::string& aPath)
  {
    if (!hasType(aRow, aNode)) {
      this->addProblem(aNode,
                       aPath,
                       "wrong type " + std::string{ typeNameOf(aNode) } +
                         "; write " + expectedValueText(aRow));
      return;
    }
    if (!isValidValue(aRow, aNode)) {
      this->addProblem(aNode,
                       aPath,
                       "impossible value " + valueText(aNode) + "; write " +
                         expectedValueText(aRow));
    }
  }

  /** Reports the required keys that a table and the tables below it lack. */
  void reportMissingKeys(const SettingsNode& aNode,
                         const SchemaNode& aSchema,
                         const std::string& aPath)
  {
    for (const auto& [key, child] : aSchema.children) {
      if (key == kAnyName || aNode.find(key) != nullptr) {
        continue;
      }
      const std::string path = joinPath(aPath, key);
      if (child.row == nullptr) {
        this->reportMissingKeys(aNode, child, path);
      } else if (child.row->required()) {
        this->addProblem(
          aNode, path, "is missing; write " + expectedValueText(*child.row));
      }
    }
  }

  /** Suggests the nearest known key, or lists all of them. */
  static std::string unknownKeyText(const std::string& aKey,
                                    const SchemaNode& aSchema)
  {
    std::vector<std::string> known;
    std::string list;
    for (const auto& [name, child] : aSchema.children) {
      known.push_back(name);
      list += (list.empty() ? "" : ", ") + name;
    }
    const std::string nearest = nearestName(aKey, known);
    return nearest.empty() ? "unknown key; known here: " + list
                           : "unknown key; did you mean \"" + nearest + "\"?";
  }

  static std::string joinPath(const std::string& aPath, const std::string& aKey)
  {
    return aPath.empty() ? aKey : aPath + "." + aKey;
  }

  void addProblem(const SettingsNode& aNode,
                  const std::string& aPath,
                  std::string aMessage)
  {
    this->problems.push_back(SettingsProblem{
      this->files[aNode.file], aNode.line, aPath, std::move(aMessage) });
  }

  const std::vector<std::string>& files;
  TreeExtent extent;
  std::vector<SettingsProblem>& problems;
};

} // namespace

void
checkSettings(const SettingsNode& aRoot,
              std::span<const SettingRow> aRows,
              const std::vector<std::string>& aFiles,
              TreeExtent aExtent,
              std::vector<SettingsProblem>& aProblems)
{
  SettingsChecker{ aFiles, aExtent, aProblems }.checkTable(
    aRoot, buildSchema(aRows), {});
}

} // namespace poplartrack
