// What the status messages of a relay say, and which relays poll the store.

#include <algorithm>

#include "PeerStatus.h"
#include "RelayLoopImpl.h"
#include "poplartrack/fleet/StoreReaders.h"

namespace poplartrack {

namespace {

/** Time after which a relay that joined through a contact has received status
 * messages of the relays that the contact named: it sends its own to them
 * within one interval, they answer within the next one, and either may be lost.
 */
constexpr Duration kSettleTime = std::chrono::milliseconds{ 1'000 };

/** A store reader that has sent no status message for this long, three
 * intervals within its zone, no longer counts as one: another relay polls in
 * its place. */
constexpr Duration kReaderTimeout = std::chrono::milliseconds{ 700 };

/** Rounds a link rate for status messages; 0 would mean that it is unknown. */
std::uint32_t
toWholeMbps(double aMbps)
{
  return static_cast<std::uint32_t>(std::max(1.0, aMbps));
}

} // namespace

/** Returns what protects replicas and callers, without the load tables: a
 * message that is small however large the fleet is. */
PeerStatus
RelayLoop::Impl::ownNotice()
{
  PeerStatus status;
  status.format = kPeerNoticeFormat;
  status.incarnation = this->ownIncarnation;
  status.zone = this->settings.zone;
  status.sentAt = this->shared.clock.now().time_since_epoch().count();
  const LossReport losses = this->ownLosses();
  status.lost.assign(losses.confirmed.begin(), losses.confirmed.end());
  status.unreachable.assign(losses.unreachable.begin(),
                            losses.unreachable.end());
  status.slow = losses.slow;
  for (const std::string& replica : this->drainingReplicas()) {
    status.draining.push_back(replica);
  }
  const ProvenConfig proven = this->provenConfig();
  status.config = proven.config ? proven.config->version : 0;
  status.configAge =
    proven.proofAge == Duration::max() ? -1 : proven.proofAge.count();
  status.list = this->view->lastChange;
  status.polls = this->shared.polls && !this->shared.joining;
  status.pollsFail = this->shared.pollsFail;
  status.holdsLease = this->shared.holdsLease;
  status.releasedFence = this->shared.releasedFence;
  for (auto& [service, budget] : this->budgets.all()) {
    const RetryCounts counts = budget.own(this->now);
    status.retries.push_back(
      RetryRow{ service, counts.requests, counts.retries });
  }
  this->addQuarantine(status);
  this->addLimits(status);
  this->addDrainAnnouncements(status);
  this->addEjected(status);
  this->addReleases(status);
  status.linkMbps = toWholeMbps(this->settings.linkMbps);
  status.forwards = true;
  return status;
}

/** Returns this relay's current status message. */
PeerStatus
RelayLoop::Impl::ownStatus()
{
  PeerStatus status = this->ownNotice();
  status.format = kPeerStatusFormat;
  for (const auto& [replica, load] : this->loads.own()) {
    status.loads.push_back(
      LoadRow{ replica,
               load.requests,
               static_cast<std::uint32_t>(std::max(0.0, load.tokenLayers)),
               static_cast<std::uint32_t>(load.prefillTokens),
               load.pathStarts,
               0 });
  }
  this->addOutsideReleases(status);
  for (const auto& [zones, bytes] : this->links.own()) {
    status.links.push_back(
      LinkRow{ zones.first, zones.second, bytes / kBytesPerKilobyte });
  }
  this->addCrashes(status);
  this->addReturns(status);
  this->addDemand(status);
  this->addAccounts(status);
  return status;
}

/** Returns whether this relay joined too recently to know which of its peers
 * poll the store. If it decided now, it would take itself for the only relay
 * and read everything again. */
bool
RelayLoop::Impl::isSettling() const
{
  if (this->shared.joining) {
    return true;
  }
  const TimePoint joined{ Duration{ this->shared.joinedPeersAt.load() } };
  return joined != TimePoint{} &&
         this->shared.clock.now() - joined < kSettleTime;
}

/** Decides whether this relay polls the store. Also publishes the number of
 * other store readers, and the time when all of them report the store as
 * unavailable. */
void
RelayLoop::Impl::updateStorePolling()
{
  if (this->isSettling()) {
    return;
  }
  std::vector<StoreReader> activePeers;
  for (const auto& [address, peer] : this->knownPeers) {
    if (this->now - peer.receivedAt < kReaderTimeout) {
      activePeers.push_back(StoreReader{
        address, peer.zone, peer.polls, peer.pollsFail, peer.linkMbps });
    }
  }
  const StoreReader own{ this->localPeers,
                         this->settings.zone,
                         this->shared.polls,
                         this->shared.pollsFail,
                         toWholeMbps(this->settings.linkMbps) };
  const bool polls = shouldPoll(own, activePeers);
  if (this->shared.polls.exchange(polls) != polls) {
    this->shared.metrics.set("store_reader", polls ? 1 : 0);
    this->shared.log.write(
      LogLine{ LogPart::Store, polls ? "reads" : "hears" }
        .with("relays", static_cast<std::int64_t>(activePeers.size()))
        .with("last_look_failed", own.pollsFail ? 1 : 0));
  }
  this->shared.storeReaders = static_cast<std::size_t>(std::count_if(
    activePeers.begin(), activePeers.end(), [](const StoreReader& aOther) {
      return aOther.polls;
    }));
  if (storeIsUnavailable(activePeers)) {
    this->shared.peersSawOutageAt =
      this->shared.clock.now().time_since_epoch().count();
  }
}

} // namespace poplartrack
