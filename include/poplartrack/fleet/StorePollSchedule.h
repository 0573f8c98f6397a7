#pragma once

#include <cstddef>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Decides how often a relay polls the store. Each poll is a call that is
 * charged. Relays send the results to each other, so the more peers are known,
 * the less often each relay polls. Pure: the caller passes random values in [0,
 * 1). */
class StorePollSchedule
{
public:
  /** Timeout of a proof read, which runs beside a poll that hangs. Slow stores
   * are declared to take 300 ms. */
  static constexpr Duration kProofReadTimeout =
    std::chrono::milliseconds{ 600 };
  /** Shortest time between the beginnings of two proof reads. */
  static constexpr Duration kProofReadInterval =
    std::chrono::milliseconds{ 1'000 };

  /** aPeers: the number of known peers. */
  explicit StorePollSchedule(std::size_t aPeers)
    : peers(aPeers)
  {
  }

  /** Returns whether enough peers are known to share poll results with. */
  [[nodiscard]] bool hasEnoughPeers() const;
  /** Returns the maximum wait of one long poll of the configuration. */
  [[nodiscard]] Duration configWait(double aRandom) const;
  /** Returns the maximum wait of one long poll of the replica list. aUncertain:
   * entries are missing that may be registered again. */
  [[nodiscard]] Duration replicasWait(bool aUncertain, double aRandom) const;
  /** Returns the pause after a failed poll that followed aFailures failed ones.
   */
  [[nodiscard]] Duration retryPause(int aFailures, double aRandom) const;
  /** Returns the pause after a poll that returned changes, in which further
   * changes accumulate. aInUse: requests arrive, or layers are placed by what
   * the polls return. */
  [[nodiscard]] static Duration batchDelay(bool aInUse);
  /** Returns whether the latest freshness proof of the configuration is so
   * stale that a proof read beside the current poll is due. aAge: age of the
   * proof. aSince: time since the last proof read. aDeadline: time within which
   * an accepted configuration must be in force. aReader: this relay polls the
   * store; if not, it leaves the renewal to the store readers first. */
  [[nodiscard]] static bool needsProofRead(Duration aAge,
                                           Duration aSince,
                                           Duration aDeadline,
                                           bool aReader);

private:
  std::size_t peers;
};

} // namespace poplartrack
