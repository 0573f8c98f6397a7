// The datagrams that a relay sends to others: its status messages, those that
// it forwards, and changes of the replica list.

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <msgpack.hpp>

#include "LoopKeys.h"
#include "PeerDatagram.h"
#include "PeerStatus.h"
#include "RelayLoopImpl.h"
#include "ReplicaListUpdate.h"
#include "poplartrack/base/TcpSocket.h"
#include "poplartrack/fleet/StatusTargets.h"

namespace poplartrack {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;

/** Shares of the slowest link for regular messages with load tables, and for
 * messages about changes. */
constexpr double kTableShare = 0.15;
constexpr double kChangeShare = 0.05;

/** Changes within this time share a message. */
constexpr Duration kMinChangeInterval = std::chrono::milliseconds{ 20 };

/** Relays of other zones receive regular messages at most this often, and large
 * ones of many relays less often. The first is a little less than two intervals
 * of the messages within a zone; with the last, receivers do not forget the
 * sender when one message is lost. */
constexpr Duration kMinOtherZonesInterval = std::chrono::milliseconds{ 390 };
constexpr Duration kMaxOtherZonesInterval = std::chrono::milliseconds{ 900 };

/** Share of the slowest link that such messages of all relays together may
 * take at a receiver. */
constexpr double kOtherZonesShare = 0.12;

std::string
packed(const PeerStatus& aStatus)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aStatus);
  return { bytes.data(), bytes.size() };
}

} // namespace

/** Returns whether a status message says anything new to the relays of other
 * zones, or the last one is too long ago. */
bool
RelayLoop::Impl::goesToOtherZones(const PeerStatus& aStatus)
{
  PeerStatus content = aStatus;
  content.sentAt = 0;
  content.configAge = 0;
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, content);
  return this->statusRepeat.shouldSend({ bytes.data(), bytes.size() },
                                       this->now);
}

/** Bounds what this relay sends to others to a share of the slowest link of the
 * relays that it knows, its own included: requests and answers pass through the
 * same links. */
void
RelayLoop::Impl::updateSendRates()
{
  double slowest = this->settings.linkMbps;
  for (const auto& [address, peer] : this->knownPeers) {
    if (peer.linkMbps > 0) {
      slowest = std::min(slowest, static_cast<double>(peer.linkMbps));
    }
  }
  const double bytesPerSecond = slowest * kBytesPerMegabit;
  this->sending.slowestLink = bytesPerSecond;
  this->sending.tables.setRate(kTableShare * bytesPerSecond);
  this->sending.changes.setRate(kChangeShare * bytesPerSecond);
}

/** Returns how often a regular message of this size is sent to the relays of
 * other zones, if all relays send such messages. */
Duration
RelayLoop::Impl::otherZonesInterval(std::size_t aBytes) const
{
  constexpr double kMicrosPerSecond = 1e6;
  const double perRound =
    static_cast<double>(aBytes) * static_cast<double>(this->knownPeers.size());
  const double rate = kOtherZonesShare * this->sending.slowestLink;
  const Duration interval{ static_cast<std::int64_t>(
    rate > 0 ? perRound * kMicrosPerSecond / rate : 0) };
  return std::clamp(interval, kMinOtherZonesInterval, kMaxOtherZonesInterval);
}

/** Sends the regular status message to the other relays: with the load tables
 * if those before it are paid for, else without. The relays of this zone
 * receive each one, with the messages that this relay forwards; those of other
 * zones at most every second one, since the replicas of this zone are seldom
 * shared with them, and traffic between zones is expensive. */
void
RelayLoop::Impl::broadcastStatus()
{
  if (this->shared.peers.read()->empty()) {
    return;
  }
  const bool full = this->sending.tables.mayBegin(this->now);
  const PeerStatus status = full ? this->ownStatus() : this->ownNotice();
  const std::string bytes = packed(status);
  if (bytes.size() > kMaxStatusBytes) {
    this->shared.metrics.count("peer_words_too_large_total");
    return;
  }
  std::size_t sent = this->sendToZone(
    bytes, full ? packForwarded(this->forwardQueue, this->now) : std::string{});
  sent += this->sendToOtherZones(status, bytes);
  if (full) {
    this->sending.tables.take(sent, this->now);
  }
}

/** Sends a message to the relays of this zone, and to those of which nothing is
 * known. Returns its bytes. */
std::size_t
RelayLoop::Impl::sendToZone(std::string_view aStatus,
                            std::string_view aForwarded)
{
  const auto peers = this->shared.peers.read();
  std::size_t sent = 0;
  for (const Address& peer : *peers) {
    const auto known = this->knownPeers.find(peer);
    if (this->sending.silentElsewhere.contains(peer)) {
      sent += this->sendDatagram(peer, aStatus);
    } else if (known == this->knownPeers.end() ||
               known->second.zone == this->settings.zone) {
      sent += this->sendDatagram(peer, aStatus, aForwarded);
    }
  }
  this->shared.metrics.count("status_bytes_zone_total", sent);
  return sent;
}

/** Sends a regular status message to the relays of other zones if it is due
 * there. Returns the bytes sent. */
std::size_t
RelayLoop::Impl::sendToOtherZones(const PeerStatus& aStatus,
                                  std::string_view aBytes)
{
  const bool full = aStatus.format == kPeerStatusFormat;
  const bool watched = aStatus.polls || aStatus.holdsLease;
  std::size_t sent = 0;
  if (watched &&
      this->now - this->sending.otherZonesNoticeAt >= kMinOtherZonesInterval) {
    // The silence of a store reader or lease holder is noticed within a second.
    sent += this->sendElsewhere(
      full ? packed(this->ownNotice()) : std::string{ aBytes }, true);
    this->sending.otherZonesNoticeAt = this->now;
  }
  const Duration silence = this->now - this->sending.otherZonesAt;
  const bool due = full ? silence >= this->otherZonesInterval(aBytes.size()) &&
                            this->goesToOtherZones(aStatus)
                        : silence >= StatusRepeat::kInterval && !watched;
  if (due) {
    sent += this->sendElsewhere(aBytes, aBytes.size() > kMaxForwardableBytes);
    this->sending.otherZonesAt = this->now;
  }
  return sent;
}

/** Tells the other relays of a change that protects replicas before the next
 * regular message. Changes that come in quick succession share a message. */
void
RelayLoop::Impl::announceChange()
{
  if (!this->sending.changeDue) {
    this->sending.changeDue =
      std::max(this->now, this->sending.changeSentAt + kMinChangeInterval);
    this->timers.arm(kChangeTimerKey, *this->sending.changeDue);
  }
}

/** Sends the changes that are due to all other relays, unless so many have been
 * sent that the next regular message must do. */
void
RelayLoop::Impl::sendChanges()
{
  this->sending.changeDue.reset();
  if (!this->sending.changes.mayBegin(this->now)) {
    this->shared.metrics.count("changes_left_to_regular_messages_total");
    return;
  }
  this->sending.changeSentAt = this->now;
  ++this->peerTraffic.changesSent;
  this->shared.metrics.count("changes_sent_total");
  const std::string bytes = packed(this->ownNotice());
  if (bytes.size() > kMaxStatusBytes) {
    this->shared.metrics.count("peer_words_too_large_total");
    return;
  }
  std::size_t sent = this->sendToZone(bytes, {});
  sent += this->sendElsewhere(bytes, true);
  this->sending.changes.take(sent, this->now);
}

/** Sends the status message to the known relays of other zones: to each
 * directly, or to those that forward it. Returns its bytes. */
std::size_t
RelayLoop::Impl::sendElsewhere(std::string_view aStatus, bool aDirect)
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
  return sent;
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
  PeerEcho echo;
  if (known != this->knownPeers.end()) {
    echo = known->second.echo;
    echo.heldFor = (this->clock() - known->second.receivedAt).count();
  }
  msgpack::sbuffer bytes;
  bytes.write(aDatagram.data(), aDatagram.size());
  msgpack::pack(bytes, echo);
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
