// Lost and busy replicas, as published for other threads.

#include <algorithm>
#include <set>
#include <utility>

#include "RelayLoopImpl.h"

namespace poplartrack {

/**
 * Updates the shared map of lost replicas. For each replica, it says whether
 * the loss is certain; a replica that only this relay cannot reach is not
 * certainly lost. Replicas that are slow, or have restarted, count as lost.
 */
void
RelayLoop::Impl::publishLostReplicas()
{
  RelayShared::LostReplicas lost;
  for (const std::string& replica : this->health.deadReplicas(this->now)) {
    lost.emplace(replica, false);
  }
  for (const std::string& replica : this->health.blockedOn(this->now)) {
    lost.insert_or_assign(replica, true);
  }
  for (const auto& [replica, slowdown] : this->health.degraded()) {
    lost.insert_or_assign(replica, true);
  }
  for (const std::string& replica : this->reports.slow()) {
    lost.insert_or_assign(replica, true);
  }
  for (const auto& [replica, since] : this->drainState.restarted) {
    lost.insert_or_assign(replica, true);
  }
  std::set<std::string> unreachable = this->health.deadReplicas(this->now);
  for (const std::string& replica : this->reports.suspects()) {
    if (this->isLost(replica)) {
      lost.insert_or_assign(replica, true);
      unreachable.insert(replica);
    }
  }
  this->recordLosses(unreachable);
  this->announceLosses();
  const auto before = this->shared.lostReplicas.read();
  if (*before == lost) {
    return;
  }
  this->shared.lostReplicas.replace(
    std::make_shared<const RelayShared::LostReplicas>(lost));
  for (const auto& [replica, certain] : lost) {
    const auto known = before->find(replica);
    if (known != before->end() && known->second == certain) {
      continue;
    }
    this->logLoss(replica, certain);
    if (certain) {
      this->rearmStallTimers(replica);
    }
  }
}

/** Returns the losses that this relay has found itself. */
LossReport
RelayLoop::Impl::ownLosses() const
{
  LossReport own;
  own.confirmed = this->health.blockedOn(this->now);
  for (const auto& [replica, since] : this->drainState.restarted) {
    own.confirmed.insert(replica);
  }
  own.unreachable = this->health.deadReplicas(this->now);
  own.slow = this->health.degraded();
  return own;
}

/** Tells the other relays of a loss that this relay has found itself and that
 * they have not agreed on yet. Their streams through the lost replica would
 * stall until the next regular message, which is up to 200 ms away. What only
 * others have reported is not passed on: each of them tells all. */
void
RelayLoop::Impl::announceLosses()
{
  LossReport own = this->ownLosses();
  const LossReport before = std::exchange(this->sending.ownLosses, own);
  const auto isNews = [this](const std::string& aReplica, bool aWasKnown) {
    return !aWasKnown &&
           !this->reports.lost(aReplica, false, this->knownPeers.size() + 1);
  };
  const auto addsTo = [&](const auto& aNow, const auto& aBefore) {
    return std::any_of(
      aNow.begin(), aNow.end(), [&](const std::string& aReplica) {
        return isNews(aReplica, aBefore.contains(aReplica));
      });
  };
  const bool isSlowNews =
    std::any_of(own.slow.begin(), own.slow.end(), [&](const auto& aEntry) {
      return isNews(aEntry.first, before.slow.contains(aEntry.first));
    });
  if (isSlowNews || addsTo(own.confirmed, before.confirmed) ||
      addsTo(own.unreachable, before.unreachable)) {
    this->announceChange();
  }
}

/** Logs that a replica counts as lost: by which evidence and signal of this
 * relay, for how long if it shows no sign of life, and which relays report it.
 */
void
RelayLoop::Impl::logLoss(const std::string& aReplica, bool aCertain)
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const LossReports::Reporters reporters = this->reports.reporters(aReplica);
  const auto evidence = this->lossEvidenceOf(aReplica);
  const auto mark = this->health.markOf(aReplica, this->now);
  const Duration left = mark ? mark->until - this->now : Duration{ 0 };
  this->shared.log.write(
    LogLine{ LogPart::Replicas, "lost" }
      .with("replica", aReplica)
      .with("named", aCertain ? 1 : 0)
      .with("evidence", evidence ? nameOf(*evidence) : "none")
      .with("for_ms", left.count() / kMicrosPerMs)
      .with("signal", this->ownLossSignal(aReplica))
      .with("reporters", static_cast<std::int64_t>(reporters.count))
      .with("first_reporter", reporters.first)
      .with("relays", static_cast<std::int64_t>(this->knownPeers.size() + 1)));
}

/** Returns which finding of this relay itself says that a replica is lost or
 * slow; "none" if only other relays report it. */
std::string_view
RelayLoop::Impl::ownLossSignal(const std::string& aReplica) const
{
  if (this->drainState.restarted.contains(aReplica)) {
    return "restarted";
  }
  if (this->health.blockedOn(this->now).contains(aReplica)) {
    return "blocks_others";
  }
  if (this->health.dead(aReplica, this->now)) {
    return "unreachable";
  }
  if (this->health.slowdown(aReplica) >= kDegradedSlowdown) {
    return "slow";
  }
  return "none";
}

/** Publishes which replicas have requests of any relay in flight. Only the
 * holder of the placement lease needs to know. */
void
RelayLoop::Impl::publishBusyReplicas()
{
  if (!this->shared.holdsLease) {
    return;
  }
  std::set<std::string> busy;
  for (const Replica& replica : this->view->replicas) {
    if (this->loads.at(replica.id).requests > 0) {
      busy.insert(replica.id);
    }
  }
  this->shared.busyReplicas.replace(
    std::make_shared<const std::set<std::string>>(std::move(busy)));
}

} // namespace poplartrack
