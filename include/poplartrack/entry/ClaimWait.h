#pragma once

#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/entry/IdempotencyClaim.h"

namespace poplartrack {

/** Pauses between the attempts of a call to claim its idempotency key. */
struct ClaimWaitPolicy
{
  /** Each further pause is twice as long, up to maxPause. */
  Duration firstPause = std::chrono::milliseconds{ 10 };
  /** Bounds the load of waiting calls on the platform's table. */
  Duration maxPause = std::chrono::milliseconds{ 500 };
  /** Longest wait for the platform. Bounded, since waiting calls occupy
   * connections. */
  Duration maxOutage = std::chrono::seconds{ 5 };
};

/**
 * Decides whether a call that could not claim its idempotency key tries again.
 * A caller that sends one call to two entries wants its answer from either, so
 * the second entry waits for the answer of the first until the call's deadline.
 * While the platform cannot be reached, the wait is also bounded by maxOutage.
 */
class ClaimWait
{
public:
  explicit ClaimWait(TimePoint aDeadline, ClaimWaitPolicy aPolicy = {})
    : deadline(aDeadline)
    , pause(aPolicy.firstPause)
    , policy(aPolicy)
  {
  }

  /** Returns the time until the next attempt; nullopt if the verdict is
   * final. */
  std::optional<Duration> pauseAfter(const ClaimVerdict& aVerdict,
                                     TimePoint aNow);

private:
  TimePoint deadline;
  Duration pause;
  ClaimWaitPolicy policy;
  /** When the platform could not be reached first, since it last answered. */
  std::optional<TimePoint> awaySince;
};

} // namespace poplartrack
