#pragma once

#include "poplartrack/fleet/FleetSnapshot.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack {

/** Asks other relays for snapshots. Thread-safe. */
class SnapshotClient
{
public:
  explicit SnapshotClient(HttpClient& aHttp)
    : http(aHttp)
  {
  }

  /** Blocks until the relay has answered or the timeout has passed.
   * PlatformUnavailable: the relay does not answer, or has nothing to hand out
   * yet. Malformed: the answer cannot be read. */
  Result<FleetSnapshot> fetch(const Address& aRelay,
                              const SnapshotQuery& aQuery,
                              Duration aTimeout);

private:
  HttpClient& http;
};

} // namespace poplartrack
