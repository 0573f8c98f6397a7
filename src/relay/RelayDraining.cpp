// Draining replicas: detecting them, and moving their streams before they exit.

#include <algorithm>
#include <map>
#include <vector>

#include "RelayLoopImpl.h"
#include "poplartrack/store/StoreVersion.h"

namespace poplartrack {
namespace {

/** Divisor of the drain time. A draining replica takes no new work and
 * continues to serve for at least the drain time. Its requests are moved after
 * half of it, when neighbouring replicas have had time to load its layers. */
constexpr int kDrainNoticeDivisor = 2;

/** A peer's report of a draining replica expires after this many drain times
 * without being repeated. By then this relay's list is up to date, or the
 * replica has exited. */
constexpr int kDrainReportLifetime = 2;

/** A draining replica is forgotten after this time. By then it has exited. */
constexpr Duration kDrainingRetention = std::chrono::seconds{ 20 };

/** A stream with at most this expected remaining time is not moved. */
constexpr Duration kMaxTimeLeftUnmoved = std::chrono::milliseconds{ 1'000 };

/** Maximum number of streams that are moved in one round of regular work. At
 * five rounds a second, the thirty streams of one relay at a replica are moved
 * in about one second. */
constexpr std::size_t kMaxMovesPerRound = 5;

/** A stream that could not be moved is tried again after this time. Until then
 * the other streams of the draining replica have their turn: the same few must
 * not take all moves of each round because the new path has no memory for them.
 */
constexpr Duration kMoveRetryInterval = std::chrono::milliseconds{ 600 };

} // namespace

/** Records which replicas have begun to drain or were removed from the list.
 * Restarted replicas are left out, because their streams are already lost. */
void
RelayLoop::Impl::recordDraining(const ReplicaView& aLatest)
{
  std::map<std::string, bool> listed;
  for (const Replica& replica : aLatest.replicas) {
    listed.emplace(replica.id, replica.draining);
    if (!replica.draining && !this->drainState.announced.contains(replica.id)) {
      // Its entry had expired while the store was unavailable, and is renewed.
      this->drainState.since.erase(replica.id);
    }
  }
  for (const Replica& replica : this->view->replicas) {
    const auto found = listed.find(replica.id);
    const bool drains = found == listed.end() || found->second;
    if (drains && !this->drainState.restarted.contains(replica.id)) {
      if (this->drainState.since.try_emplace(replica.id, this->now).second) {
        this->logDrain(replica.id, found == listed.end() ? "removed" : "list");
      }
    }
  }
  std::erase_if(this->drainState.since, [this](const auto& aEntry) {
    return this->now - aEntry.second > kDrainingRetention;
  });
}

/** Logs that this relay has learned of a drain. aFrom: the address of the relay
 * that reported it, or "list", "removed" from the list, or "answer". */
void
RelayLoop::Impl::logDrain(const std::string& aReplica, std::string_view aFrom)
{
  this->shared.log.write(
    LogLine{ LogPart::Replicas, "drains" }
      .with("replica", aReplica)
      .with("from", aFrom)
      .with("list", static_cast<std::int64_t>(countOf(this->view->version))));
}

/** Detects restarted replicas: the latest list has another id for the name
 * under which they are registered. */
void
RelayLoop::Impl::detectRestarts(const ReplicaView& aLatest)
{
  std::map<std::string_view, std::string_view> latest;
  for (const Replica& replica : aLatest.replicas) {
    latest.emplace(replica.registeredAs, replica.id);
  }
  for (const Replica& replica : this->view->replicas) {
    const auto found = latest.find(replica.registeredAs);
    if (found != latest.end() && found->second != replica.id) {
      this->endIncarnation(replica.id);
    }
  }
}

/**
 * Handles a restart of the replica's process. All its work is lost, and streams
 * through it are moved at once. Without this, paths would lead through layers
 * that the new process does not hold, and streams would stall for 2.5 s until
 * the other replicas of the path abandon them.
 */
void
RelayLoop::Impl::endIncarnation(const std::string& aReplica)
{
  if (!this->drainState.restarted.try_emplace(aReplica, this->now).second) {
    return;
  }
  this->shared.metrics.count("replica_restarts_total");
  this->shared.log.write(
    LogLine{ LogPart::Replicas, "restarted" }.with("replica", aReplica));
  this->drainState.since.erase(aReplica);
  // Deferred, because the caller may be a request that is choosing its path.
  this->post([this, aReplica] { this->onFaultyReplica(aReplica); });
}

/** Returns the replicas that drain or were removed from the list recently. */
std::set<std::string>
RelayLoop::Impl::drainingReplicas() const
{
  std::set<std::string> draining;
  for (const auto& [replica, since] : this->drainState.since) {
    draining.insert(replica);
  }
  for (const Replica& replica : this->view->replicas) {
    if (replica.draining) {
      draining.insert(replica.id);
    }
  }
  return draining;
}

/**
 * Takes over the draining replicas from a relay that has a newer replica list.
 * This relay's own poll of the list may hang on a connection that has fallen
 * silent. With a list that was stale for 5 s, a relay sent a request to a plain
 * replica 3.4 s after that had announced its drain, where the bound is 3 s.
 */
void
RelayLoop::Impl::onPeerDraining(const PeerStatus& aStatus,
                                const std::string& aFrom)
{
  for (const std::string& replica : aStatus.announcedDrains) {
    this->recordDrainAnnouncement(replica, aFrom);
  }
  if (aStatus.list <= this->view->lastChange) {
    return;
  }
  for (const std::string& replica : aStatus.draining) {
    const bool isNew =
      this->drainState.peerReports
        .insert_or_assign(replica, PeerDrainReport{ aStatus.list, this->now })
        .second;
    if (isNew) {
      this->logDrain(replica, aFrom);
    }
  }
}

/** Drops the reports that this relay's own list includes, and expired ones. */
void
RelayLoop::Impl::expireDrainReports()
{
  std::erase_if(this->drainState.peerReports, [this](const auto& aEntry) {
    const PeerDrainReport& report = aEntry.second;
    return report.list <= this->view->lastChange ||
           this->now - report.receivedAt >
             this->settings.drain * kDrainReportLifetime;
  });
}

/** Returns whether the replica drains and takes no new work, according to this
 * relay's list, to a peer with a newer list or to an answer of the replica. */
bool
RelayLoop::Impl::isDraining(const Replica& aReplica) const
{
  return aReplica.draining ||
         this->drainState.peerReports.contains(aReplica.id) ||
         this->drainState.announced.contains(aReplica.id);
}

/** Returns whether a stream should be moved: a replica of its path drains and
 * is expected to exit before the stream ends. */
bool
RelayLoop::Impl::usesDrainingReplica(const Exchange& aExchange) const
{
  if (!aExchange.streaming || aExchange.connection == 0) {
    return false;
  }
  const auto& parts = aExchange.path.parts;
  const bool drains =
    std::any_of(parts.begin(), parts.end(), [this](const PathPart& aPart) {
      const auto found = this->drainState.since.find(aPart.replica);
      return found != this->drainState.since.end() &&
             this->now - found->second >=
               this->settings.drain / kDrainNoticeDivisor;
    });
  const double tokensLeft =
    aExchange.need.answer - static_cast<double>(aExchange.events) *
                              static_cast<double>(kTokensPerEvent);
  const auto remaining = Duration{ static_cast<std::int64_t>(
    std::max(tokensLeft, 0.0) *
    static_cast<double>(aExchange.path.perToken.count())) };
  return drains && remaining > kMaxTimeLeftUnmoved;
}

/**
 * Moves streams off draining replicas. A draining replica continues to serve
 * for some seconds and then exits, which would break off the streams that last
 * longer. Only a few streams are moved at a time, since each needs a new
 * prefill at another replica.
 */
void
RelayLoop::Impl::moveOffDraining()
{
  if (this->drainState.since.empty()) {
    return;
  }
  std::vector<std::uint64_t> moving;
  for (const auto& [id, exchange] : this->exchanges) {
    if (moving.size() < kMaxMovesPerRound &&
        this->now - exchange->moveTriedAt >= kMoveRetryInterval &&
        this->usesDrainingReplica(*exchange)) {
      exchange->moveTriedAt = this->now;
      moving.push_back(id);
    }
  }
  for (const std::uint64_t id : moving) {
    this->repair(*this->exchanges.at(id), true);
  }
}

} // namespace poplartrack
