#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "cli/ConfigTools.h"
#include "poplartrack/config/FolderChange.h"

namespace poplartrack {
namespace {

namespace fs = std::filesystem;

/** Hidden, so that it is no file of settings. */
constexpr std::string_view kBaseFile = ".poplartrack-base";

/** Writes beside and renames: a full disk leaves the old file whole. */
Result<Done>
writeFile(const fs::path& aPath, const std::string& aText)
{
  fs::path fresh = aPath;
  fresh += ".new";
  std::ofstream stream{ fresh, std::ios::binary };
  stream << aText;
  stream.close();
  std::error_code problem;
  if (stream) {
    fs::rename(fresh, aPath, problem);
  }
  if (!stream || problem) {
    return fail(ErrorKind::BadSettings, "cannot write " + aPath.string());
  }
  return Done{};
}

/** Names come from the store; none may lead out of the folder. */
bool
isPlainName(const std::string& aName)
{
  return aName.ends_with(".toml") && !aName.starts_with(".") &&
         aName.find('/') == std::string::npos;
}

} // namespace

std::uint64_t
readBase(const std::string& aFolder, const std::string& aPlatform)
{
  std::ifstream stream{ fs::path{ aFolder } / kBaseFile };
  std::string platform;
  std::uint64_t revision = 0;
  stream >> platform >> revision;
  return stream && platform == aPlatform ? revision : 0;
}

Result<Done>
writeBase(const std::string& aFolder,
          const std::string& aPlatform,
          std::uint64_t aRevision)
{
  return writeFile(fs::path{ aFolder } / kBaseFile,
                   aPlatform + " " + std::to_string(aRevision) + "\n");
}

Result<Done>
changeFolder(const std::string& aFolder,
             const std::vector<SettingsFile>& aFrom,
             const std::vector<SettingsFile>& aTo)
{
  std::error_code problem;
  fs::create_directories(aFolder, problem);
  for (const FileDifference& found : differences(aFrom, aTo)) {
    if (!isPlainName(found.name)) {
      return fail(ErrorKind::BadSettings, "bad file name " + found.name);
    }
    const fs::path path = fs::path{ aFolder } / found.name;
    if (found.change == FileChange::Removed) {
      fs::remove(path, problem);
      continue;
    }
    const auto file =
      std::find_if(aTo.begin(), aTo.end(), [&](const SettingsFile& aFile) {
        return aFile.name == found.name;
      });
    Result<Done> written = writeFile(path, file->text);
    if (!written) {
      return written;
    }
  }
  return Done{};
}

} // namespace poplartrack
