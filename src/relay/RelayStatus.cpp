// The datagrams that a relay sends to others: its status messages, those that
// it forwards, and changes of the replica list.

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <msgpack.hpp>

#include "PeerDatagram.h"
#include "PeerStatus.h"
#include "RelayLoopImpl.h"
#include "ReplicaListUpdate.h"
#include "poplartrack/base/TcpSocket.h"
#include "poplartrack/fleet/StatusTargets.h"
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

/** Returns this relay's current status message. */
PeerStatus
RelayLoop::Impl::ownStatus()
{
  PeerStatus status;
  status.incarnation = this->ownIncarnation;
  status.zone = this->settings.zone;
  status.sentAt = this->shared.clock.now().time_since_epoch().count();
  for (const auto& [replica, load] : this->loads.own()) {
    status.loads.push_back(
      LoadRow{ replica,
               load.requests,
               static_cast<std::uint32_t>(std::max(0.0, load.tokenLayers)),
               static_cast<std::uint32_t>(load.prefillTokens),
               load.pathStarts,
               0 });
  }
  for (const std::string& replica : this->health.blockedOn(this->now)) {
    status.lost.push_back(replica);
  }
  for (const auto& [replica, since] : this->drainState.restarted) {
    status.lost.push_back(replica);
  }
  for (const std::string& replica : this->drainingReplicas()) {
    status.draining.push_back(replica);
  }
  for (const std::string& replica : this->health.deadReplicas(this->now)) {
    status.unreachable.push_back(replica);
  }
  status.slow = this->health.degraded();
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
  for (const auto& [zones, bytes] : this->links.own()) {
    status.links.push_back(
      LinkRow{ zones.first, zones.second, bytes / kBytesPerKilobyte });
  }
  this->addCrashes(status);
  this->addLimits(status);
  this->addReturns(status);
  this->addDrainAnnouncements(status);
  this->addEjected(status);
  this->addDemand(status);
  this->addReleases(status);
  this->addAccounts(status);
  status.linkMbps = toWholeMbps(this->settings.linkMbps);
  status.forwards = true;
  return status;
}

/** Returns whether a status message goes to the relays of other zones as well.
 * Store readers and the holder of the lease always send it: the others detect
 * within a second or so that one of them is gone. */
bool
RelayLoop::Impl::goesToOtherZones(const PeerStatus& aStatus)
{
  if (aStatus.polls || aStatus.holdsLease) {
    return true;
  }
  PeerStatus content = aStatus;
  content.sentAt = 0;
  content.configAge = 0;
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, content);
  return this->statusRepeat.shouldSend({ bytes.data(), bytes.size() },
                                       this->now);
}

/** Sends the status message to the other relays. Those of this zone receive
 * each one, with the messages that this relay forwards. Unless something has
 * changed, relays of other zones receive at most every second one: the replicas
 * of this zone are seldom shared with them, and traffic between zones is
 * expensive. */
void
RelayLoop::Impl::broadcastStatus(bool aChanged)
{
  const auto peers = this->shared.peers.read();
  if (peers->empty()) {
    return;
  }
  if (aChanged) {
    ++this->peerTraffic.changesSent;
  }
  const PeerStatus status = this->ownStatus();
  msgpack::sbuffer packed;
  msgpack::pack(packed, status);
  const std::string_view bytes{ packed.data(), packed.size() };
  if (bytes.size() > kMaxStatusBytes) {
    this->shared.metrics.count("peer_words_too_large_total");
    return;
  }
  const std::string forwarded = packForwarded(this->forwardQueue, this->now);
  std::size_t sent = 0;
  for (const Address& peer : *peers) {
    const auto known = this->knownPeers.find(peer);
    if (known == this->knownPeers.end() ||
        known->second.zone == this->settings.zone) {
      sent += this->sendDatagram(peer, bytes, forwarded);
    }
  }
  this->shared.metrics.count("status_bytes_zone_total", sent);
  if (aChanged ||
      (this->periodicRuns % 2 == 0 && this->goesToOtherZones(status))) {
    // Changes that protect replicas do not wait for a forwarder, and the
    // silence of a store reader or lease holder is noticed within a second.
    this->sendToOtherZones(bytes,
                           aChanged || status.polls || status.holdsLease ||
                             bytes.size() > kMaxForwardableBytes);
  }
}

/** Sends the status message to the known relays of other zones: to each
 * directly, or to those that forward it. */
void
RelayLoop::Impl::sendToOtherZones(std::string_view aStatus, bool aDirect)
{
  std::vector<RemoteRelay> relays;
  for (const auto& [address, peer] : this->knownPeers) {
    if (peer.zone != this->settings.zone) {
      relays.push_back(
        RemoteRelay{ address, peer.zone, peer.forwards && !aDirect });
    }
  }
  const StatusTargets targets = chooseStatusTargets(this->localPeers, relays);
  std::size_t sent = 0;
  for (const Address& relay : targets.direct) {
    sent += this->sendDatagram(relay, aStatus);
  }
  const std::string request = packForwardRequest();
  for (const Address& relay : targets.forwarders) {
    sent += this->sendDatagram(relay, aStatus, request);
  }
  this->shared.metrics.count("status_bytes_other_zones_total", sent);
}

/** Sends a datagram, followed by the PeerEcho for its addressee and a packed
 * ForwardSection, if any. Returns its size in bytes. */
std::size_t
RelayLoop::Impl::sendDatagram(const Address& aPeer,
                              std::string_view aDatagram,
                              std::string_view aSection)
{
  const auto address = toSocketAddress(aPeer);
  if (!address) {
    return 0;
  }
  const auto known = this->knownPeers.find(aPeer);
  msgpack::sbuffer bytes;
  bytes.write(aDatagram.data(), aDatagram.size());
  msgpack::pack(
    bytes, known == this->knownPeers.end() ? PeerEcho{} : known->second.echo);
  bytes.write(aSection.data(), aSection.size());
  this->peerTraffic.onSent(bytes.size());
  // Errors are ignored: the next datagram replaces a lost one.
  static_cast<void>(::sendto(this->peerSocket.get(),
                             bytes.data(),
                             bytes.size(),
                             MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr*>(&*address),
                             sizeof *address));
  return bytes.size();
}

/** Logs what this relay exchanged with others in the last second. */
void
RelayLoop::Impl::logTraffic()
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const PeerTraffic traffic = std::exchange(this->peerTraffic, {});
  const auto signedOf = [](std::uint64_t aValue) {
    return static_cast<std::int64_t>(aValue);
  };
  LogLine line{ LogPart::Peers, "traffic" };
  line.with("sent_bytes", signedOf(traffic.sentBytes))
    .with("sent", signedOf(traffic.sentDatagrams))
    .with("received_bytes", signedOf(traffic.receivedBytes))
    .with("received", signedOf(traffic.receivedDatagrams))
    .with("changes", signedOf(traffic.changesSent))
    .with("known", signedOf(this->knownPeers.size()));
  if (traffic.shortestEcho) {
    line.with("echo_ms", traffic.shortestEcho->count() / kMicrosPerMs);
  }
  this->shared.log.write(line);
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

/** Sends changes of the replica list to the relays of this zone; every zone has
 * its own store readers. A relay that misses the datagram learns the version of
 * the list from a status message and reads the list itself. */
void
RelayLoop::Impl::sendListDelta(const ReplicaListDelta& aDelta)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, toListUpdate(aDelta));
  if (bytes.size() > kMaxStatusBytes) {
    this->shared.metrics.count("list_words_too_large_total");
    return;
  }
  for (const auto& [address, peer] : this->knownPeers) {
    if (peer.zone == this->settings.zone) {
      this->sendDatagram(address, { bytes.data(), bytes.size() });
    }
  }
}

} // namespace poplartrack
