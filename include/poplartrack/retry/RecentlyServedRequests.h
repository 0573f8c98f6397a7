#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/**
 * Remembers which requests replicas completed recently, by fingerprint, and
 * when last. A request that many callers send is in flight at many replicas,
 * and so also at any replica that crashes for another reason. Bounded; does no
 * I/O; not thread-safe.
 */
class RecentlyServedRequests
{
public:
  /** Records that a replica completed the request. */
  void onServed(const Fingerprint& aRequest, TimePoint aNow);
  /** Returns when the request was last served, or nullopt if that was more than
   * a minute ago. */
  [[nodiscard]] std::optional<TimePoint> lastServed(const Fingerprint& aRequest,
                                                    TimePoint aNow) const;

private:
  using ServedTimes = std::map<Fingerprint, TimePoint>;

  /** Requests served in the current half minute. */
  ServedTimes current;
  /** Requests served in the half minute before it. */
  ServedTimes previous;
  /** Start of the current half minute. */
  TimePoint currentSince{};
};

} // namespace poplartrack
