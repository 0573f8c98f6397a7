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

#include "ListWord.h"
#include "PeerWord.h"
#include "RelayLoopImpl.h"
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

PeerWord
RelayLoop::Impl::ownWord()
{
  PeerWord word;
  word.life = this->ownLife;
  word.zone = this->settings.zone;
  word.sentAt = this->shared.clock.now().time_since_epoch().count();
  for (const auto& [replica, load] : this->loads.own()) {
    word.loads.push_back(
      LoadRow{ replica,
               load.requests,
               static_cast<std::uint32_t>(std::max(0.0, load.tokenLayers)),
               static_cast<std::uint32_t>(load.readingTokens),
               load.entered });
  }
  for (const std::string& replica : this->health.named(this->now)) {
    word.lost.push_back(replica);
  }
  for (const auto& [replica, since] : this->ended) {
    word.lost.push_back(replica);
  }
  for (const std::string& replica : this->leavingReplicas()) {
    word.leaving.push_back(replica);
  }
  for (const std::string& replica : this->health.lost(this->now)) {
    word.unreachable.push_back(replica);
  }
  word.slow = this->health.crippled();
  const auto config = this->shared.config.read();
  const Duration age = this->shared.freshness.age();
  word.config = config ? config->version : 0;
  word.configAge = age == Duration::max() ? -1 : age.count();
  word.list = this->view->changed;
  word.looks = this->shared.looks;
  word.looksFail = this->shared.looksFail;
  word.leads = this->shared.leads;
  word.gaveUp = this->shared.fenceGivenUp;
  for (auto& [service, budget] : this->budgets.all()) {
    const RetryCounts counts = budget.own(this->now);
    word.retries.push_back(
      RetryRow{ service, counts.requests, counts.retries });
  }
  for (const auto& [zones, bytes] : this->pipes.own()) {
    word.pipes.push_back(
      PipeRow{ zones.first, zones.second, bytes / kBytesPerKilobyte });
  }
  this->tellCrashes(word);
  this->tellLimits(word);
  return word;
}

/** Tells all other relays; those of other zones, unless there is news, in every
 * second round: what is told there is work at replicas that are seldom shared,
 * and bytes between zones are dear. */
void
RelayLoop::Impl::tellPeers(bool aNews)
{
  const auto peers = this->shared.peers.read();
  if (peers->empty()) {
    return;
  }
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, this->ownWord());
  if (bytes.size() > kMostBytes) {
    this->shared.metrics.count("peer_words_too_large_total");
    return;
  }
  const bool all = aNews || this->regularCount % 2 == 0;
  for (const Address& peer : *peers) {
    const auto heard = this->peersHeard.find(peer);
    const bool near = heard == this->peersHeard.end() ||
                      heard->second.zone == this->settings.zone;
    if (all || near) {
      this->sendWord(peer, { bytes.data(), bytes.size() });
    }
  }
}

/** Sends the word with the peer's own echo behind it. */
void
RelayLoop::Impl::sendWord(const Address& aPeer, std::string_view aWord) const
{
  const auto address = toSocketAddress(aPeer);
  if (!address) {
    return;
  }
  const auto heard = this->peersHeard.find(aPeer);
  msgpack::sbuffer bytes;
  bytes.write(aWord.data(), aWord.size());
  msgpack::pack(
    bytes, heard == this->peersHeard.end() ? PeerEcho{} : heard->second.echo);
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
  for (const auto& [address, peer] : this->peersHeard) {
    if (this->now - peer.heard < kReaderSilence) {
      heard.push_back(
        StoreReader{ address, peer.zone, peer.looks, peer.looksFail });
    }
  }
  const StoreReader own{ this->localPeers,
                         this->settings.zone,
                         this->shared.looks,
                         this->shared.looksFail };
  const bool looks = shallLook(own, heard);
  if (this->shared.looks.exchange(looks) != looks) {
    this->shared.metrics.set("store_reader", looks ? 1 : 0);
    this->shared.log.write(
      LogLine{ LogPart::Store, looks ? "reads" : "hears" }
        .with("relays", static_cast<std::int64_t>(heard.size()))
        .with("last_look_failed", own.fails ? 1 : 0));
  }
  this->shared.readersHeard = static_cast<std::size_t>(
    std::count_if(heard.begin(), heard.end(), [](const StoreReader& aOther) {
      return aOther.looks;
    }));
  if (storeIsAway(heard)) {
    this->shared.outageHeard =
      this->shared.clock.now().time_since_epoch().count();
  }
}

/** Tells the relays of the own zone what changed in the list: in each zone some
 * relay looks. One that misses it hears of the version and reads the list. */
void
RelayLoop::Impl::tellList(const ListNews& aNews)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, listWord(aNews));
  if (bytes.size() > kMostBytes) {
    this->shared.metrics.count("list_words_too_large_total");
    return;
  }
  for (const auto& [address, peer] : this->peersHeard) {
    if (peer.zone == this->settings.zone) {
      this->sendWord(address, { bytes.data(), bytes.size() });
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
RelayLoop::Impl::learnFreshness(const PeerWord& aWord, const PeerEcho& aEcho)
{
  if (aWord.configAge >= 0 &&
      Duration{ aWord.configAge } <= this->gate.keyAge) {
    this->peerFreshAt = this->now;
  }
  const auto config = this->shared.config.read();
  const bool same = config != nullptr && config->version == aWord.config;
  if (!same || aEcho.life != this->ownLife || aWord.configAge < 0) {
    return;
  }
  const TimePoint proved{ Duration{ aEcho.sentAt - aWord.configAge } };
  this->shared.freshness.prove(std::min(proved, this->shared.clock.now()));
}

std::string
lifeName(const Address& aPeer, std::uint64_t aLife)
{
  return toText(aPeer) + "/" + std::to_string(aLife);
}

SharedRetryBudget&
RelayLoop::Impl::budgetOf(const Exchange& aExchange)
{
  return this->budgets.of(
    aExchange.service == nullptr ? "" : aExchange.service->name);
}

void
RelayLoop::Impl::onPeerWord(const PeerWord& aWord,
                            const PeerEcho& aEcho,
                            const Address& aFrom)
{
  this->peersHeard[aFrom] = PeerHeard{ { aWord.life, aWord.sentAt },
                                       aWord.zone,
                                       this->now,
                                       aWord.looks,
                                       aWord.looksFail };
  if (aWord.leads) {
    this->shared.leaderHeard =
      this->shared.clock.now().time_since_epoch().count();
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
  this->learnFreshness(aWord, aEcho);
  this->hearLeaving(aWord);
  this->hearCrashes(aWord);
  this->hearLimits(aWord);
  const std::string peer = toText(aFrom);
  // A process that starts again at an address has counted nothing yet. What the
  // one before it spent still counts.
  const std::string life = lifeName(aFrom, aWord.life);
  for (const RetryRow& row : aWord.retries) {
    this->budgets.of(row.service)
      .onPeer(life, RetryCounts{ row.requests, row.retries }, this->now);
  }
  PipeTotals totals;
  for (const PipeRow& row : aWord.pipes) {
    totals.emplace(zonePair(row.one, row.other),
                   row.kilobytes * kBytesPerKilobyte);
  }
  this->pipes.onPeer(life, totals, this->now);
  LoadTable table;
  for (const LoadRow& row : aWord.loads) {
    table.emplace(row.replica,
                  ReplicaLoad{ row.requests,
                               static_cast<double>(row.tokenLayers),
                               static_cast<double>(row.readingTokens),
                               row.entered });
  }
  this->loads.onPeer(peer, std::move(table), this->now);
  LossReport report{ { aWord.lost.begin(), aWord.lost.end() },
                     { aWord.unreachable.begin(), aWord.unreachable.end() },
                     aWord.slow };
  if (this->reports.onPeer(peer, std::move(report), this->now)) {
    this->publishLost();
  }
}

void
RelayLoop::Impl::readWord(const char* aBytes,
                          std::size_t aSize,
                          const Address& aFrom)
{
  PeerWord word;
  PeerEcho echo;
  try {
    std::size_t at = 0;
    const msgpack::object_handle first = msgpack::unpack(aBytes, aSize, at);
    if (formatOf(first.get()) == kListFormat) {
      if (auto news = newsOf(first.get().as<ListWord>())) {
        this->shared.listInbox.push(std::move(*news));
      }
      return;
    }
    first.get().convert(word);
    msgpack::unpack(aBytes, aSize, at).get().convert(echo);
  } catch (const std::exception&) {
    this->shared.metrics.count("peer_words_unreadable_total");
    return;
  }
  if (word.format == kPeerFormat && word.life != this->ownLife) {
    this->meet(aFrom);
    this->onPeerWord(word, echo, aFrom);
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
    this->readWord(
      bytes.data(), static_cast<std::size_t>(count), fromSocketAddress(from));
  }
}

} // namespace poplartrack
