#pragma once

#include <functional>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** A request that has stalled at a replica because of another replica. */
struct StalledWork
{
  std::string requestId;
  /** Address of the replica that the request is blocked on. */
  Address blockedOn;
};

/** A replica's answer to a status query. */
struct ReplicaReport
{
  /** The replica answered; otherwise the other fields keep their defaults. */
  bool reached = false;
  /** An answer came from its address, which may be no report: replicas of plain
   * services have none. */
  bool replied = false;
  /** No connection could be established; the other fields keep their defaults.
   */
  bool refused = false;
  /** Nothing listens at its address: its process has ended. */
  bool exited = false;
  /** Its answer exceeded a limit; the other fields keep their defaults. */
  bool overLimit = false;
  /** The replica answered that it takes no queries for now; the other fields
   * keep their defaults. */
  bool rejected = false;
  /** Start time of the replica, in ms since 1970; 0: not reported. */
  std::uint64_t startedAtMs = 0;
  /** Measured duration of its work divided by the declared duration. */
  double slowdown = 1;
  /** Requests that make no progress because of another replica. */
  std::vector<StalledWork> stalled;
};

/** Outcome of an order to move a running request to another path. */
enum class RepathOutcome : std::uint8_t
{
  /** The request continues on the new path. */
  Moved,
  /** The first replica does not know the request. */
  NoSuchRequest,
  /** A replica of the new path is missing or has no capacity. */
  PartMissing,
  /** Any other failure, including an answer that did not arrive. */
  Failed,
};

/** Control calls to replicas, separate from the requests themselves. They
 * return at once; the callbacks run on another thread. */
struct ReplicaCalls
{
  /** Queries the status of the replica at this address. */
  std::function<void(const Address&, std::function<void(ReplicaReport)>)>
    queryStatus;
  /** Orders the first replica of a request's path to continue the request on
   * another path. */
  std::function<void(const Address& aFirst,
                     const std::string& aRequestId,
                     const LayerPath&,
                     std::function<void(RepathOutcome)>)>
    repath;
};

} // namespace poplartrack
