// The socket for datagrams between relays, and what is received on it.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include "PeerDatagram.h"
#include "PeerStatus.h"
#include "RelayLoopImpl.h"
#include "ReplicaListUpdate.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {
namespace {

/** Returns the bytes that the sender has sent over each zone link. */
LinkTotals
linkTotalsOf(const PeerStatus& aStatus)
{
  LinkTotals totals;
  for (const LinkRow& row : aStatus.links) {
    totals.emplace(zonePair(row.firstZone, row.secondZone),
                   row.kilobytes * kBytesPerKilobyte);
  }
  return totals;
}

/** Returns the sender's work in flight at each replica. */
LoadTable
loadTableOf(const PeerStatus& aStatus)
{
  LoadTable table;
  for (const LoadRow& row : aStatus.loads) {
    table.emplace(row.replica,
                  ReplicaLoad{ row.requests,
                               static_cast<double>(row.tokenLayers),
                               static_cast<double>(row.prefillTokens),
                               row.pathStarts,
                               std::min(row.outsideRelease, row.requests) });
  }
  return table;
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

/** Records how long a message of this relay and its echo were under way. */
void
RelayLoop::Impl::recordRoundTrip(const PeerEcho& aEcho)
{
  if (aEcho.incarnation != this->ownIncarnation || aEcho.heldFor < 0) {
    return;
  }
  const Duration roundTrip = this->shared.clock.now().time_since_epoch() -
                             Duration{ aEcho.sentAt } -
                             Duration{ aEcho.heldFor };
  this->peerTraffic.onEcho(roundTrip);
  this->ownLink.onEcho(roundTrip, this->now);
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
  this->recordRoundTrip(aEcho);
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
  if (!isKnownFormat(status) || status.incarnation == this->ownIncarnation) {
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
  this->sending.silentElsewhere.erase(aFrom);
  this->knownPeers[aFrom] = PeerState{ { aStatus.incarnation, aStatus.sentAt },
                                       aStatus.zone,
                                       aReceivedAt,
                                       aStatus.polls,
                                       aStatus.pollsFail,
                                       aStatus.linkMbps,
                                       aStatus.forwards,
                                       aStatus.holdsLease };
  if (aStatus.holdsLease) {
    this->shared.peerHoldsLease = true;
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
  this->onPeerDraining(aStatus, toText(aFrom));
  this->onPeerCrashes(aStatus);
  this->onPeerLimits(aStatus);
  const std::string peer = toText(aFrom);
  this->outliers.onPeer(peer, aStatus.ejected, this->now);
  // Counts are kept by incarnation: a process that restarts at the same address
  // begins at zero, and what its predecessor spent still counts.
  const std::string incarnation = incarnationName(aFrom, aStatus.incarnation);
  for (const RetryRow& row : aStatus.retries) {
    this->budgets.of(row.service)
      .onPeer(incarnation, RetryCounts{ row.requests, row.retries }, this->now);
  }
  this->onPeerReleases(aStatus, peer);
  if (aStatus.format == kPeerStatusFormat) {
    this->onPeerReturns(aStatus, aReceivedAt);
    this->links.onPeer(incarnation, linkTotalsOf(aStatus), this->now);
    this->loads.onPeer(peer, loadTableOf(aStatus), this->now);
    this->onPeerDemand(aStatus, peer);
    this->onPeerAccounts(aStatus, peer);
  }
  LossReport report{ { aStatus.lost.begin(), aStatus.lost.end() },
                     { aStatus.unreachable.begin(), aStatus.unreachable.end() },
                     aStatus.slow };
  this->lossProbeState.suspects.onPeer(this->now);
  const LossReportChange change =
    this->reports.onPeer(peer, std::move(report), this->now);
  if (change.differs) {
    this->publishLostReplicas();
    this->onLossesWithdrawn(change.withdrawn);
    // A late stream may pass through a replica that the peer cannot reach.
    this->scheduleLossCheck(this->now);
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
    this->peerTraffic.onReceived(static_cast<std::size_t>(count));
    this->readDatagram(
      bytes.data(), static_cast<std::size_t>(count), fromSocketAddress(from));
  }
}

} // namespace poplartrack
