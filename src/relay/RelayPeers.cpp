// Datagrams between relays: status messages and replica list updates.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <msgpack.hpp>

#include "PeerDatagram.h"
#include "PeerStatus.h"
#include "RelayLoopImpl.h"
#include "ReplicaListUpdate.h"
#include "poplartrack/base/TcpSocket.h"
#include "poplartrack/fleet/StatusTargets.h"

namespace poplartrack {

namespace {

/** Time after which a relay that joined through a contact has received status
 * messages of the relays that the contact named: it sends its own to them
 * within one interval, they answer within the next one, and either may be lost.
 */
constexpr Duration kSettleTime = std::chrono::milliseconds{ 1'000 };

constexpr std::uint64_t kBytesPerKilobyte = 1'000;

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

/** Opens the socket for datagrams. */
Result<Done>
RelayLoop::Impl::openPeers()
{
  OwnedFd fd{ ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) };
  const auto address = toSocketAddress(this->settings.peers);
  if (!fd.valid() || !address ||
      ::bind(fd.get(),
             reinterpret_cast<const sockaddr*>(&*address),
             sizeof *address) != 0) {
    return fail(ErrorKind::Network,
                "datagrams on " + toText(this->settings.peers) + ": " +
                  std::generic_category().message(errno));
  }
  const Result<Address> bound = localAddress(fd.get());
  if (!bound) {
    return bound.error();
  }
  this->localPeers = bound.value();
  this->peerSocket = std::move(fd);
  return Done{};
}

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
               load.pathStarts });
  }
  for (const std::string& replica : this->health.blockedOn(this->now)) {
    status.lost.push_back(replica);
  }
  for (const auto& [replica, since] : this->restartedReplicas) {
    status.lost.push_back(replica);
  }
  for (const std::string& replica : this->drainingReplicas()) {
    status.draining.push_back(replica);
  }
  for (const std::string& replica : this->health.deadReplicas(this->now)) {
    status.unreachable.push_back(replica);
  }
  status.slow = this->health.degraded();
  const auto config = this->shared.config.read();
  const Duration age = this->shared.freshness.age();
  status.config = config ? config->version : 0;
  status.configAge = age == Duration::max() ? -1 : age.count();
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
                              std::string_view aSection) const
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
  // Errors are ignored: the next datagram replaces a lost one.
  static_cast<void>(::sendto(this->peerSocket.get(),
                             bytes.data(),
                             bytes.size(),
                             MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr*>(&*address),
                             sizeof *address));
  return bytes.size();
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

/** Adds the sender of a status message to the list of relays. A relay that
 * started later is not on this relay's list yet, but has this one on its own.
 * Until all relays know each other, each polls the lease and the configuration
 * more often. These polls were a third of the store calls in the first 10 s. */
void
RelayLoop::Impl::addUnlistedPeer(const Address& aSender)
{
  // Looked up in the known peers first: the sender of nearly every message is
  // one of them, and the list is as long as the fleet is large.
  if (this->knownPeers.contains(aSender)) {
    return;
  }
  if (this->shared.addPeers({ aSender }, this->localPeers)) {
    this->shared.log.write(
      LogLine{ LogPart::Peers, "met" }.with("address", toText(aSender)));
  }
}

/**
 * Adopts another relay's freshness proof of the configuration. The sender had
 * received this relay's message with the echoed time before it sent its own.
 * Its proof is therefore from the echoed time minus the reported age, or later,
 * on this relay's clock. No clocks of different relays are compared, and a
 * message that was buffered during a suspension proves only an old state. This
 * lets relays poll the store less often: with five of them, each polling
 * every 2.5 s, the latest proof is half a second old.
 */
void
RelayLoop::Impl::applyPeerFreshness(const PeerStatus& aStatus,
                                    const PeerEcho& aEcho)
{
  if (aStatus.configAge >= 0 &&
      Duration{ aStatus.configAge } <= this->gate.maxKeyAge) {
    this->peerProvedFreshAt = this->now;
  }
  const auto config = this->shared.config.read();
  const bool same = config != nullptr && config->version == aStatus.config;
  if (!same || aEcho.incarnation != this->ownIncarnation ||
      aStatus.configAge < 0) {
    return;
  }
  const TimePoint proved{ Duration{ aEcho.sentAt - aStatus.configAge } };
  this->shared.freshness.prove(std::min(proved, this->shared.clock.now()));
}

std::string
incarnationName(const Address& aPeer, std::uint64_t aIncarnation)
{
  return toText(aPeer) + "/" + std::to_string(aIncarnation);
}

/** Returns the retry budget of the service of a request. */
SharedRetryBudget&
RelayLoop::Impl::budgetOf(const Exchange& aExchange)
{
  return this->budgets.of(
    aExchange.service == nullptr ? "" : aExchange.service->name);
}

/** Handles a datagram with a status message. Those in another format, or of
 * this relay itself, are ignored. */
void
RelayLoop::Impl::onPeerMessage(PeerMessage aMessage, const Address& aFrom)
{
  PeerStatus& status = aMessage.status;
  if (status.format != kPeerStatusFormat ||
      status.incarnation == this->ownIncarnation) {
    return;
  }
  this->addUnlistedPeer(aFrom);
  this->onPeerStatus(status, aMessage.echo, aFrom, this->now);
  if (status.zone == this->settings.zone) {
    for (ForwardedStatus& row : aMessage.forward.rows) {
      this->onForwarded(std::move(row));
    }
  } else if (aMessage.forward.wanted) {
    this->forwardQueue.push(aFrom, std::move(status), this->now);
  }
}

/** Handles a status message of another zone that a relay of this zone has
 * forwarded. Without a PeerEcho of its own it proves nothing, but this relay
 * echoes it: its sender learns that a later proof of this relay is newer. */
void
RelayLoop::Impl::onForwarded(ForwardedStatus aRow)
{
  const auto forward = checkForwarded(std::move(aRow), this->settings.zone);
  if (!forward || forward->sender == this->localPeers ||
      forward->status.incarnation == this->ownIncarnation) {
    this->shared.metrics.count("forwarded_statuses_dropped_total");
    return;
  }
  this->forwardQueue.onForwarded(forward->sender, forward->status);
  const auto known = this->knownPeers.find(forward->sender);
  if (known != this->knownPeers.end() &&
      !isNewer(known->second.echo,
               this->now - known->second.receivedAt,
               forward->status)) {
    return;
  }
  this->addUnlistedPeer(forward->sender);
  this->onPeerStatus(
    forward->status, PeerEcho{}, forward->sender, this->now - forward->age);
}

/** Applies the status message of another relay. */
void
RelayLoop::Impl::onPeerStatus(const PeerStatus& aStatus,
                              const PeerEcho& aEcho,
                              const Address& aFrom,
                              TimePoint aReceivedAt)
{
  this->knownPeers[aFrom] = PeerState{ { aStatus.incarnation, aStatus.sentAt },
                                       aStatus.zone,
                                       aReceivedAt,
                                       aStatus.polls,
                                       aStatus.pollsFail,
                                       aStatus.linkMbps,
                                       aStatus.forwards };
  if (aStatus.holdsLease) {
    this->shared.leaderSeenAt =
      this->shared.clock.now().time_since_epoch().count();
  }
  const auto updateMax = [](std::atomic<std::uint64_t>& aMax,
                            std::uint64_t aValue) {
    if (aValue > aMax) {
      aMax = aValue;
    }
  };
  updateMax(this->shared.peerConfigVersion, aStatus.config);
  updateMax(this->shared.peerListVersion, aStatus.list);
  const bool sameZone = aStatus.zone == this->settings.zone;
  (sameZone ? this->shared.configHolders : this->shared.remoteConfigHolders)
    .report(aStatus.config, aFrom);
  (sameZone ? this->shared.listHolders : this->shared.remoteListHolders)
    .report(aStatus.list, aFrom);
  if (aStatus.releasedFence > this->shared.peerReleasedFence) {
    this->shared.peerReleasedFence = aStatus.releasedFence;
    // No relay holds the lease. The next attempt to acquire it need not wait
    // until its holder has been silent for long enough.
    this->shared.leaderSeenAt = 0;
  }
  this->applyPeerFreshness(aStatus, aEcho);
  this->onPeerDraining(aStatus);
  this->onPeerCrashes(aStatus);
  this->onPeerLimits(aStatus);
  const std::string peer = toText(aFrom);
  // Counts are kept by incarnation: a process that restarts at the same address
  // begins at zero, and what its predecessor spent still counts.
  const std::string incarnation = incarnationName(aFrom, aStatus.incarnation);
  for (const RetryRow& row : aStatus.retries) {
    this->budgets.of(row.service)
      .onPeer(incarnation, RetryCounts{ row.requests, row.retries }, this->now);
  }
  LinkTotals totals;
  for (const LinkRow& row : aStatus.links) {
    totals.emplace(zonePair(row.firstZone, row.secondZone),
                   row.kilobytes * kBytesPerKilobyte);
  }
  this->links.onPeer(incarnation, totals, this->now);
  LoadTable table;
  for (const LoadRow& row : aStatus.loads) {
    table.emplace(row.replica,
                  ReplicaLoad{ row.requests,
                               static_cast<double>(row.tokenLayers),
                               static_cast<double>(row.prefillTokens),
                               row.pathStarts });
  }
  this->loads.onPeer(peer, std::move(table), this->now);
  LossReport report{ { aStatus.lost.begin(), aStatus.lost.end() },
                     { aStatus.unreachable.begin(), aStatus.unreachable.end() },
                     aStatus.slow };
  if (this->reports.onPeer(peer, std::move(report), this->now)) {
    this->publishLostReplicas();
  }
}

/** Handles a received datagram. */
void
RelayLoop::Impl::readDatagram(const char* aBytes,
                              std::size_t aSize,
                              const Address& aFrom)
{
  std::optional<PeerDatagram> datagram = parsePeerDatagram({ aBytes, aSize });
  if (!datagram) {
    this->shared.metrics.count("peer_words_unreadable_total");
    return;
  }
  if (const auto* update = std::get_if<ReplicaListUpdate>(&*datagram)) {
    if (auto delta = toListDelta(*update)) {
      this->shared.listInbox.push(std::move(*delta));
    }
    return;
  }
  this->onPeerMessage(std::move(std::get<PeerMessage>(*datagram)), aFrom);
}

/** Receives datagrams, a limited number for each event. */
void
RelayLoop::Impl::readPeers()
{
  constexpr int kMaxDatagramsPerEvent = 64;
  std::array<char, kMaxDatagramBytes> bytes;
  for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
    sockaddr_in from{};
    socklen_t fromSize = sizeof from;
    const ssize_t count = ::recvfrom(this->peerSocket.get(),
                                     bytes.data(),
                                     bytes.size(),
                                     0,
                                     reinterpret_cast<sockaddr*>(&from),
                                     &fromSize);
    if (count <= 0) {
      return;
    }
    this->readDatagram(
      bytes.data(), static_cast<std::size_t>(count), fromSocketAddress(from));
  }
}

} // namespace poplartrack
