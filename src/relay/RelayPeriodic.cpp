// The periodic tasks of the loop: expiry of old state, a new replica list, and
// what is published and sent on a schedule.

#include <algorithm>
#include <chrono>
#include <utility>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** A relay that has sent no status message for this long is no longer a known
 * peer. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

/** How long the restart of a replica is remembered. By then no relay has a list
 * from before the restart, and no stream through the replica is left. */
constexpr Duration kRestartRecordTtl = std::chrono::seconds{ 20 };

/** Smallest number of relays that the retry budgets assume: the list of relays
 * may not have been read yet. */
constexpr std::size_t kMinAssumedRelays = 4;

/** Number of relays that the retry budgets assume while this relay does not
 * know its peers yet: the largest region. With the few that it knows, each of
 * many relays that start at once would take the slack of all. */
constexpr std::size_t kLargestRegion = 1'000;

} // namespace

/** Switches to the latest replica list and drops what is kept for replicas that
 * have exited. */
void
RelayLoop::Impl::refreshReplicas()
{
  const auto latest = this->shared.replicas.read();
  if (latest == this->view) {
    return;
  }
  this->detectRestarts(*latest);
  this->recordDraining(*latest);
  this->view = latest;
  this->expireDrainReports();
  std::set<std::string> listed;
  for (const Replica& replica : latest->replicas) {
    listed.insert(replica.id);
  }
  this->recentReplicas.onList(listed, this->now);
  const std::set<std::string> kept = this->recentReplicas.ids();
  this->health.keepOnly(kept);
  this->health.setListed(listed.size());
  this->outliers.setListed(listed.size());
  this->reports.setListed(listed.size());
  this->outliers.keepOnly(kept);
  this->lossProbeState.suspects.keepOnly(kept);
  this->lossProbeState.rechecks.keepOnly(kept);
  std::erase_if(
    this->lossProbeState.rechecked,
    [&](const std::string& aReplica) { return !kept.contains(aReplica); });
  std::erase_if(
    this->outageProbeState.unanswered,
    [&](const std::string& aReplica) { return !kept.contains(aReplica); });
  std::erase_if(this->crashState.exited, [&](const std::string& aReplica) {
    return !kept.contains(aReplica);
  });
  this->replicaLimits.keepOnly(kept);
  this->forgetDrainAnnouncements(kept);
  std::erase_if(this->reportRequestedAt, [&](const auto& aEntry) {
    return !kept.contains(aEntry.first);
  });
  this->confirmCrashes();
}

/** Logs how many new connections were closed unread since the last time. */
void
RelayLoop::Impl::logTurnedAway()
{
  const std::uint32_t count = std::exchange(this->turnedAway, 0);
  if (count == 0) {
    return;
  }
  constexpr double kMilli = 1000;
  this->shared.log.write(
    LogLine{ LogPart::Request, "turned_away" }
      .with("channels", static_cast<std::int64_t>(count))
      .with("load_milli",
            static_cast<std::int64_t>(this->loopLoad.value() * kMilli)));
}

/** Expires old state, publishes what other threads need, checks slow and
 * draining replicas, sends the status message and closes expired idle
 * connections. Sets the metrics once a second. */
void
RelayLoop::Impl::runPeriodicTasks()
{
  constexpr std::uint32_t kRunsPerSecond = 5;
  this->refreshReplicas();
  this->loads.expirePeers(this->now);
  this->refreshAccounts();
  std::erase_if(this->knownPeers, [this](const auto& aEntry) {
    const bool silent = this->now - aEntry.second.receivedAt > kPeerTimeout;
    if (silent) {
      this->shared.peerSilentAt = this->now.time_since_epoch().count();
      if (aEntry.second.zone != this->settings.zone) {
        this->sending.silentElsewhere.insert(aEntry.first);
      }
      this->links.forget(
        incarnationName(aEntry.first, aEntry.second.echo.incarnation));
    }
    return silent;
  });
  this->updateLimitShares();
  this->expireBackoffs();
  this->refreshReturns();
  this->updateStorePolling();
  this->updateOutageView();
  this->reports.expire(this->now);
  this->expireEjections();
  this->expireDrainReports();
  std::erase_if(this->drainState.restarted, [this](const auto& aEntry) {
    return this->now - aEntry.second > kRestartRecordTtl;
  });
  this->publishLostReplicas();
  this->refreshQuarantine();
  this->publishBusyReplicas();
  this->refreshDemand();
  this->refreshReleases();
  const std::size_t minRelays =
    this->isSettling() ? kLargestRegion : kMinAssumedRelays;
  this->budgets.setRelays(
    std::max(this->shared.peers.read()->size() + 1, minRelays));
  this->requestSlowReplicaReports();
  this->recheckSuspects();
  this->probeListedReplicas();
  this->moveOffDraining();
  this->updateSendRates();
  this->broadcastStatus();
  this->refreshHeld();
  this->beginBulkPeriod();
  this->closeExpiredIdle(this->now);
  this->shared.log.flush();
  if (this->periodicRuns++ % kRunsPerSecond == 0) {
    this->logTraffic();
    this->logTurnedAway();
    Metrics& metrics = this->shared.metrics;
    metrics.set("callers_open",
                static_cast<std::int64_t>(this->callers.size()));
    metrics.set("replica_connections_open",
                static_cast<std::int64_t>(this->connections.size()));
    metrics.set("requests_open",
                static_cast<std::int64_t>(this->exchanges.size()));
    metrics.set("log_lines_left_out",
                static_cast<std::int64_t>(this->shared.log.dropped()));
  }
}

} // namespace poplartrack
