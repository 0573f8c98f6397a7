// Replicas that leave: which do, and moving their streams before they end.

#include <algorithm>
#include <map>
#include <vector>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** A leaving replica takes no new work and serves on for the drain time at
 * least. What it runs is moved after this part of it, when its neighbours have
 * had the time to take its layers over. */
constexpr int kDrainNoticePart = 2;

/** What another relay told of leaving replicas holds for this many times the
 * bound on leaving replicas after it was told last: by then the own list has
 * caught up, or the replica is gone. */
constexpr int kDrainReportBounds = 2;

/** By then it is gone, and with it all that it ran. */
constexpr Duration kDrainingForgotten = std::chrono::seconds{ 20 };

/** A stream that ends in this time is left where it is. */
constexpr Duration kNearlyDone = std::chrono::milliseconds{ 1'000 };

/** Streams that are moved in one round of regular work: at five rounds a second
 * the thirty that a relay has at one replica are moved in a second or so. */
constexpr std::size_t kMovesAtOnce = 5;

} // namespace

/** Notes which replicas have begun to leave, or were taken off the list. Those
 * that started again are not among them: nothing of theirs is left to move in
 * time. */
void
RelayLoop::Impl::noteDraining(const ReplicaView& aLatest)
{
  std::map<std::string, bool> drains;
  for (const Replica& replica : aLatest.replicas) {
    drains.emplace(replica.id, replica.draining);
    if (!replica.draining) {
      // It had lapsed while the store was away, and is back.
      this->drainingSince.erase(replica.id);
    }
  }
  for (const Replica& replica : this->view->replicas) {
    const auto found = drains.find(replica.id);
    const bool leaves = found == drains.end() || found->second;
    if (leaves && !this->restartedReplicas.contains(replica.id)) {
      this->drainingSince.try_emplace(replica.id, this->now);
    }
  }
  std::erase_if(this->drainingSince, [this](const auto& aEntry) {
    return this->now - aEntry.second > kDrainingForgotten;
  });
}

/** Notes replicas whose endpoint is listed with a later start. */
void
RelayLoop::Impl::noteRestarted(const ReplicaView& aLatest)
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
 * The endpoint has started again: the replica that it was is gone with all that
 * ran there, and streams through it move at once. Taken for the one that it
 * was, it was sent paths through layers that it does not hold, and streams
 * stood still until the 2.5 s were over after which the others give them up.
 */
void
RelayLoop::Impl::endIncarnation(const std::string& aReplica)
{
  if (!this->restartedReplicas.try_emplace(aReplica, this->now).second) {
    return;
  }
  this->shared.metrics.count("replica_restarts_total");
  this->shared.log.write(
    LogLine{ LogPart::Replicas, "restarted" }.with("replica", aReplica));
  this->drainingSince.erase(aReplica);
  // Not from here: a request that looks for a path may have brought the list.
  this->post([this, aReplica] { this->onFaultyReplica(aReplica); });
}

/** Replicas that leave, or were taken off the list lately. */
std::set<std::string>
RelayLoop::Impl::drainingReplicas() const
{
  std::set<std::string> draining;
  for (const auto& [replica, since] : this->drainingSince) {
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
 * Takes over which replicas leave from a relay that has a newer list. A look at
 * the list may wait on a connection that has fallen silent: one relay's list
 * stood still for 5 s, and a plain replica that had left was sent a request
 * 3.4 s after its word, bound 3 s. Others had the news and told only that they
 * had some.
 */
void
RelayLoop::Impl::onPeerDraining(const PeerStatus& aStatus)
{
  if (aStatus.list <= this->view->changed) {
    return;
  }
  for (const std::string& replica : aStatus.draining) {
    this->peerDrainReports.insert_or_assign(
      replica, PeerDrainReport{ aStatus.list, this->now });
  }
}

/** Drops what the own list tells by now, and what is too old. */
void
RelayLoop::Impl::expireDrainReports()
{
  std::erase_if(this->peerDrainReports, [this](const auto& aEntry) {
    const PeerDrainReport& report = aEntry.second;
    return report.list <= this->view->changed ||
           this->now - report.receivedAt >
             this->settings.drain * kDrainReportBounds;
  });
}

/** Whether the replica takes no new work, as this relay's list says or that of
 * another one which has a newer list. */
bool
RelayLoop::Impl::leaves(const Replica& aReplica) const
{
  return aReplica.draining || this->peerDrainReports.contains(aReplica.id);
}

/** Whether the request runs through a replica that will be gone before it has
 * ended, as far as can be told, and may be moved. */
bool
RelayLoop::Impl::usesDrainingReplica(const Exchange& aExchange) const
{
  if (!aExchange.streaming || aExchange.connection == 0) {
    return false;
  }
  const auto& parts = aExchange.path.parts;
  const bool leaves =
    std::any_of(parts.begin(), parts.end(), [this](const PathPart& aPart) {
      const auto found = this->drainingSince.find(aPart.replica);
      return found != this->drainingSince.end() &&
             this->now - found->second >=
               this->settings.drain / kDrainNoticePart;
    });
  const double left =
    aExchange.need.answer - static_cast<double>(aExchange.events) *
                              static_cast<double>(kTokensPerEvent);
  const auto rest = Duration{ static_cast<std::int64_t>(
    std::max(left, 0.0) *
    static_cast<double>(aExchange.path.perToken.count())) };
  return leaves && rest > kNearlyDone;
}

/**
 * Moves streams off replicas that leave. A leaving replica serves on for some
 * seconds and then ends, in the middle of streams that last longer: their
 * callers saw the answer break off although all of it was planned. A few are
 * moved at a time, since each is read again elsewhere.
 */
void
RelayLoop::Impl::moveOffDraining()
{
  if (this->drainingSince.empty()) {
    return;
  }
  std::vector<std::uint64_t> moving;
  for (const auto& [id, exchange] : this->exchanges) {
    if (moving.size() < kMovesAtOnce && this->usesDrainingReplica(*exchange)) {
      moving.push_back(id);
    }
  }
  for (const std::uint64_t id : moving) {
    this->repair(*this->exchanges.at(id), true);
  }
}

} // namespace poplartrack
