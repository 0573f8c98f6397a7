// Outages of the store: what decides whether this relay goes on placing layers,
// and the search for replicas that have exited meanwhile.

#include <algorithm>

#include "RelayLoopImpl.h"
#include "poplartrack/fleet/OutageLeadership.h"

namespace poplartrack {
namespace {

/** Number of periodic runs over which the status queries to all listed replicas
 * are spread: each replica gets one a second. */
constexpr std::uint32_t kRunsPerRound = 5;

} // namespace

/** Publishes how many relays are in contact, and whether one of them holds the
 * placement lease, for OutageLeadership on the placement thread. */
void
RelayLoop::Impl::updateOutageView()
{
  if (!this->settings.load.outagePlacement) {
    return;
  }
  const auto listed = this->shared.peers.read();
  std::size_t fresh = 0;
  bool holder = false;
  for (const auto& [address, peer] : this->knownPeers) {
    if (this->now - peer.receivedAt <= OutageLeadership::kFreshTime) {
      fresh += std::binary_search(listed->begin(), listed->end(), address);
      holder = holder || peer.holdsLease;
    }
  }
  this->shared.freshPeers = fresh;
  this->shared.peerHoldsLease = holder;
  this->shared.outageViewAt =
    this->shared.clock.now().time_since_epoch().count();
}

/**
 * Asks the listed replicas for a report while the store is unavailable and this
 * relay places layers, and once more when the store is back. The replica list
 * is stale then, and no request shows that an idle replica has exited.
 */
void
RelayLoop::Impl::probeListedReplicas()
{
  if (!this->settings.load.outagePlacement || !this->shared.holdsLease) {
    this->outageProbeState.runsLeft = 0;
    return;
  }
  const bool unavailable =
    this->shared.leadsOutage ||
    this->shared.freshness.age() >= OutageLeadership::kOutageProofAge;
  if (unavailable) {
    this->outageProbeState.runsLeft = kRunsPerRound + 1;
  }
  if (this->outageProbeState.runsLeft == 0) {
    return;
  }
  --this->outageProbeState.runsLeft;
  const auto& replicas = this->view->replicas;
  for (std::size_t i = this->periodicRuns % kRunsPerRound; i < replicas.size();
       i += kRunsPerRound) {
    const PathPart part{ replicas[i].id, replicas[i].address, {} };
    if (this->requestReport(part, StallSuspects::kMinProbeInterval)) {
      this->shared.metrics.count("outage_probes_total");
      this->outageProbeState.unanswered.insert(part.replica);
    }
  }
}

} // namespace poplartrack
