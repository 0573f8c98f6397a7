#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/RevisionRecord.h"
#include "poplartrack/config/RevisionUpdate.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** Table whose only row names the newest accepted revision. */
inline constexpr const char* kConfigTable = "config";
/** Key of the only row in kConfigTable, the head row. */
inline constexpr const char* kConfigHeadKey = "head";
/** Table with one row per revision, keyed by revisionKey(). */
inline constexpr const char* kConfigHistoryTable = "config_history";
/** Table with one row per change id: the revision that the push made. */
inline constexpr const char* kConfigChangesTable = "config_changes";

/** Most updates that one read of the store returns. */
constexpr std::size_t kMaxUpdatesPerRead = 128;

/** Reads the revisions of the configuration from the store; calls block. */
template<PlatformLike Platform>
class ConfigReader
{
public:
  explicit ConfigReader(Platform& aPlatform)
    : platform(aPlatform)
  {
  }

  /** Returns the head row, or nothing before the first push. */
  Result<std::optional<ConfigHead>> head();

  /** Returns the records of at most aLimit revisions after aAfter, oldest
   * first. */
  Result<std::vector<RevisionRecord>> history(std::uint64_t aAfter,
                                              std::size_t aLimit);

  /** Returns the record of a revision; NotFound when there is none. */
  Result<RevisionRecord> record(std::uint64_t aRevision);

  /** Returns the canonical text of a revision. */
  Result<std::string> text(std::uint64_t aRevision);

  /**
   * Returns the updates after a revision, oldest first, with one read of the
   * store; none when nothing is newer. The text of an update that was too large
   * for its row is empty.
   */
  Result<std::vector<RevisionUpdate>> updatesAfter(std::uint64_t aRevision);

  /** Returns the newest revision as one whole update; none before the first
   * push. */
  Result<std::vector<RevisionUpdate>> newestWholeUpdate();

  /** Returns the source files of a revision; none for revision 0. */
  Result<std::vector<StoredFile>> files(std::uint64_t aRevision);

protected:
  /** The head row with its version for a compare-and-set. */
  struct HeadRow
  {
    ConfigHead head;
    /** Version of the row; 0: the row does not exist. */
    std::uint64_t rowVersion = 0;
  };

  Result<HeadRow> readHeadRow();
  /** Returns the revision that the push with a change id made, or nothing when
   * there is none. */
  Result<std::optional<std::uint64_t>> revisionOfChange(
    const std::string& aChangeId);

  Platform& platform;
};

template<PlatformLike Platform>
auto
ConfigReader<Platform>::readHeadRow() -> Result<HeadRow>
{
  const auto row = this->platform.readRow(kConfigTable, kConfigHeadKey);
  if (!row) {
    return row.error();
  }
  if (!row.value()) {
    return HeadRow{};
  }
  const Result<ConfigHead> head = configHeadFromText(row.value()->value);
  if (!head) {
    return head.error();
  }
  return HeadRow{ head.value(), row.value()->version };
}

template<PlatformLike Platform>
Result<std::optional<ConfigHead>>
ConfigReader<Platform>::head()
{
  const Result<HeadRow> head = this->readHeadRow();
  if (!head) {
    return head.error();
  }
  if (head.value().rowVersion == 0) {
    return std::optional<ConfigHead>{};
  }
  return std::optional<ConfigHead>{ head.value().head };
}

template<PlatformLike Platform>
Result<std::vector<RevisionRecord>>
ConfigReader<Platform>::history(std::uint64_t aAfter, std::size_t aLimit)
{
  const auto rows = this->platform.scanRows(
    kConfigHistoryTable, "", revisionKey(aAfter), aLimit);
  if (!rows) {
    return rows.error();
  }
  std::vector<RevisionRecord> records;
  for (const TableRow& row : rows.value()) {
    Result<RevisionRecord> record = revisionRecordFromText(row.value);
    if (!record) {
      return record.error();
    }
    records.push_back(std::move(record).value());
  }
  return records;
}

template<PlatformLike Platform>
Result<RevisionRecord>
ConfigReader<Platform>::record(std::uint64_t aRevision)
{
  const auto row =
    this->platform.readRow(kConfigHistoryTable, revisionKey(aRevision));
  if (!row) {
    return row.error();
  }
  if (!row.value()) {
    return fail(ErrorKind::NotFound,
                "there is no revision " + std::to_string(aRevision));
  }
  return revisionRecordFromText(row.value()->value);
}

template<PlatformLike Platform>
Result<std::string>
ConfigReader<Platform>::text(std::uint64_t aRevision)
{
  const Result<RevisionRecord> record = this->record(aRevision);
  if (!record) {
    return record.error();
  }
  return this->platform.getObject(
    textObjectName(aRevision, record.value().changeId));
}

template<PlatformLike Platform>
Result<std::vector<RevisionUpdate>>
ConfigReader<Platform>::updatesAfter(std::uint64_t aRevision)
{
  const auto records = this->history(aRevision, kMaxUpdatesPerRead);
  if (!records) {
    return records.error();
  }
  std::vector<RevisionUpdate> updates;
  for (const RevisionRecord& record : records.value()) {
    updates.push_back(
      RevisionUpdate{ record.revision - 1, record.revision, record.update });
  }
  return updates;
}

template<PlatformLike Platform>
Result<std::vector<RevisionUpdate>>
ConfigReader<Platform>::newestWholeUpdate()
{
  const Result<HeadRow> head = this->readHeadRow();
  if (!head) {
    return head.error();
  }
  if (head.value().rowVersion == 0) {
    return std::vector<RevisionUpdate>{};
  }
  const ConfigHead& newest = head.value().head;
  Result<std::string> text =
    this->platform.getObject(textObjectName(newest.revision, newest.changeId));
  if (!text) {
    return text.error();
  }
  return std::vector<RevisionUpdate>{ RevisionUpdate{
    0, newest.revision, std::move(text).value() } };
}

template<PlatformLike Platform>
Result<std::vector<StoredFile>>
ConfigReader<Platform>::files(std::uint64_t aRevision)
{
  if (aRevision == 0) {
    return std::vector<StoredFile>{};
  }
  const Result<RevisionRecord> record = this->record(aRevision);
  if (!record) {
    return record.error();
  }
  const Result<std::string> bytes = this->platform.getObject(
    filesObjectName(aRevision, record.value().changeId));
  if (!bytes) {
    return bytes.error();
  }
  return storedFilesFromText(bytes.value());
}

template<PlatformLike Platform>
Result<std::optional<std::uint64_t>>
ConfigReader<Platform>::revisionOfChange(const std::string& aChangeId)
{
  const auto row = this->platform.readRow(kConfigChangesTable, aChangeId);
  if (!row) {
    return row.error();
  }
  if (!row.value()) {
    return std::optional<std::uint64_t>{};
  }
  const Result<ConfigHead> made = configHeadFromText(row.value()->value);
  if (!made) {
    return made.error();
  }
  return std::optional<std::uint64_t>{ made.value().revision };
}

} // namespace poplartrack
