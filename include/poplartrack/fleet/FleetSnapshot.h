#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/fleet/FleetPolls.h"

namespace poplartrack {

/** Which parts of a FleetSnapshot a relay asks another one for. */
struct SnapshotQuery
{
  /** The configuration, if it is newer than this version. */
  std::uint64_t newerConfig = 0;
  /** The replica list, if it is newer than this version; nullopt: not. */
  std::optional<std::uint64_t> newerReplicas;
  /** The addresses of all relays. */
  bool relays = false;
};

/** What a relay knows of the fleet, as it hands it to another relay. */
struct FleetSnapshot
{
  /** Version of the sender's configuration; 0 if it has none. */
  std::uint64_t configVersion = 0;
  /** The configuration as the store holds it; empty if it is not newer than the
   * version in the query. */
  std::string configText;
  /** Age of the sender's proof that its configuration is the newest; nullopt if
   * it has none. */
  std::optional<Duration> configAge;
  /** The whole replica list; nullopt if it was not asked for, is not newer, or
   * holds entries that may be about to expire. */
  std::optional<ReplicaPoll> replicas;
  /** Addresses of the relays that the sender knows, without its own. */
  std::vector<Address> relays;
};

/** Asks the relay at an address for a snapshot; blocks until it has answered or
 * the timeout has passed. */
using FetchSnapshot = std::function<
  Result<FleetSnapshot>(const Address&, const SnapshotQuery&, Duration)>;

} // namespace poplartrack
