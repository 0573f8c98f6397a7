#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "poplartrack/entry/EntryParts.h"
#include "poplartrack/store/PlatformLike.h"
#include "poplartrack/wire/ShareWishes.h"

namespace poplartrack {

/** Called with the address of a peer and the revision that it has in force. */
using RevisionHeard = std::function<void(const std::string&, std::uint64_t)>;

/**
 * Exchanges demand and shares of account limits with the other entries, once
 * a second where there is demand. The messages also contain the newest revision
 * number.
 */
class ShareExchange
{
public:
  ShareExchange(EntryParts aParts,
                std::string aSelf,
                std::function<std::uint64_t()> aRevision,
                RevisionHeard aHeard);

  /** Starts the exchange. */
  void start();
  /** Handles a read of the platform's instance list. */
  void onInstanceList(const std::vector<InstanceInfo>& aList);
  /** Answers the demands of another entry. */
  ShareGrants answer(const ShareWishes& aWishes);

private:
  void exchange();
  void send(const DemandList& aList);

  EntryParts parts;
  std::string self;
  std::function<std::uint64_t()> revision;
  RevisionHeard heard;
  std::mutex guard;
  /** Wire addresses of the other entries by name. */
  std::map<std::string, std::string> addresses;
};

} // namespace poplartrack
