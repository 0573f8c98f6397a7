#pragma once

#include <string>
#include <vector>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"
#include "poplartrack/config/SettingsProblem.h"

namespace poplartrack {

/** One file of the operators' settings folder. */
struct SettingsFile
{
  /** File name without the directory, for example "20-accounts.toml". */
  std::string name;
  std::string text;

  friend bool operator==(const SettingsFile&, const SettingsFile&) = default;
};

/** Maximum number of settings files in a folder. */
constexpr std::size_t kMaxSettingsFiles = 1000;

/**
 * Reads the *.toml files of a folder, sorted by name. Skips hidden files and
 * subfolders. Returns BadSettings if the folder or a file cannot be read, or
 * if the folder holds no such file or more than kMaxSettingsFiles.
 */
Result<std::vector<SettingsFile>>
readFolder(const std::string& aPath);

/**
 * Merges the files in the order of their names, later files overriding
 * earlier ones, and validates each file and the result. Problems are sorted by
 * file and line. If there is any, the configuration must not be used at all.
 */
Checked<Configuration>
mergeFolder(std::vector<SettingsFile> aFiles);

} // namespace poplartrack
