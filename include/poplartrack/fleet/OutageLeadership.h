#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What a relay knows of an outage of the store. */
struct OutageView
{
  /** Age of the newest freshness proof. Relays share their proofs, so this is
   * the time since any relay in contact has reached the store. */
  Duration proofAge{ 0 };
  /** Number of other listed relays. */
  std::size_t listedPeers = 0;
  /** Number of these whose status message arrived within kFreshTime. */
  std::size_t freshPeers = 0;
  /** One of these reports that it holds the placement lease. */
  bool peerHoldsLease = false;
  /** Highest fencing number of a lease that a peer reports as released. */
  std::uint64_t peerReleasedFence = 0;
};

/**
 * Decides whether the last holder of the placement lease goes on placing layers
 * after its lease has run out because the store is unavailable to all relays.
 * Nobody else can take the lease then.
 *
 * It does so while the newest freshness proof is at least kOutageProofAge old
 * and at least half of the other listed relays have sent a recent status
 * message. Once a peer holds the lease or has released a newer one, or kMaxTime
 * has passed since its own ended, it does not lead again before it has held the
 * lease again. Not thread-safe.
 */
class OutageLeadership
{
public:
  /** A peer's status message counts as fresh up to this age. A relay of another
   * zone with nothing new to report sends one every 1.2 s. */
  static constexpr Duration kFreshTime = std::chrono::milliseconds{ 2'000 };
  /** A freshness proof of this age shows that the store is unavailable to all:
   * store readers renew a proof after 1.5 s, beside a poll that hangs, and
   * another relay adopts it within 0.4 s. */
  static constexpr Duration kOutageProofAge =
    std::chrono::milliseconds{ 2'500 };
  /** A relay may place layers for at most this long after its lease has run
   * out. */
  static constexpr Duration kMaxTime = std::chrono::seconds{ 20 };

  /** Records that this relay holds the lease, and when it runs out. */
  void onHeld(std::uint64_t aFence, TimePoint aUntil);
  /** Returns the fencing number under which this relay goes on placing layers;
   * nullopt if it must not. Called while it does not hold the lease. */
  std::optional<std::uint64_t> fenceToLead(const OutageView& aView,
                                           TimePoint aNow);

private:
  /** Fencing number of the last lease; 0: there was none, or this relay must
   * not place layers under it any more. */
  std::uint64_t fence = 0;
  TimePoint leaseEnd{};
};

} // namespace poplartrack
