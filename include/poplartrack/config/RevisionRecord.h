#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/Folder.h"

namespace poplartrack {

/** The head row: which revision was accepted last. */
struct ConfigHead
{
  std::uint64_t revision = 0;
  /** The change id of the push that made it. */
  std::string changeId;
};

/** A row of the history: one accepted push. */
struct RevisionRecord
{
  std::uint64_t revision = 0;
  std::string changeId;
  std::string author;
  /** Unix time of the push by the operator's clock; for people only. */
  std::int64_t atSeconds = 0;
  std::string note;
  /** Names of the files that it added, changed or removed. */
  std::vector<std::string> files;
  /** Text of the update from the revision before; empty when too large. */
  std::string update;
};

/** A file of a revision and who changed it last. */
struct StoredFile
{
  SettingsFile file;
  std::string changedBy;
  std::uint64_t changedIn = 0;

  friend bool operator==(const StoredFile&, const StoredFile&) = default;
};

std::string
toText(const ConfigHead& aHead);
std::string
toText(const RevisionRecord& aRecord);
std::string
toText(const std::vector<StoredFile>& aFiles);

/** The head of a row's value; BadSettings when it is none. */
Result<ConfigHead>
configHeadFromText(std::string_view aText);
/** The record of a row's value; BadSettings when it is none. */
Result<RevisionRecord>
revisionRecordFromText(std::string_view aText);
/** The files of an object; BadSettings when it holds none. */
Result<std::vector<StoredFile>>
storedFilesFromText(std::string_view aText);

/** The key of a revision's row; keys sort as revisions do. */
std::string
revisionKey(std::uint64_t aRevision);

/** Name of the object with a revision's canonical text. */
std::string
textObjectName(std::uint64_t aRevision, const std::string& aChange);

/** Name of the object with a revision's source files. */
std::string
filesObjectName(std::uint64_t aRevision, const std::string& aChange);

} // namespace poplartrack
