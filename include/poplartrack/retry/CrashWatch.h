#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/CrashProof.h"
#include "poplartrack/retry/CrashReport.h"
#include "poplartrack/retry/RecentlyServedRequests.h"

namespace poplartrack {

/**
 * Holds requests whose connection to a replica broke, until it is known whether
 * the replica has crashed. The broken connection alone does not show a crash:
 * replicas that are alive lose single answers and break some off. Does no I/O;
 * not thread-safe.
 */
class CrashWatch
{
public:
  /** @param aTimeout after this time a replica that is not known to have
   * crashed is taken to be alive */
  explicit CrashWatch(Duration aTimeout)
    : timeout(aTimeout)
  {
  }

  /** Records that a request broke off at a replica, now. The report becomes
   * valid if the replica turns out to have crashed. */
  void onBroken(CrashReport aReport, TimePoint aNow);
  /** Returns the replicas with requests that broke off there. */
  [[nodiscard]] std::set<std::string> replicas() const;
  /** Called when the replica has crashed. Returns one report for each request
   * that broke off there, except for requests that have been served elsewhere
   * since. Those whose replica only fell silent are kept until it has certainly
   * exited. */
  std::vector<CrashReport> onCrashed(const std::string& aReplica,
                                     CrashProof aProof,
                                     const RecentlyServedRequests& aServed,
                                     TimePoint aNow);
  /** Drops the requests of a replica that is alive or stopped as planned. */
  void forget(const std::string& aReplica) { this->pending.erase(aReplica); }
  /** Drops requests that broke off longer ago than the timeout. */
  void expire(TimePoint aNow);

private:
  Duration timeout;
  /** By replica. */
  std::map<std::string, std::vector<CrashReport>> pending;
};

} // namespace poplartrack
