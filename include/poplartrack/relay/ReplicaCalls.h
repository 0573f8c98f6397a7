#pragma once

#include <functional>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** Work at a replica that waits for another one. */
struct StalledWork
{
  std::string requestId;
  /** The replica that it waits for. */
  Address blockedOn;
};

/** What a replica said when it was asked how it does. */
struct ReplicaReport
{
  bool reached = false;
  /** When it started, in ms since 1970; 0: it does not say. */
  std::uint64_t startedAtMs = 0;
  /** How many times as long as declared its work takes. */
  double slowdown = 1;
  std::vector<StalledWork> stalled;
};

/** How an order to move a running request to another path ended. */
enum class RepathOutcome : std::uint8_t
{
  /** It goes on there. */
  Moved,
  /** The first replica does not know the request. */
  NoSuchRequest,
  /** A part of the new path is missing or has no room. */
  PartMissing,
  Failed,
};

/** Calls to replicas beside the requests themselves. They return at once; the
 * callbacks run on another thread. */
struct ReplicaCalls
{
  std::function<void(const Address&, std::function<void(ReplicaReport)>)>
    queryStatus;
  std::function<void(const Address& aFirst,
                     const std::string& aRequestId,
                     const LayerPath&,
                     std::function<void(RepathOutcome)>)>
    repath;
};

} // namespace poplartrack
