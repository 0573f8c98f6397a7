#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/ConfigReader.h"
#include "poplartrack/config/Folder.h"
#include "poplartrack/config/RevisionRecord.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** A push: the files that an operator wants to put in force. */
struct PushRequest
{
  /** Identifies this push in all attempts, which makes it idempotent; the
   * operator's command chooses it once. */
  std::string changeId;
  std::string author;
  /** Unix time of the push by the operator's clock; for people only. */
  std::int64_t atSeconds = 0;
  std::string note;
  /** The revision from which the files were edited; 0: none. */
  std::uint64_t baseRevision = 0;
  std::vector<SettingsFile> files;
  /** Merge the edits, file by file, with revisions pushed since the base. */
  bool rebase = false;
};

/** An accepted push. */
struct PushOutcome
{
  std::uint64_t revision = 0;
  /** An earlier attempt with the same change id made the revision. */
  bool alreadyMade = false;
  /** The files equal those in force, so no revision was made. */
  bool unchanged = false;
  /** The files of the revision; after a rebase they differ from the pushed
   * ones. */
  std::vector<SettingsFile> files;
};

/**
 * Creates revisions of the configuration in the platform's tables and objects.
 *
 * A push first puts two objects, which no row refers to yet. One transaction
 * then writes the head row by compare-and-set, the history row and the change
 * row. The push is accepted when that transaction commits, so it cannot take
 * effect in part.
 */
template<PlatformLike Platform>
class ConfigStore : public ConfigReader<Platform>
{
public:
  explicit ConfigStore(Platform& aPlatform)
    : ConfigReader<Platform>(aPlatform)
  {
  }

  /**
   * Makes the files a new revision. Errors:
   * - BadSettings: the files do not merge; the detail has every problem, one
   *   per line. Also when the change id was used before with other files.
   * - Conflict: the detail names the revisions pushed since the base and their
   *   authors, or the files that conflict; nothing was changed.
   * - PlatformUnavailable: nothing was changed.
   * - PlatformUnknown: the outcome is unknown; repeat the push with the same
   *   change id to learn it.
   */
  Result<PushOutcome> push(const PushRequest& aRequest);

  /** Makes the files of an old revision a new, higher revision. */
  Result<PushOutcome> rollback(std::uint64_t aRevision, PushRequest aRequest);

private:
  using HeadRow = typename ConfigReader<Platform>::HeadRow;

  /** Returns the files of the new revision. When the head is not the request's
   * base, they are rebased if the request allows it; if not, Conflict. */
  Result<std::vector<SettingsFile>> filesToPush(const PushRequest& aRequest,
                                                const HeadRow& aHeadRow);
  /** Returns a Conflict that names the revisions after the base, their authors
   * and files. */
  Error conflictSince(std::uint64_t aBaseRevision, std::uint64_t aHeadRevision);
  /** Returns the text of the update from a revision to a new text. Empty for
   * revision 0, and when there is no such update or its text is longer than
   * kMaxRowUpdateBytes. */
  Result<std::string> updateTextFrom(std::uint64_t aRevision,
                                     const std::string& aNewText);
  /** Does one attempt of a push: reads the head, checks the files, writes. */
  Result<PushOutcome> tryPush(const PushRequest& aRequest);
  /** Puts an object; repeats the call while its outcome is unknown. */
  Result<Done> putWithRetries(const std::string& aName,
                              const std::string& aBytes);
  /** Does the transaction of a push; finds out the outcome when an answer was
   * lost. */
  Result<PushOutcome> commit(const PushRequest& aRequest,
                             const HeadRow& aHeadRow,
                             const RevisionRecord& aRecord,
                             std::vector<SettingsFile> aFiles);
};

} // namespace poplartrack

#include "poplartrack/config/ConfigStore.inl.h"
