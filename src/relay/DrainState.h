#pragma once

#include <map>
#include <set>
#include <string>

#include "PeerDrainReport.h"
#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What a relay knows of replicas that drain or have restarted. */
struct DrainState
{
  /** Replicas that have announced in an answer that they drain. They take no
   * new work until their exit, whatever the replica list says: their entry may
   * be older than the announcement, or may never show the drain. */
  std::set<std::string> announced;
  /** Draining replicas, and when this relay learned of it. */
  std::map<std::string, TimePoint> since;
  /** The latest report of a peer, by replica. */
  std::map<std::string, PeerDrainReport> peerReports;
  /** Replicas whose endpoint has restarted, and when this relay learned of it.
   * The id names the incarnation before the restart. */
  std::map<std::string, TimePoint> restarted;
};

} // namespace poplartrack
