#pragma once

#include <utility>

#include "poplartrack/config/ConfigStore.h"
#include "poplartrack/config/FolderChange.h"
#include "poplartrack/config/RevisionText.h"
#include "poplartrack/config/RevisionUpdate.h"

namespace poplartrack {

/** Most attempts of one platform call while its outcome is unknown. */
inline constexpr int kMaxPlatformAttempts = 4;
/** Most attempts of a push with rebase when other pushes commit before it.
 * Without rebase there are two. */
inline constexpr int kMaxPushAttempts = 5;
/** Most revisions that the detail of a conflict names, oldest first. */
inline constexpr std::size_t kMaxConflictRevisions = 20;

template<PlatformLike Platform>
Error
ConfigStore<Platform>::conflictSince(std::uint64_t aBaseRevision,
                                     std::uint64_t aHeadRevision)
{
  std::string detail = "the folder was edited from revision " +
                       std::to_string(aBaseRevision) + ", revision " +
                       std::to_string(aHeadRevision) + " is in force";
  const auto between = this->history(aBaseRevision, kMaxConflictRevisions);
  if (!between) {
    return fail(ErrorKind::Conflict, std::move(detail));
  }
  for (const RevisionRecord& record : between.value()) {
    detail += "\n  revision " + std::to_string(record.revision) + " by " +
              record.author + ":";
    for (const std::string& file : record.files) {
      detail += " " + file;
    }
  }
  return fail(ErrorKind::Conflict, std::move(detail));
}

template<PlatformLike Platform>
Result<std::vector<SettingsFile>>
ConfigStore<Platform>::filesToPush(const PushRequest& aRequest,
                                   const HeadRow& aHeadRow)
{
  if (aRequest.baseRevision == aHeadRow.head.revision) {
    return aRequest.files;
  }
  if (!aRequest.rebase || aRequest.baseRevision > aHeadRow.head.revision) {
    return this->conflictSince(aRequest.baseRevision, aHeadRow.head.revision);
  }
  const auto base = this->files(aRequest.baseRevision);
  if (!base) {
    return base.error();
  }
  const auto theirs = this->files(aHeadRow.head.revision);
  if (!theirs) {
    return theirs.error();
  }
  return rebaseFiles(plainFiles(base.value()), theirs.value(), aRequest.files);
}

template<PlatformLike Platform>
Result<std::string>
ConfigStore<Platform>::updateTextFrom(std::uint64_t aRevision,
                                      const std::string& aNewText)
{
  if (aRevision == 0) {
    return std::string{};
  }
  const Result<std::string> before = this->text(aRevision);
  if (!before) {
    return before.error();
  }
  const Result<RevisionUpdate> update = updateBetween(before.value(), aNewText);
  if (!update || update.value().text.size() > kMaxRowUpdateBytes) {
    return std::string{};
  }
  return update.value().text;
}

template<PlatformLike Platform>
Result<Done>
ConfigStore<Platform>::putWithRetries(const std::string& aName,
                                      const std::string& aBytes)
{
  Result<Done> answer = Done{};
  for (int i = 0; i < kMaxPlatformAttempts; ++i) {
    answer = this->platform.putObject(aName, aBytes);
    if (!answer && answer.error().kind == ErrorKind::Conflict) {
      return fail(ErrorKind::BadSettings,
                  "the change id was used with other files; take a new one");
    }
    // Putting the same bytes again is idempotent.
    if (answer || answer.error().kind != ErrorKind::PlatformUnknown) {
      return answer;
    }
  }
  return fail(ErrorKind::PlatformUnavailable,
              "the object store does not answer; nothing was changed");
}

template<PlatformLike Platform>
Result<PushOutcome>
ConfigStore<Platform>::commit(const PushRequest& aRequest,
                              const HeadRow& aHeadRow,
                              const RevisionRecord& aRecord,
                              std::vector<SettingsFile> aFiles)
{
  const std::string head =
    toText(ConfigHead{ aRecord.revision, aRequest.changeId });
  const std::vector<TableWrite> writes{
    { kConfigTable, kConfigHeadKey, aHeadRow.rowVersion, head },
    { kConfigHistoryTable, revisionKey(aRecord.revision), 0, toText(aRecord) },
    { kConfigChangesTable, aRequest.changeId, 0, head },
  };
  bool answerLost = false;
  for (int i = 0; i < kMaxPlatformAttempts; ++i) {
    const auto answer = this->platform.transact(writes);
    if (answer) {
      return PushOutcome{ aRecord.revision, false, false, std::move(aFiles) };
    }
    const ErrorKind kind = answer.error().kind;
    if (kind == ErrorKind::PlatformUnavailable && !answerLost) {
      return answer.error();
    }
    if (kind == ErrorKind::Conflict) {
      // The head row changed: either another push committed, or an earlier
      // attempt of this one did and its answer was lost, here or inside a
      // client library. The change row is written together with the head row,
      // so its presence shows which.
      const auto made = this->revisionOfChange(aRequest.changeId);
      if (made && !made.value()) {
        return answer.error();
      }
      if (made) {
        return PushOutcome{
          *made.value(), answerLost, false, std::move(aFiles)
        };
      }
    } else if (kind != ErrorKind::PlatformUnavailable &&
               kind != ErrorKind::PlatformUnknown) {
      return answer.error();
    }
    // Repeat the same transaction. It expects the old version of the head row,
    // so it cannot take effect twice.
    answerLost = true;
  }
  return fail(ErrorKind::PlatformUnknown,
              "the push may have taken effect; repeat it with change id " +
                aRequest.changeId);
}

template<PlatformLike Platform>
Result<PushOutcome>
ConfigStore<Platform>::tryPush(const PushRequest& aRequest)
{
  const Result<HeadRow> head = this->readHeadRow();
  if (!head) {
    return head.error();
  }
  Result<std::vector<SettingsFile>> files =
    this->filesToPush(aRequest, head.value());
  if (!files) {
    return files.error();
  }
  Checked<Configuration> merged = mergeFolder(files.value());
  if (!merged.ok()) {
    return fail(ErrorKind::BadSettings, toText(merged.problems));
  }
  const std::uint64_t current = head.value().head.revision;
  const auto before = this->files(current);
  if (!before) {
    return before.error();
  }
  const auto changed = differences(plainFiles(before.value()), files.value());
  if (current != 0 && changed.empty()) {
    return PushOutcome{ current, false, true, std::move(files).value() };
  }
  merged.value.revision = current + 1;
  const std::string text = toRevisionText(merged.value);
  const Result<std::string> update = this->updateTextFrom(current, text);
  if (!update) {
    return update.error();
  }
  RevisionRecord record{ current + 1,        aRequest.changeId, aRequest.author,
                         aRequest.atSeconds, aRequest.note,     {},
                         update.value() };
  for (const FileDifference& difference : changed) {
    record.files.push_back(difference.name);
  }
  const auto stamped =
    stampFiles(files.value(), before.value(), aRequest.author, record.revision);
  const Result<Done> sources = this->putWithRetries(
    filesObjectName(record.revision, record.changeId), toText(stamped));
  if (!sources) {
    return sources.error();
  }
  const Result<Done> whole = this->putWithRetries(
    textObjectName(record.revision, record.changeId), text);
  if (!whole) {
    return whole.error();
  }
  return this->commit(aRequest, head.value(), record, std::move(files).value());
}

template<PlatformLike Platform>
Result<PushOutcome>
ConfigStore<Platform>::push(const PushRequest& aRequest)
{
  const auto earlier = this->revisionOfChange(aRequest.changeId);
  if (!earlier) {
    return earlier.error();
  }
  if (earlier.value()) {
    return PushOutcome{ *earlier.value(), true, false, aRequest.files };
  }
  Result<PushOutcome> outcome = this->tryPush(aRequest);
  for (int i = 1; i < kMaxPushAttempts; ++i) {
    if (outcome || outcome.error().kind != ErrorKind::Conflict) {
      return outcome;
    }
    // Another push committed between the read and the write. The next attempt
    // reads it, and either rebases or returns a conflict that names its author.
    outcome = this->tryPush(aRequest);
    if (!aRequest.rebase) {
      return outcome;
    }
  }
  return outcome;
}

template<PlatformLike Platform>
Result<PushOutcome>
ConfigStore<Platform>::rollback(std::uint64_t aRevision, PushRequest aRequest)
{
  const auto files = this->files(aRevision);
  if (!files) {
    return files.error();
  }
  const Result<HeadRow> head = this->readHeadRow();
  if (!head) {
    return head.error();
  }
  aRequest.files = plainFiles(files.value());
  aRequest.baseRevision = head.value().head.revision;
  aRequest.rebase = false;
  return this->push(aRequest);
}

} // namespace poplartrack
