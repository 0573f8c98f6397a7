#pragma once

// The placement lease, and placing layers while this relay holds it or leads
// through an outage of the store.

#include "poplartrack/base/RequestId.h"

namespace poplartrack {
namespace fleet_control {

/** While a status message of the lease holder is at most this old, the holder
 * is assumed to renew its lease, and the other relays hardly poll the row. */
constexpr Duration kLeaderTimeout = std::chrono::milliseconds{ 1'000 };
/** Interval between polls of the lease by other relays in that case. */
constexpr Duration kLeasePollIntervalWithLeader = std::chrono::seconds{ 20 };

/** Pause between two placement rounds. Streams notice the loss of a replica
 * after about 300 ms; its layers should not wait much longer for a new holder.
 */
constexpr Duration kPlacementInterval = std::chrono::milliseconds{ 100 };

inline LayerPlannerPolicy
plannerPolicy(const RelaySettings& aSettings)
{
  LayerPlannerPolicy policy;
  policy.followsDemand = aSettings.load.demandPlacement;
  return policy;
}

inline LeaseSettings
leaseSettings(const RelaySettings& aSettings)
{
  LeaseSettings lease;
  lease.name = "placement/" + aSettings.region;
  lease.holder = aSettings.name + "/" + toText(randomRequestId());
  // Placement must not pause for long when the lease holder dies: requests that
  // need a lost layer are refused until a replica holds it again. Another relay
  // takes the lease over after 3 to 4 s. The others poll it often only while no
  // status message of a holder arrives.
  lease.duration = std::chrono::milliseconds{ 2'000 };
  lease.renewInterval = std::chrono::milliseconds{ 700 };
  lease.pollInterval = std::chrono::milliseconds{ 700 };
  lease.margin = std::chrono::milliseconds{ 200 };
  return lease;
}

} // namespace fleet_control

template<FleetStoreLike Store>
void
FleetControl<Store>::releaseLease()
{
  this->stopping = true;
  // Stops reporting that this relay holds the lease. If that were reported for
  // the whole grace time, the other relays would not poll the released lease,
  // and no layers would be placed for up to 9 s.
  this->shared.holdsLease = false;
  this->shared.releasedFence = this->placementFence.exchange(0);
  this->placement.withdrawReleases();
  this->lease.release();
}

// While the holder of the lease is known to be alive, the other relays do not
// contend for it. A lease that its holder reports as released can be taken at
// once, without waiting until it expires.
template<FleetStoreLike Store>
void
FleetControl<Store>::pollLease()
{
  const TimePoint now = this->clock.now();
  const TimePoint leaderSeenAt{ Duration{ this->shared.leaderSeenAt.load() } };
  const bool leaderKnown = now - leaderSeenAt < fleet_control::kLeaderTimeout;
  // While the store is unavailable, only the threads that follow the
  // configuration and the replica list retry. Polls of the lease by each relay
  // as well would be 200 useless calls in 8 s with 24 relays.
  const bool storeUnavailable =
    !this->configReachable && !this->replicasReachable;
  if ((storeUnavailable || !this->shared.polls) && this->placementFence == 0) {
    return;
  }
  if (leaderKnown && this->placementFence == 0 &&
      now - this->leasePolledAt < fleet_control::kLeasePollIntervalWithLeader) {
    return;
  }
  this->lease.onReleased(this->shared.peerReleasedFence);
  this->leasePolledAt = now;
  this->lease.poll();
}

template<FleetStoreLike Store>
OutageView
FleetControl<Store>::outageView() const
{
  const TimePoint updatedAt{ Duration{ this->shared.outageViewAt.load() } };
  const bool current =
    this->clock.now() - updatedAt <= OutageLeadership::kFreshTime;
  OutageView view;
  view.proofAge = this->shared.freshness.age();
  view.listedPeers = this->shared.peers.read()->size();
  view.freshPeers = current ? this->shared.freshPeers.load() : 0;
  view.peerHoldsLease = this->shared.peerHoldsLease;
  view.peerReleasedFence = this->shared.peerReleasedFence;
  return view;
}

template<FleetStoreLike Store>
std::optional<std::uint64_t>
FleetControl<Store>::outageFence()
{
  if (!this->settings.load.outagePlacement) {
    return std::nullopt;
  }
  const OutageView view = this->outageView();
  const std::optional<std::uint64_t> fence =
    this->leadership.fenceToLead(view, this->clock.now());
  constexpr std::int64_t kMicrosPerMs = 1'000;
  if (fence.has_value() != this->shared.leadsOutage) {
    this->shared.log.write(
      LogLine{ LogPart::Lease, "outage_leader" }
        .with("leads", fence ? 1 : 0)
        .with("fence", static_cast<std::int64_t>(fence.value_or(0)))
        .with("proof_age_ms", view.proofAge.count() / kMicrosPerMs)
        .with("relays", static_cast<std::int64_t>(view.listedPeers))
        .with("fresh", static_cast<std::int64_t>(view.freshPeers))
        .with("other_holds", view.peerHoldsLease ? 1 : 0));
  }
  this->setLeadsOutage(fence.has_value());
  return fence;
}

template<FleetStoreLike Store>
void
FleetControl<Store>::setLeadsOutage(bool aLeads)
{
  if (this->shared.leadsOutage.exchange(aLeads) != aLeads) {
    this->shared.metrics.set("placement_outage_leader", aLeads ? 1 : 0);
  }
}

// When this relay no longer holds the lease, it reports that to the others. If
// the store rejects only this relay, they would otherwise wait until the lease
// expires for them too, and lost layers would not be replaced for 3 s.
template<FleetStoreLike Store>
Duration
FleetControl<Store>::runPlacement()
{
  if (this->stopping) {
    this->shared.holdsLease = false;
    this->setLeadsOutage(false);
    // A round that was under way during releaseLease() may have published
    // releases since.
    this->placement.withdrawReleases();
    return fleet_control::kPlacementInterval;
  }
  const std::optional<HeldLease> held = this->lease.held();
  if (held) {
    if (this->placementFence.exchange(held->fence) != held->fence) {
      this->shared.metrics.set("placement_lease_held", 1);
      this->shared.log.write(LogLine{ LogPart::Lease, "taken" }.with(
        "fence", static_cast<std::int64_t>(held->fence)));
    }
    this->shared.holdsLease = true;
    this->setLeadsOutage(false);
    this->leadership.onHeld(held->fence, this->clock.now() + held->timeLeft);
    this->placement.runRound(held->fence, this->clock.now());
    return fleet_control::kPlacementInterval;
  }
  if (const auto fence = this->outageFence()) {
    this->placementFence = *fence;
    this->shared.holdsLease = true;
    this->placement.runRound(*fence, this->clock.now());
    return fleet_control::kPlacementInterval;
  }
  this->shared.holdsLease = false;
  const std::uint64_t lost = this->placementFence.exchange(0);
  if (lost != 0) {
    this->placement.withdrawReleases();
    this->shared.releasedFence = this->lease.releaseLocally().value_or(lost);
    this->shared.metrics.set("placement_lease_held", 0);
    this->shared.log.write(LogLine{ LogPart::Lease, "lost" }.with(
      "fence", static_cast<std::int64_t>(lost)));
  }
  return fleet_control::kPlacementInterval;
}

} // namespace poplartrack
