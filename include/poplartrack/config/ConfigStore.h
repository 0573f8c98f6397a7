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

/** What an operator wants to put in force. */
struct PushRequest
{
  /** Names this push in every try; chosen once by the operator's command. */
  std::string changeId;
  std::string author;
  std::int64_t atSeconds = 0;
  std::string note;
  /** The revision that the files were edited from; 0: from none. */
  std::uint64_t baseRevision = 0;
  std::vector<SettingsFile> files;
  /** Lay the edits over revisions that came between, file by file. */
  bool rebase = false;
};

/** An accepted push. */
struct PushOutcome
{
  std::uint64_t revision = 0;
  /** An earlier try of the same change had made it already. */
  bool alreadyMade = false;
  /** Nothing differed from the revision in force: none was made. */
  bool unchanged = false;
  /** The files in force now; differ from the pushed ones after a rebase. */
  std::vector<SettingsFile> files;
};

/**
 * Makes revisions of the configuration in the platform's table and objects.
 *
 * A push puts two objects first, which no one refers to yet, and then does
 * one transaction: head row by compare-and-set, history row, change row.
 * Acceptance is that transaction; there is nothing to half apply.
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
   * Makes the files a new revision. BadSettings: they do not merge; the
   * detail has every problem, one a line. Conflict: names what came between
   * and who made it; nothing was changed. PlatformUnavailable: nothing was
   * changed. PlatformUnknown: repeat the push with the same change id to find
   * out.
   */
  Result<PushOutcome> push(const PushRequest& aRequest);

  /** Makes the files of an old revision a new, higher one. */
  Result<PushOutcome> rollback(std::uint64_t aRevision, PushRequest aRequest);

private:
  using Head = typename ConfigReader<Platform>::Head;

  Result<std::vector<SettingsFile>> filesToPush(const PushRequest& aRequest,
                                                const Head& aHead);
  Error conflictSince(std::uint64_t aBase, std::uint64_t aHead);
  Result<std::string> updateFrom(std::uint64_t aRevision,
                                 const std::string& aNewText);
  Result<PushOutcome> tryPush(const PushRequest& aRequest);
  Result<Done> put(const std::string& aName, const std::string& aBytes);
  Result<PushOutcome> commit(const PushRequest& aRequest,
                             const Head& aHead,
                             const RevisionRecord& aRecord,
                             std::vector<SettingsFile> aFiles);
};

} // namespace poplartrack

#include "poplartrack/config/ConfigStore.inl.h"
