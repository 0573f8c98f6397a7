#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/Folder.h"

namespace poplartrack {

/** Value of the head row: the revision accepted last. Rows of the changes table
 * have the same form. */
struct ConfigHead
{
  std::uint64_t revision = 0;
  /** Id of the push that made the revision. */
  std::string changeId;
};

/** Value of a history row: one accepted push. */
struct RevisionRecord
{
  std::uint64_t revision = 0;
  std::string changeId;
  std::string author;
  /** Unix time of the push by the operator's clock; for people only. */
  std::int64_t atSeconds = 0;
  std::string note;
  /** Names of the files that the push added, changed or removed. */
  std::vector<std::string> files;
  /** Text of the update from the previous revision. Empty for the first
   * revision, and when the text is longer than kMaxRowUpdateBytes. */
  std::string update;
};

/** A source file of a revision, with its last change. */
struct StoredFile
{
  SettingsFile file;
  /** Author of the last change. */
  std::string changedBy;
  /** The revision of the last change. */
  std::uint64_t changedIn = 0;

  friend bool operator==(const StoredFile&, const StoredFile&) = default;
};

/** Returns the value of a head row or change row. */
std::string
toText(const ConfigHead& aHead);
/** Returns the value of a history row. */
std::string
toText(const RevisionRecord& aRecord);
/** Returns the bytes of an object with source files. */
std::string
toText(const std::vector<StoredFile>& aFiles);

/** Reads the value of a head row or change row; BadSettings when it is
 * malformed. */
Result<ConfigHead>
configHeadFromText(std::string_view aText);
/** Reads the value of a history row; BadSettings when it is malformed. */
Result<RevisionRecord>
revisionRecordFromText(std::string_view aText);
/** Reads an object of source files; BadSettings when it is malformed. */
Result<std::vector<StoredFile>>
storedFilesFromText(std::string_view aText);

/** Returns the key of a revision's history row. Keys sort in the order of the
 * revisions. */
std::string
revisionKey(std::uint64_t aRevision);

/** Returns the name of the object with a revision's canonical text. */
std::string
textObjectName(std::uint64_t aRevision, const std::string& aChangeId);

/** Returns the name of the object with a revision's source files. */
std::string
filesObjectName(std::uint64_t aRevision, const std::string& aChangeId);

} // namespace poplartrack
