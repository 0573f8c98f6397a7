#pragma once

#include <cstddef>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * How often a relay looks at the store. Each look is a call that is paid for,
 * and what one relay learns it tells the others, so the more relays are heard
 * the less each asks. Pure: draws come from the caller, in [0, 1).
 */
class StorePollSchedule
{
public:
  /** Longest time for a read beside a look that hangs. Slow stores were
   * declared to take 300 ms. */
  static constexpr Duration kProofReadTimeout =
    std::chrono::milliseconds{ 600 };

  /** aHeard: how many other relays are heard. */
  explicit StorePollSchedule(std::size_t aHeard)
    : heard(aHeard)
  {
  }

  /** Whether enough others are heard to share what is learnt. */
  [[nodiscard]] bool shares() const;
  /** Longest wait of one look at the configuration. */
  [[nodiscard]] Duration configWait(double aDraw) const;
  /** Longest wait of one look at the replicas. aUncertain: entries are missing
   * that may come back. */
  [[nodiscard]] Duration replicasWait(bool aUncertain, double aDraw) const;
  /** Pause after one more look that failed, aFailures of them before it. */
  [[nodiscard]] Duration retryPause(int aFailures, double aDraw) const;
  /** Pause after a look that brought something. aInUse: requests come, or
   * layers are placed by what the looks bring. */
  [[nodiscard]] static Duration batchDelay(bool aInUse);
  /** Whether the newest proof of the configuration's freshness is so old that a
   * look beside the one under way is due, aSince after the last such look.
   * aDeadline: time until an accepted configuration must be in force. */
  [[nodiscard]] static bool needsProofRead(Duration aAge,
                                           Duration aSince,
                                           Duration aDeadline);

private:
  std::size_t heard;
};

} // namespace poplartrack
