// Datagrams between relays: what each has in flight, and which replicas it
// takes to be dead.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <msgpack.hpp>

#include "PeerStatus.h"
#include "RelayLoopImpl.h"
#include "ReplicaListUpdate.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {

namespace {

/** Largest datagram that is sent and taken in. */
constexpr std::size_t kMostBytes = std::size_t{ 32 } * 1024;

constexpr std::uint64_t kBytesPerKilobyte = 1'000;

/** A relay that looks at the store and was not heard for this long, three words
 * of its zone, does not count: another one looks in its place. */
constexpr Duration kReaderSilence = std::chrono::milliseconds{ 700 };

/** The number with which each datagram begins. */
std::uint32_t
formatOf(const msgpack::object& aDatagram)
{
  const bool named =
    aDatagram.type == msgpack::type::ARRAY && aDatagram.via.array.size > 0;
  return named ? aDatagram.via.array.ptr[0].as<std::uint32_t>() : 0;
}

} // namespace

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
  for (const std::string& replica : this->health.named(this->now)) {
    status.lost.push_back(replica);
  }
  for (const auto& [replica, since] : this->restartedReplicas) {
    status.lost.push_back(replica);
  }
  for (const std::string& replica : this->drainingReplicas()) {
    status.draining.push_back(replica);
  }
  for (const std::string& replica : this->health.lost(this->now)) {
    status.unreachable.push_back(replica);
  }
  status.slow = this->health.degraded();
  const auto config = this->shared.config.read();
  const Duration age = this->shared.freshness.age();
  status.config = config ? config->version : 0;
  status.configAge = age == Duration::max() ? -1 : age.count();
  status.list = this->view->changed;
  status.polls = this->shared.polls;
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
  return status;
}

/** Tells all other relays; those of other zones, unless there is news, in every
 * second round: what is told there is work at replicas that are seldom shared,
 * and bytes between zones are dear. */
void
RelayLoop::Impl::broadcastStatus(bool aChanged)
{
  const auto peers = this->shared.peers.read();
  if (peers->empty()) {
    return;
  }
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, this->ownStatus());
  if (bytes.size() > kMostBytes) {
    this->shared.metrics.count("peer_words_too_large_total");
    return;
  }
  const bool all = aChanged || this->regularCount % 2 == 0;
  for (const Address& peer : *peers) {
    const auto heard = this->knownPeers.find(peer);
    const bool near = heard == this->knownPeers.end() ||
                      heard->second.zone == this->settings.zone;
    if (all || near) {
      this->sendDatagram(peer, { bytes.data(), bytes.size() });
    }
  }
}

/** Sends the word with the peer's own echo behind it. */
void
RelayLoop::Impl::sendDatagram(const Address& aPeer,
                              std::string_view aDatagram) const
{
  const auto address = toSocketAddress(aPeer);
  if (!address) {
    return;
  }
  const auto heard = this->knownPeers.find(aPeer);
  msgpack::sbuffer bytes;
  bytes.write(aDatagram.data(), aDatagram.size());
  msgpack::pack(
    bytes, heard == this->knownPeers.end() ? PeerEcho{} : heard->second.echo);
  // A datagram that is lost is followed by a newer one.
  static_cast<void>(::sendto(this->peerSocket.get(),
                             bytes.data(),
                             bytes.size(),
                             MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr*>(&*address),
                             sizeof *address));
}

/** Decides whether this relay looks at the store, and notices that nobody who
 * looks reaches it. */
void
RelayLoop::Impl::chooseReaders()
{
  std::vector<StoreReader> heard;
  for (const auto& [address, peer] : this->knownPeers) {
    if (this->now - peer.receivedAt < kReaderSilence) {
      heard.push_back(
        StoreReader{ address, peer.zone, peer.polls, peer.pollsFail });
    }
  }
  const StoreReader own{ this->localPeers,
                         this->settings.zone,
                         this->shared.polls,
                         this->shared.pollsFail };
  const bool polls = shouldPoll(own, heard);
  if (this->shared.polls.exchange(polls) != polls) {
    this->shared.metrics.set("store_reader", polls ? 1 : 0);
    this->shared.log.write(
      LogLine{ LogPart::Store, polls ? "reads" : "hears" }
        .with("relays", static_cast<std::int64_t>(heard.size()))
        .with("last_look_failed", own.pollsFail ? 1 : 0));
  }
  this->shared.storeReaders = static_cast<std::size_t>(
    std::count_if(heard.begin(), heard.end(), [](const StoreReader& aOther) {
      return aOther.polls;
    }));
  if (storeIsUnavailable(heard)) {
    this->shared.peersSawOutageAt =
      this->shared.clock.now().time_since_epoch().count();
  }
}

/** Tells the relays of the own zone what changed in the list: in each zone some
 * relay looks. One that misses it hears of the version and reads the list. */
void
RelayLoop::Impl::sendListDelta(const ReplicaListDelta& aDelta)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, updateOf(aDelta));
  if (bytes.size() > kMostBytes) {
    this->shared.metrics.count("list_words_too_large_total");
    return;
  }
  for (const auto& [address, peer] : this->knownPeers) {
    if (peer.zone == this->settings.zone) {
      this->sendDatagram(address, { bytes.data(), bytes.size() });
    }
  }
}

/** Answers a relay that is not on the list yet: one that started later read the
 * list with this relay on it. Until all hear each other, each looks at the
 * lease and at the configuration more often: a third of the calls of the first
 * 10 s.
 */
void
RelayLoop::Impl::meet(const Address& aSender)
{
  const auto known = this->shared.peers.read();
  const bool listed =
    std::find(known->begin(), known->end(), aSender) != known->end();
  if (listed || aSender == this->localPeers) {
    return;
  }
  std::vector<Address> peers = *known;
  peers.push_back(aSender);
  this->shared.log.write(
    LogLine{ LogPart::Peers, "met" }.with("address", toText(aSender)));
  this->shared.peers.replace(
    std::make_shared<const std::vector<Address>>(std::move(peers)));
}

/**
 * Takes over how fresh another relay knows the configuration to be. It had this
 * relay's word of the echoed moment before it spoke, so what it says was so at
 * that moment on this relay's clock less its age, or later: no clock is
 * compared with another one's, and a word that lay in a buffer through a
 * suspension proves only what is old. Relays may therefore ask the store less
 * often: with five of them, each 2.5 s, some relay's proof is half a second
 * old.
 */
void
RelayLoop::Impl::learnFreshness(const PeerStatus& aStatus,
                                const PeerEcho& aEcho)
{
  if (aStatus.configAge >= 0 &&
      Duration{ aStatus.configAge } <= this->gate.keyAge) {
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

SharedRetryBudget&
RelayLoop::Impl::budgetOf(const Exchange& aExchange)
{
  return this->budgets.of(
    aExchange.service == nullptr ? "" : aExchange.service->name);
}

void
RelayLoop::Impl::onPeerStatus(const PeerStatus& aStatus,
                              const PeerEcho& aEcho,
                              const Address& aFrom)
{
  this->knownPeers[aFrom] = PeerState{ { aStatus.incarnation, aStatus.sentAt },
                                       aStatus.zone,
                                       this->now,
                                       aStatus.polls,
                                       aStatus.pollsFail };
  if (aStatus.holdsLease) {
    this->shared.leaderSeenAt =
      this->shared.clock.now().time_since_epoch().count();
  }
  const auto raise = [](std::atomic<std::uint64_t>& aMost,
                        std::uint64_t aValue) {
    if (aValue > aMost) {
      aMost = aValue;
    }
  };
  raise(this->shared.peerConfigVersion, aStatus.config);
  raise(this->shared.peerListVersion, aStatus.list);
  if (aStatus.releasedFence > this->shared.peerReleasedFence) {
    this->shared.peerReleasedFence = aStatus.releasedFence;
    // Nobody leads: the next look at the lease need not wait for silence.
    this->shared.leaderSeenAt = 0;
  }
  this->learnFreshness(aStatus, aEcho);
  this->onPeerDraining(aStatus);
  this->onPeerCrashes(aStatus);
  this->onPeerLimits(aStatus);
  const std::string peer = toText(aFrom);
  // A process that starts again at an address has counted nothing yet. What the
  // one before it spent still counts.
  const std::string incarnation = incarnationName(aFrom, aStatus.incarnation);
  for (const RetryRow& row : aStatus.retries) {
    this->budgets.of(row.service)
      .onPeer(incarnation, RetryCounts{ row.requests, row.retries }, this->now);
  }
  LinkTotals totals;
  for (const LinkRow& row : aStatus.links) {
    totals.emplace(zonePair(row.one, row.other),
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

void
RelayLoop::Impl::readDatagram(const char* aBytes,
                              std::size_t aSize,
                              const Address& aFrom)
{
  PeerStatus status;
  PeerEcho echo;
  try {
    std::size_t at = 0;
    const msgpack::object_handle first = msgpack::unpack(aBytes, aSize, at);
    if (formatOf(first.get()) == kListFormat) {
      if (auto delta = deltaOf(first.get().as<ReplicaListUpdate>())) {
        this->shared.listInbox.push(std::move(*delta));
      }
      return;
    }
    first.get().convert(status);
    msgpack::unpack(aBytes, aSize, at).get().convert(echo);
  } catch (const std::exception&) {
    this->shared.metrics.count("peer_words_unreadable_total");
    return;
  }
  if (status.format == kPeerFormat &&
      status.incarnation != this->ownIncarnation) {
    this->meet(aFrom);
    this->onPeerStatus(status, echo, aFrom);
  }
}

void
RelayLoop::Impl::readPeers()
{
  constexpr int kMostAtOnce = 64;
  std::array<char, kMostBytes> bytes;
  for (int i = 0; i < kMostAtOnce; ++i) {
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
