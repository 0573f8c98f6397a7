#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "poplartrack/config/SettingsNode.h"
#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

/** Maximum size of a settings file; 7,400 accounts take about 1.5 MB. */
constexpr std::size_t kMaxSettingsFileBytes = std::size_t{ 8 } << 20U;

/** One parsed file and its syntax errors. */
struct TomlDocument
{
  SettingsNode root;
  /**
   * Syntax errors and duplicate keys. The list is cut short where the parser
   * could not continue after an error.
   */
  std::vector<SettingsProblem> problems;
  /**
   * True if parts of the file were not parsed. A key that seems to be
   * missing may be in one of them, so missing keys must not be reported then.
   */
  bool incomplete = false;
};

/**
 * Parses a TOML text. After an error it blanks the line and parses the text
 * again, so that one wrong line does not hide the other mistakes.
 *
 * @param aFile the file name for the problems
 * @param aFileIndex the value of SettingsNode::file in every node
 */
TomlDocument
parseToml(const std::string& aFile,
          std::uint32_t aFileIndex,
          std::string_view aText);

} // namespace poplartrack
