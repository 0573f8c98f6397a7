#include "poplartrack/fleet/StorePollSchedule.h"

#include <algorithm>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

/** Relays that must be heard for looking less often. */
constexpr std::size_t kEnoughRelays = 2;

/** Longest wait of one look at the configuration while no other relay is heard.
 * Its answer proves what was in force when it was given, so a relay that loses
 * the store has a proof at most this old, and goes on for the rest of the time
 * after which a revoked key must be dead. */
constexpr Duration kConfigWaitAlone = milliseconds{ 1'000 };

/** ... and while others are: relays tell each other their proofs five times a
 * second, so the waits grow with the number of those that look, and some relay
 * has a recent proof all the same. The least is what keeps a few relays from
 * having an old one when the store goes away. */
constexpr Duration kConfigWaitFew = milliseconds{ 2'500 };
constexpr Duration kConfigWaitEach = milliseconds{ 500 };

/** Half of the history that the store keeps: looks go on where they ended. */
constexpr Duration kLongestWait = milliseconds{ 10'000 };

/** Waits of a look at the replicas. A connection to the store that fell silent
 * is noticed sooner, by what other relays tell. */
constexpr Duration kReplicasWait = milliseconds{ 4'000 };
constexpr Duration kReplicasWaitEach = milliseconds{ 450 };

/** ... and while entries are missing that may come back: whether they do is
 * decided on time. */
constexpr Duration kUncertainWait = milliseconds{ 200 };

/** Changes come in bursts (a dozen a second as replicas register or the
 * operator pushes), and the next look brings what has gathered. Far below the
 * bounds of two seconds on both. */
constexpr Duration kGatherInUse = milliseconds{ 150 };

/** Before the first request nothing hangs on the newest list but placement, and
 * all replicas register: the next look brings more of them. */
constexpr Duration kGatherBefore = milliseconds{ 600 };

/** While the store is away each look is a call for nothing; which relay's look
 * finds it back is no matter, since the others hear of it at once. */
constexpr Duration kRetryPause = milliseconds{ 250 };
constexpr Duration kRetryMost = milliseconds{ 1'500 };
/** ... and for a relay that hears too few others. */
constexpr Duration kRetryMostAlone = milliseconds{ 500 };

/** A look may wait on a connection that fell silent while no other relay is
 * heard any more. A proof of this age leaves time to get a newer one before
 * keys are not trusted any more. */
constexpr Duration kOldProof = milliseconds{ 1'500 };
/** ... and one this much younger than the deadline for a new configuration
 * leaves the time for a read beside the look, and the margin before a
 * configuration without a proof is not used any more (300 ms, and 200 for what
 * the threads wait). */
constexpr Duration kBeforeDeadline =
  StorePollSchedule::kProofReadTimeout + milliseconds{ 500 };
constexpr Duration kProofPause = milliseconds{ 1'000 };

/** A wait between the two, by the draw. A change ends the looks of all relays
 * at one moment, and equal waits would end together from then on: the store
 * went away 2.4 s after the newest proof of 22 relays, and they served 1.6 s
 * where 4 are allowed. */
Duration
between(Duration aLeast, Duration aMost, double aDraw)
{
  const auto span = static_cast<double>((aMost - aLeast).count());
  return aLeast + Duration{ static_cast<Duration::rep>(span * aDraw) };
}

} // namespace

bool
StorePollSchedule::shares() const
{
  return this->heard >= kEnoughRelays;
}

Duration
StorePollSchedule::configWait(double aDraw) const
{
  if (!this->shares()) {
    return kConfigWaitAlone;
  }
  const Duration shared = kConfigWaitEach * static_cast<int>(this->heard + 1);
  const Duration most = std::clamp(shared, kConfigWaitFew, kLongestWait);
  return between(kConfigWaitAlone, most, aDraw);
}

Duration
StorePollSchedule::replicasWait(bool aUncertain, double aDraw) const
{
  if (aUncertain) {
    return kUncertainWait;
  }
  if (!this->shares()) {
    return kReplicasWait;
  }
  const Duration shared = kReplicasWaitEach * static_cast<int>(this->heard + 1);
  const Duration most = std::clamp(shared, kReplicasWait, kLongestWait);
  return between(kReplicasWait / 2, most, aDraw);
}

Duration
StorePollSchedule::retryPause(int aFailures, double aDraw) const
{
  constexpr int kMostDoublings = 4;
  const Duration most = this->shares() ? kRetryMost : kRetryMostAlone;
  const Duration pause =
    std::min(most, kRetryPause * (1 << std::min(aFailures, kMostDoublings)));
  return between(pause / 2, pause, aDraw);
}

Duration
StorePollSchedule::batchDelay(bool aInUse)
{
  return aInUse ? kGatherInUse : kGatherBefore;
}

bool
StorePollSchedule::needsProofRead(Duration aAge,
                                  Duration aSince,
                                  Duration aDeadline)
{
  const Duration old = std::min(kOldProof, aDeadline - kBeforeDeadline);
  return aAge >= old && aSince >= kProofPause;
}

} // namespace poplartrack
