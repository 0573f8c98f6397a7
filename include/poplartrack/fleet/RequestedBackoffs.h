#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** The replicas that have asked this relay for a backoff. It lasts for as long
 * as the replica said: neither an answer to an earlier request nor a gap in the
 * replica list ends it. Pure; not thread-safe. */
class RequestedBackoffs
{
public:
  /** Records that a replica wants no calls for this long. A backoff in force
   * that lasts longer is kept. Returns whether none was in force. */
  bool onRequested(const std::string& aReplica,
                   Duration aBackoff,
                   TimePoint aNow);
  /** Forgets the backoffs that are over. Returns whether there were any. */
  bool expire(TimePoint aNow);

  /** Returns whether the replica wants no calls now. */
  [[nodiscard]] bool inForce(const std::string& aReplica, TimePoint aNow) const;
  /** Returns the replicas whose backoff has not expired. */
  [[nodiscard]] std::set<std::string> replicas() const;
  [[nodiscard]] std::size_t size() const { return this->ends.size(); }

private:
  /** When each backoff ends. */
  std::map<std::string, TimePoint> ends;
};

} // namespace poplartrack
