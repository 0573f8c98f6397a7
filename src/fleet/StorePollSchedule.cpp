#include "poplartrack/fleet/StorePollSchedule.h"

#include <algorithm>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

/** Number of known peers from which on a relay polls less often. */
constexpr std::size_t kEnoughPeers = 2;

/** Maximum wait of one configuration poll while too few peers are known. Its
 * answer proves which configuration was in force when it was given. A relay
 * that loses the store thus has a proof at most this old, and keeps serving for
 * the rest of the time within which a revoked key must stop working. */
constexpr Duration kConfigWaitAlone = milliseconds{ 1'000 };

/** Lower bound of the maximum wait while enough peers are known, and the wait
 * per relay. Relays send each other their proofs five times a second. So the
 * waits can grow with the number of relays that poll, and some relay still has
 * a recent proof. The lower bound is short enough that a few relays do not have
 * only a stale proof when the store becomes unavailable. */
constexpr Duration kConfigWaitShared = milliseconds{ 2'500 };
constexpr Duration kConfigWaitPerRelay = milliseconds{ 500 };

/** Longest wait of any poll: half of the history that the store keeps, since a
 * poll continues where the previous one ended. */
constexpr Duration kMaxWait = milliseconds{ 10'000 };

/** The same two waits for polls of the replica list; the first is also the
 * maximum wait while too few peers are known. A silent connection to the store
 * is noticed sooner, through the status messages of other relays. */
constexpr Duration kReplicasWait = milliseconds{ 4'000 };
constexpr Duration kReplicasWaitPerRelay = milliseconds{ 450 };

/** Wait while entries are missing that may be registered again, so that it is
 * decided on time whether they are. */
constexpr Duration kUncertainWait = milliseconds{ 200 };

/** Changes arrive in bursts: a dozen a second while replicas register or the
 * operator pushes a configuration. The next poll returns all that accumulated
 * during the pause. The pause is far below the limits of two seconds on both
 * kinds of change. */
constexpr Duration kBatchDelayInUse = milliseconds{ 150 };

/** Before the first request, only placement needs the newest list, and all
 * replicas register: a longer pause collects more of them. */
constexpr Duration kBatchDelayUnused = milliseconds{ 600 };

/** Pauses after failed polls: the first pause, and the maximum up to which each
 * further pause is twice as long as the one before. While the store is
 * unavailable, each poll is a wasted call. It does not matter which relay first
 * finds it available again, since the others learn of it at once. */
constexpr Duration kFirstRetryPause = milliseconds{ 250 };
constexpr Duration kMaxRetryPause = milliseconds{ 1'500 };
/** Maximum for a relay that knows too few peers. */
constexpr Duration kMaxRetryPauseAlone = milliseconds{ 500 };

/** Age from which a proof is renewed by a proof read. The current poll may hang
 * on a silent connection while no peer is known any more. A proof of this age
 * leaves time to get a newer one before keys are no longer trusted. */
constexpr Duration kStaleProofAge = milliseconds{ 1'500 };
/** Time within which a proof that a store reader has renewed reaches the other
 * relays. Without it, all relays of a zone would renew a proof at the same
 * moment as its store readers. */
constexpr Duration kRenewalTime = milliseconds{ 1'000 };
/** A proof is also renewed this long before its age reaches the time within
 * which a new configuration must be in force. This covers the proof read, the
 * margin (300 ms) at which a configuration without a recent proof is no longer
 * used, and the wait between the threads' checks (200 ms). */
constexpr Duration kProofReadLead =
  StorePollSchedule::kProofReadTimeout + milliseconds{ 500 };

/** Returns a random duration between two bounds. A change ends the polls of all
 * relays at the same moment, and with equal waits they would end together from
 * then on. The latest proof of all relays can then be as old as a whole wait
 * when the store becomes unavailable. With 22 relays it was 2.4 s old, and they
 * served for 1.6 s of the 4 s that are allowed. */
Duration
randomBetween(Duration aMin, Duration aMax, double aRandom)
{
  const auto span = static_cast<double>((aMax - aMin).count());
  return aMin + Duration{ static_cast<Duration::rep>(span * aRandom) };
}

} // namespace

bool
StorePollSchedule::hasEnoughPeers() const
{
  return this->peers >= kEnoughPeers;
}

Duration
StorePollSchedule::configWait(double aRandom) const
{
  if (!this->hasEnoughPeers()) {
    return kConfigWaitAlone;
  }
  const Duration shared =
    kConfigWaitPerRelay * static_cast<int>(this->peers + 1);
  const Duration max = std::clamp(shared, kConfigWaitShared, kMaxWait);
  return randomBetween(kConfigWaitAlone, max, aRandom);
}

Duration
StorePollSchedule::replicasWait(bool aUncertain, double aRandom) const
{
  if (aUncertain) {
    return kUncertainWait;
  }
  if (!this->hasEnoughPeers()) {
    return kReplicasWait;
  }
  const Duration shared =
    kReplicasWaitPerRelay * static_cast<int>(this->peers + 1);
  const Duration max = std::clamp(shared, kReplicasWait, kMaxWait);
  return randomBetween(kReplicasWait / 2, max, aRandom);
}

Duration
StorePollSchedule::retryPause(int aFailures, double aRandom) const
{
  constexpr int kMaxDoublings = 4;
  const Duration max =
    this->hasEnoughPeers() ? kMaxRetryPause : kMaxRetryPauseAlone;
  const Duration pause =
    std::min(max, kFirstRetryPause * (1 << std::min(aFailures, kMaxDoublings)));
  return randomBetween(pause / 2, pause, aRandom);
}

Duration
StorePollSchedule::batchDelay(bool aInUse)
{
  return aInUse ? kBatchDelayInUse : kBatchDelayUnused;
}

bool
StorePollSchedule::needsProofRead(Duration aAge,
                                  Duration aSince,
                                  Duration aDeadline,
                                  bool aReader)
{
  const Duration renewal = aReader ? Duration{ 0 } : kRenewalTime;
  const Duration staleAge =
    std::min(kStaleProofAge + renewal, aDeadline - kProofReadLead);
  return aAge >= staleAge && aSince >= kProofReadInterval;
}

} // namespace poplartrack
