#include "poplartrack/config/FolderChange.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace poplartrack {
namespace {

/** The texts of the files of a folder, by file name. */
using FilesByName = std::map<std::string, std::string>;

FilesByName
textByName(const std::vector<SettingsFile>& aFiles)
{
  FilesByName files;
  for (const SettingsFile& file : aFiles) {
    files[file.name] = file.text;
  }
  return files;
}

/** Returns the text of a file; nullptr if the folder does not have it. */
const std::string*
findText(const FilesByName& aFiles, const std::string& aName)
{
  const auto file = aFiles.find(aName);
  return file == aFiles.end() ? nullptr : &file->second;
}

/** Compares two texts; a missing file (nullptr) equals only a missing one. */
bool
sameText(const std::string* aLeft, const std::string* aRight)
{
  if (aLeft == nullptr || aRight == nullptr) {
    return aLeft == aRight;
  }
  return *aLeft == *aRight;
}

/** Returns the names of the files of all these folders. */
std::set<std::string>
allNames(const std::vector<FilesByName>& aFolders)
{
  std::set<std::string> names;
  for (const FilesByName& folder : aFolders) {
    for (const auto& [name, text] : folder) {
      names.insert(name);
    }
  }
  return names;
}

std::vector<std::string>
splitLines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find('\n', start), aText.size());
    lines.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return lines;
}

/** Describes the last change of a file, for the message of a conflict. */
std::string
describeLastChange(const std::vector<StoredFile>& aFiles,
                   const std::string& aName)
{
  for (const StoredFile& stored : aFiles) {
    if (stored.file.name == aName) {
      return "changed by " + stored.changedBy + " in revision " +
             std::to_string(stored.changedIn);
    }
  }
  return "removed meanwhile";
}

} // namespace

std::string_view
nameOf(FileChange aChange)
{
  constexpr std::array<std::string_view, 3> kNames{ "added",
                                                    "changed",
                                                    "removed" };
  return kNames[static_cast<std::size_t>(aChange)];
}

std::vector<FileDifference>
differences(const std::vector<SettingsFile>& aOld,
            const std::vector<SettingsFile>& aNew)
{
  const FilesByName before = textByName(aOld);
  const FilesByName after = textByName(aNew);
  std::vector<FileDifference> found;
  for (const std::string& name : allNames({ before, after })) {
    const std::string* oldText = findText(before, name);
    const std::string* newText = findText(after, name);
    if (sameText(oldText, newText)) {
      continue;
    }
    found.push_back(FileDifference{ name,
                                    oldText == nullptr ? FileChange::Added
                                    : newText == nullptr
                                      ? FileChange::Removed
                                      : FileChange::Changed });
  }
  return found;
}

std::string
lineDifferences(const std::string& aOld, const std::string& aNew)
{
  const std::vector<std::string> before = splitLines(aOld);
  const std::vector<std::string> after = splitLines(aNew);
  // Omits the lines that are equal at both ends. Files are small and edits are
  // local, so the part between is short enough to read.
  std::size_t commonHead = 0;
  while (commonHead < before.size() && commonHead < after.size() &&
         before[commonHead] == after[commonHead]) {
    ++commonHead;
  }
  std::size_t commonTail = 0;
  while (commonTail < before.size() - commonHead &&
         commonTail < after.size() - commonHead &&
         before[before.size() - 1 - commonTail] ==
           after[after.size() - 1 - commonTail]) {
    ++commonTail;
  }
  std::string diff;
  for (std::size_t i = commonHead; i < before.size() - commonTail; ++i) {
    diff += "-" + std::to_string(i + 1) + ": " + before[i] + "\n";
  }
  for (std::size_t i = commonHead; i < after.size() - commonTail; ++i) {
    diff += "+" + std::to_string(i + 1) + ": " + after[i] + "\n";
  }
  return diff;
}

std::vector<SettingsFile>
plainFiles(const std::vector<StoredFile>& aFiles)
{
  std::vector<SettingsFile> files;
  files.reserve(aFiles.size());
  for (const StoredFile& stored : aFiles) {
    files.push_back(stored.file);
  }
  return files;
}

std::vector<StoredFile>
stampFiles(const std::vector<SettingsFile>& aFiles,
           const std::vector<StoredFile>& aBefore,
           const std::string& aAuthor,
           std::uint64_t aRevision)
{
  std::vector<StoredFile> recorded;
  for (const SettingsFile& file : aFiles) {
    const auto kept = std::find_if(
      aBefore.begin(), aBefore.end(), [&](const StoredFile& aStored) {
        return aStored.file == file;
      });
    recorded.push_back(
      kept != aBefore.end() ? *kept : StoredFile{ file, aAuthor, aRevision });
  }
  return recorded;
}

Result<std::vector<SettingsFile>>
rebaseFiles(const std::vector<SettingsFile>& aBase,
            const std::vector<StoredFile>& aTheirs,
            const std::vector<SettingsFile>& aMine)
{
  const FilesByName base = textByName(aBase);
  const FilesByName theirs = textByName(plainFiles(aTheirs));
  const FilesByName mine = textByName(aMine);
  std::vector<SettingsFile> files;
  std::string conflicts;
  for (const std::string& name : allNames({ base, theirs, mine })) {
    const std::string* baseText = findText(base, name);
    const std::string* theirText = findText(theirs, name);
    const std::string* myText = findText(mine, name);
    if (!sameText(baseText, theirText) && !sameText(baseText, myText) &&
        !sameText(theirText, myText)) {
      conflicts += (conflicts.empty() ? "" : "; ") + name + " (" +
                   describeLastChange(aTheirs, name) + ")";
      continue;
    }
    const std::string* chosen = sameText(baseText, myText) ? theirText : myText;
    if (chosen != nullptr) {
      files.push_back(SettingsFile{ name, *chosen });
    }
  }
  if (!conflicts.empty()) {
    return fail(ErrorKind::Conflict, "both changed " + conflicts);
  }
  return files;
}

} // namespace poplartrack
