// What replicas say of themselves in their answers: rate limits, requested
// backoffs and announced drains.

#include <algorithm>
#include <vector>

#include "HttpStatus.h"
#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

constexpr int kMisdirectedRequest = 421;

} // namespace

/** Reads the signals in the head of an answer to a request. aIsCurrent: the
 * answer belongs to the request in progress on the connection; if not, it may
 * be old, and what it lacks says nothing. */
ReplicaSignals
RelayLoop::Impl::readSignals(const ReplicaConnection& aConnection,
                             const MessageHead& aHead,
                             bool aIsCurrent)
{
  const ReplicaSignals signals =
    parseSignals({ aHead.status,
                   aHead.headers.find("retry-after"),
                   aHead.headers.find(this->names.rateLimit),
                   aHead.headers.find(this->names.draining) });
  this->recordRateLimit(
    aConnection.replica, signals, aIsCurrent && isSuccess(aHead.status));
  if (signals.hasUnreadableBackoff) {
    this->shared.metrics.count("answers_with_unreadable_retry_after_total");
  }
  if (aHead.status == kMisdirectedRequest) {
    // Another replica may have answered at the address.
    this->onSignals(aConnection.address, signals);
    return signals;
  }
  if (signals.draining) {
    this->recordOwnDrainAnnouncement(aConnection.replica);
  }
  if (!signals.backoff) {
    return signals;
  }
  this->recordBackoff(aConnection.replica, *signals.backoff);
  if (const Replica* faulty = this->faultyReplica(aHead)) {
    // The first replica of a path rejects the request for another one, and
    // passes on what that one asks for.
    this->recordBackoff(faulty->id, *signals.backoff);
  }
  return signals;
}

/** Applies the signals of an answer that came from this address. */
void
RelayLoop::Impl::onSignals(const Address& aAddress,
                           const ReplicaSignals& aSignals)
{
  std::vector<std::string> there;
  for (const Replica& replica : this->view->replicas) {
    if (replica.address == aAddress) {
      there.push_back(replica.id);
    }
  }
  for (const std::string& replica : there) {
    if (aSignals.rateLimit) {
      this->recordRateLimit(replica, aSignals, false);
    }
    if (aSignals.backoff) {
      this->recordBackoff(replica, *aSignals.backoff);
    }
  }
  // After a restart of the endpoint, the list has two incarnations at the
  // address for a while. An announcement of the old one would keep the new one
  // out of use for good.
  if (aSignals.draining && there.size() == 1) {
    this->recordOwnDrainAnnouncement(there.front());
  }
}

/** Records that a replica has announced its drain to this relay, and tells the
 * other relays. */
void
RelayLoop::Impl::recordOwnDrainAnnouncement(const std::string& aReplica)
{
  if (this->recordDrainAnnouncement(aReplica, "answer")) {
    this->announceChange();
  }
}

/** Records that a replica has announced its drain, to this relay or to another
 * one. Returns whether that is new. */
bool
RelayLoop::Impl::recordDrainAnnouncement(const std::string& aReplica,
                                         std::string_view aFrom)
{
  if (!this->drainState.announced.insert(aReplica).second) {
    return false;
  }
  this->recentReplicas.onMentioned(aReplica, this->now);
  this->drainState.since.try_emplace(aReplica, this->now);
  this->shared.announcedDrains.replace(
    std::make_shared<const std::set<std::string>>(this->drainState.announced));
  this->shared.metrics.count("replica_drains_announced_total");
  this->logDrain(aReplica, aFrom);
  return true;
}

/** Adds to a status message the announced drains that the replica list does not
 * show. A replica whose entry says that it drains needs no announcement. */
void
RelayLoop::Impl::addDrainAnnouncements(PeerStatus& aStatus) const
{
  if (this->drainState.announced.empty()) {
    return;
  }
  for (const Replica& replica : this->view->replicas) {
    if (!replica.draining && this->drainState.announced.contains(replica.id)) {
      aStatus.announcedDrains.push_back(replica.id);
    }
  }
}

/** Forgets the announcements of all other replicas. */
void
RelayLoop::Impl::forgetDrainAnnouncements(const std::set<std::string>& aKept)
{
  const auto forgotten =
    std::erase_if(this->drainState.announced, [&](const std::string& aReplica) {
      return !aKept.contains(aReplica);
    });
  if (forgotten > 0) {
    this->shared.announcedDrains.replace(
      std::make_shared<const std::set<std::string>>(
        this->drainState.announced));
  }
}

/** Records that a replica wants nothing more from this relay for a while. */
void
RelayLoop::Impl::recordBackoff(const std::string& aReplica, Duration aBackoff)
{
  this->shared.metrics.count("replica_backoffs_requested_total");
  if (!this->backoffs.onRequested(aReplica, aBackoff, this->now)) {
    return;
  }
  constexpr std::int64_t kMicrosPerMs = 1000;
  this->shared.log.write(LogLine{ LogPart::Replicas, "backoff" }
                           .with("replica", aReplica)
                           .with("ms", aBackoff.count() / kMicrosPerMs));
  this->publishBackoffs();
}

/** Publishes the backoffs to the thread that sends layer orders. */
void
RelayLoop::Impl::publishBackoffs()
{
  this->shared.metrics.set("replicas_backing_off",
                           static_cast<std::int64_t>(this->backoffs.size()));
  this->shared.backingOff.replace(
    std::make_shared<const std::set<std::string>>(this->backoffs.replicas()));
}

/** Forgets the backoffs that are over. */
void
RelayLoop::Impl::expireBackoffs()
{
  if (this->backoffs.expire(this->now)) {
    this->publishBackoffs();
  }
}

/** Returns whether the replica takes no calls of this relay for now. */
bool
RelayLoop::Impl::isBackingOff(const std::string& aReplica) const
{
  return this->backoffs.inForce(aReplica, this->now);
}

/** Returns whether the replica of an attempt, or another one of its path,
 * drains, or takes no calls of this relay for now. */
bool
RelayLoop::Impl::targetTakesNoWork(const std::string& aReplica,
                                   const LayerPath& aPath) const
{
  const auto takesNone = [this](const std::string& aId) {
    return this->isBackingOff(aId) || this->drainState.since.contains(aId) ||
           this->drainState.announced.contains(aId) ||
           this->drainState.peerReports.contains(aId);
  };
  const auto& parts = aPath.parts;
  return takesNone(aReplica) ||
         std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
           return takesNone(aPart.replica);
         });
}

/** Returns whether a replica that could serve the request takes no calls of
 * this relay for now. */
bool
RelayLoop::Impl::meetsBackoff(const Exchange& aExchange) const
{
  if (aExchange.service == nullptr) {
    return false;
  }
  const auto listed = this->view->byService.find(aExchange.service->name);
  return listed != this->view->byService.end() &&
         std::any_of(listed->second.begin(),
                     listed->second.end(),
                     [this](std::size_t aIndex) {
                       return this->isBackingOff(
                         this->view->replicas[aIndex].id);
                     });
}

} // namespace poplartrack
