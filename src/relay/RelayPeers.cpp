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

#include "PeerWord.h"
#include "RelayLoopImpl.h"
#include "poplartrack/base/TcpSocket.h"

namespace poplartrack {

namespace {

/** Largest datagram that is sent and taken in. */
constexpr std::size_t kMostBytes = std::size_t{ 8 } * 1024;

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

void
RelayLoop::Impl::describeSelf(PeerWord& aWord) const
{
  aWord.sender = this->ownName;
  aWord.sentAt = this->shared.clock.now().time_since_epoch().count();
  for (const auto& [peer, heard] : this->peersHeard) {
    aWord.heard.emplace(peer, heard.theirTime);
  }
  const auto config = this->shared.config.read();
  const Duration age = this->shared.freshness.age();
  aWord.config = config ? config->version : 0;
  aWord.configAge = age == Duration::max() ? -1 : age.count();
  aWord.list = this->view->changed;
  aWord.leads = this->shared.leads;
  aWord.gaveUp = this->shared.fenceGivenUp;
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
RelayLoop::Impl::onPeerWord(const PeerWord& aWord)
{
  const TimePoint moment = this->shared.clock.now();
  this->peersHeard[aWord.sender] = PeerHeard{ aWord.sentAt, this->now };
  if (aWord.leads) {
    this->shared.leaderHeard = moment.time_since_epoch().count();
  }
  const auto raise = [](std::atomic<std::uint64_t>& aMost,
                        std::uint64_t aValue) {
    if (aValue > aMost) {
      aMost = aValue;
    }
  };
  raise(this->shared.configHeard, aWord.config);
  raise(this->shared.listHeard, aWord.list);
  if (aWord.gaveUp > this->shared.fenceFreed) {
    this->shared.fenceFreed = aWord.gaveUp;
    // Nobody leads: the next look at the lease need not wait for silence.
    this->shared.leaderHeard = 0;
  }
  const auto echo = aWord.heard.find(this->ownName);
  const auto config = this->shared.config.read();
  const Duration theirAge{ aWord.configAge };
  if (aWord.configAge >= 0 && theirAge <= this->gate.keyAge) {
    this->peerFreshAt = this->now;
  }
  const bool same = config != nullptr && config->version == aWord.config;
  if (!same || echo == aWord.heard.end() || aWord.configAge < 0) {
    return;
  }
  const TimePoint proved{ Duration{ echo->second - aWord.configAge } };
  this->shared.freshness.prove(std::min(proved, moment));
}

/** Answers a relay that is not on the list yet: one that started later read the
 * list with this relay on it. Until all hear each other, each looks at the
 * lease and at the configuration more often: a third of the calls of the first
 * 10 s.
 */
void
RelayLoop::Impl::meet(const sockaddr_in& aSender)
{
  const Address sender = fromSocketAddress(aSender);
  const auto known = this->shared.peers.read();
  const bool listed =
    std::find(known->begin(), known->end(), sender) != known->end();
  if (listed || sender == this->localPeers) {
    return;
  }
  std::vector<Address> peers = *known;
  peers.push_back(sender);
  this->shared.log.write(
    LogLine{ LogPart::Peers, "met" }.with("address", toText(sender)));
  this->shared.peers.replace(
    std::make_shared<const std::vector<Address>>(std::move(peers)));
}

void
RelayLoop::Impl::tellPeers()
{
  const auto peers = this->shared.peers.read();
  if (peers->empty()) {
    return;
  }
  PeerWord word;
  this->describeSelf(word);
  for (const auto& [replica, load] : this->loads.own()) {
    word.loads.push_back(
      LoadRow{ replica, load.requests, load.tokenLayers, load.readingTokens });
  }
  for (const std::string& replica : this->health.named(this->now)) {
    word.lost.push_back(replica);
  }
  for (const std::string& replica : this->health.lost(this->now)) {
    word.unreachable.push_back(replica);
  }
  word.slow = this->health.crippled();
  const RetryCounts counts = this->budget.own(this->now);
  word.requests = counts.requests;
  word.retries = counts.retries;
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, word);
  if (bytes.size() > kMostBytes) {
    this->shared.metrics.count("peer_words_too_large_total");
    return;
  }
  for (const Address& peer : *peers) {
    if (const auto address = toSocketAddress(peer)) {
      // A datagram that is lost is followed by a newer one.
      static_cast<void>(::sendto(this->peerSocket.get(),
                                 bytes.data(),
                                 bytes.size(),
                                 MSG_NOSIGNAL,
                                 reinterpret_cast<const sockaddr*>(&*address),
                                 sizeof *address));
    }
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
    PeerWord word;
    try {
      const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), static_cast<std::size_t>(count));
      handle.get().convert(word);
    } catch (const std::exception&) {
      this->shared.metrics.count("peer_words_unreadable_total");
      continue;
    }
    if (word.format != kPeerFormat || word.sender == this->ownName) {
      continue;
    }
    this->meet(from);
    this->onPeerWord(word);
    this->budget.onPeer(
      word.sender, RetryCounts{ word.requests, word.retries }, this->now);
    LoadTable table;
    for (LoadRow& row : word.loads) {
      table.emplace(
        std::move(row.replica),
        ReplicaLoad{ row.requests, row.tokenLayers, row.readingTokens });
    }
    this->loads.onPeer(word.sender, std::move(table), this->now);
    LossReport report{ { word.lost.begin(), word.lost.end() },
                       { word.unreachable.begin(), word.unreachable.end() },
                       std::move(word.slow) };
    if (this->reports.onPeer(word.sender, std::move(report), this->now)) {
      this->publishLost();
    }
  }
}

} // namespace poplartrack
