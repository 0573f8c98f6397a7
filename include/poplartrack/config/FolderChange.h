#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/RevisionRecord.h"

namespace poplartrack {

/** How a file differs between an old and a new folder. */
enum class FileChange : std::uint8_t
{
  Added,
  Changed,
  Removed,
};

/** Returns "added", "changed" or "removed". */
std::string_view
nameOf(FileChange aChange);

/** One file that differs between two folders. */
struct FileDifference
{
  std::string name;
  FileChange change = FileChange::Changed;
};

/** Returns the files that differ, sorted by name. */
std::vector<FileDifference>
differences(const std::vector<SettingsFile>& aOld,
            const std::vector<SettingsFile>& aNew);

/**
 * Returns the differing lines of two texts, each with its line number:
 * "-N: LINE" for the old text, then "+N: LINE" for the new one. Lines equal at
 * the start and at the end of both texts are omitted.
 */
std::string
lineDifferences(const std::string& aOld, const std::string& aNew);

/** Returns the files without the records of who changed them. */
std::vector<SettingsFile>
plainFiles(const std::vector<StoredFile>& aFiles);

/**
 * Returns the files of a new revision, each with its last author and revision.
 * A file that equals one of the previous revision keeps that file's record;
 * the others get aAuthor and aRevision.
 */
std::vector<StoredFile>
stampFiles(const std::vector<SettingsFile>& aFiles,
           const std::vector<StoredFile>& aBefore,
           const std::string& aAuthor,
           std::uint64_t aRevision);

/**
 * Merges two sets of edits of the same base, file by file. Returns Conflict
 * with the names of the files that both sides changed differently. Edits
 * within one file are never merged.
 *
 * @param aBase the files that both sides started from
 * @param aTheirs the files as others have changed them
 * @param aMine the caller's edited files
 */
Result<std::vector<SettingsFile>>
rebaseFiles(const std::vector<SettingsFile>& aBase,
            const std::vector<StoredFile>& aTheirs,
            const std::vector<SettingsFile>& aMine);

} // namespace poplartrack
