#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/CrashReport.h"
#include "poplartrack/retry/RecentlyServedRequests.h"

namespace poplartrack {

/**
 * Requests that broke off at a replica, until it is known whether the replica
 * has ended. A connection alone does not tell: replicas lose single answers and
 * break some off, and live on. Pure; not thread-safe.
 */
class CrashWatch
{
public:
  /** @param aPatience after this long a replica that is not known to have ended
   * lives */
  explicit CrashWatch(Duration aPatience)
    : patience(aPatience)
  {
  }

  void onBroken(CrashReport aReport, TimePoint aNow);
  /** The replicas of which an end would tell something. */
  [[nodiscard]] std::set<std::string> replicas() const;
  /** The replica has ended: what broke off there, each request once, but for
   * what was served elsewhere since. */
  std::vector<CrashReport> onEnded(const std::string& aReplica,
                                   const RecentlyServedRequests& aServed,
                                   TimePoint aNow);
  /** The replica ends as planned, or lives. */
  void forget(const std::string& aReplica) { this->waiting.erase(aReplica); }
  void expire(TimePoint aNow);

private:
  struct Broken
  {
    CrashReport report;
    TimePoint at;
  };

  Duration patience;
  std::map<std::string, std::vector<Broken>> waiting;
};

} // namespace poplartrack
