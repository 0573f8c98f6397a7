#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What admission may be tuned by; the defaults are measured ones. */
struct AdmissionPolicy
{
  /** Requests in flight per model at this entry: first guess and range. */
  double initialLimit = 64;
  double lowestLimit = 4;
  double highestLimit = 4096;
  /** Wait that is still no overload. */
  Duration targetDelay = std::chrono::milliseconds{ 100 };
  /** The same for the wait expected of each token, over its run time: a full
   * batch running and half a one waiting keeps an engine busy. */
  double targetWait = 1.0;
  /** The mean wait of one interval decides. CoDel takes the least; here each
   * decision sees the wait of the best route, and the least of hundreds of
   * those is near 0 under any load. */
  Duration interval = std::chrono::milliseconds{ 500 };
  /** Factor on the limit after an interval above target. */
  double decrease = 0.9;
  /** Below this part of the limit nobody is held to a fair share. */
  double fairShareFrom = 0.75;
  /** An account or priority counts as active this long after a request. */
  Duration activeFor = std::chrono::seconds{ 5 };
  /** Expected completion times this must fit before the deadline. */
  double deadlineMargin = 1.0;
  Duration shortestRetryAfter = std::chrono::seconds{ 1 };
  Duration longestRetryAfter = std::chrono::seconds{ 60 };
  /** Part of an account's limit split evenly over entries without a grant. */
  double reservedShare = 0.2;
};

} // namespace poplartrack
