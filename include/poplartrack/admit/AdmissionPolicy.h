#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Parameters of admission control. */
struct AdmissionPolicy
{
  /** Limit on requests in flight per model at this entry before any queue wait
   * has been observed. */
  double initialLimit = 64;
  /** Range of that limit. */
  double lowestLimit = 4;
  double highestLimit = 4096;
  /** Longest queue wait of a step that does not count as overload. */
  Duration targetDelay = std::chrono::milliseconds{ 100 };
  /** The same for the expected queue wait of each token, relative to its run
   * time. A full batch running and half a batch waiting keep an engine busy. */
  double targetWait = 1.0;
  /** The limit is adjusted once per interval, by the mean wait. CoDel uses the
   * minimum. Here each sample is the wait of the best route, and the minimum of
   * hundreds of them is near 0 under any load. */
  Duration interval = std::chrono::milliseconds{ 500 };
  /** Factor applied to the limit after an interval above the target. */
  double decrease = 0.9;
  /** Fair shares are enforced once this fraction of the limit is in use. */
  double fairShareFrom = 0.75;
  /** An account or priority counts as active for this long after a request. */
  Duration activeFor = std::chrono::seconds{ 5 };
  /** The time to the deadline must be at least this multiple of the expected
   * completion time. */
  double deadlineMargin = 1.0;
  /** Shortest retry time that rejected callers receive. */
  Duration shortestRetryAfter = std::chrono::seconds{ 1 };
  /** Upper bound of the minimum retry time, and also of the random window that
   * is added to it. */
  Duration longestRetryAfter = std::chrono::seconds{ 60 };
  /** Fraction of an account's limit that is split evenly between the entries
   * and needs no grant. */
  double reservedShare = 0.2;
};

} // namespace poplartrack
