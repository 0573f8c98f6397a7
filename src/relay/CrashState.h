#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/retry/CrashLedger.h"
#include "poplartrack/retry/CrashWatch.h"
#include "poplartrack/retry/RecentlyServedRequests.h"

namespace poplartrack {

/** What a relay knows of the requests under which replicas crashed. */
struct CrashState
{
  CrashWatch watch;
  CrashLedger ledger;
  /** Replicas at whose address nothing listened when they were last asked. */
  std::set<std::string> exited;
  RecentlyServedRequests recentlyServed;
  /** The quarantine of the store that was last merged into ledger. */
  std::shared_ptr<const std::vector<Suspect>> lastStoredQuarantine;
};

} // namespace poplartrack
