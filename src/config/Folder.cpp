#include "poplartrack/config/Folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include "ConfigurationTree.h"
#include "poplartrack/config/SettingRow.h"
#include "poplartrack/config/SettingsCheck.h"
#include "poplartrack/config/TomlDocument.h"

namespace poplartrack {
namespace {

namespace fs = std::filesystem;

bool
isSettingsFile(const fs::directory_entry& aEntry)
{
  std::error_code error;
  return aEntry.path().extension() == ".toml" &&
         !aEntry.path().filename().string().starts_with(".") &&
         aEntry.is_regular_file(error);
}

void
sortByName(std::vector<SettingsFile>& aFiles)
{
  std::sort(aFiles.begin(),
            aFiles.end(),
            [](const SettingsFile& aLeft, const SettingsFile& aRight) {
              return aLeft.name < aRight.name;
            });
}

} // namespace

Result<std::vector<SettingsFile>>
readFolder(const std::string& aPath)
{
  std::error_code error;
  fs::directory_iterator entry{ aPath, error };
  std::vector<SettingsFile> files;
  while (!error && entry != fs::directory_iterator{}) {
    if (isSettingsFile(*entry)) {
      std::ifstream stream{ entry->path(), std::ios::binary };
      std::ostringstream text;
      text << stream.rdbuf();
      if (!stream) {
        return fail(ErrorKind::BadSettings,
                    "cannot read " + entry->path().string());
      }
      files.push_back(
        SettingsFile{ entry->path().filename().string(), text.str() });
    }
    entry.increment(error);
  }
  if (error) {
    return fail(ErrorKind::BadSettings,
                "cannot read folder " + aPath + ": " + error.message());
  }
  if (files.empty()) {
    return fail(ErrorKind::BadSettings, "no *.toml file in " + aPath);
  }
  if (files.size() > kMaxSettingsFiles) {
    return fail(ErrorKind::BadSettings, "more than 1000 files in " + aPath);
  }
  sortByName(files);
  return files;
}

Checked<Configuration>
mergeFolder(std::vector<SettingsFile> aFiles)
{
  Checked<Configuration> result;
  sortByName(aFiles);
  std::vector<std::string> names;
  names.reserve(aFiles.size());
  for (const SettingsFile& file : aFiles) {
    names.push_back(file.name);
  }
  SettingsNode merged;
  merged.value = SettingsTable{};
  bool incomplete = false;
  for (std::size_t i = 0; i < aFiles.size(); ++i) {
    TomlDocument document =
      parseToml(aFiles[i].name, static_cast<std::uint32_t>(i), aFiles[i].text);
    result.problems.insert(result.problems.end(),
                           document.problems.begin(),
                           document.problems.end());
    incomplete = incomplete || document.incomplete;
    // Also check each file by itself. Otherwise a later file could override a
    // mistake and hide it until that later file is removed.
    checkSettings(document.root,
                  folderSettings(),
                  names,
                  TreeExtent::Part,
                  result.problems);
    mergeOver(merged, std::move(document.root));
  }
  if (!incomplete && !names.empty()) {
    checkSettings(
      merged, folderSettings(), names, TreeExtent::Whole, result.problems);
    checkConsistency(merged, names, result.problems);
  }
  std::sort(result.problems.begin(), result.problems.end());
  result.problems.erase(
    std::unique(result.problems.begin(), result.problems.end()),
    result.problems.end());
  if (result.ok()) {
    result.value = configurationFrom(merged);
  }
  return result;
}

} // namespace poplartrack
