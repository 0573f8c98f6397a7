// What the keeper reads next, and when; ConfigKeeper.cpp has what it does with
// the answers.

#include <algorithm>
#include <utility>

#include "poplartrack/config/ConfigKeeper.h"

namespace poplartrack {
namespace {

/** Peers asked in one round of a start. */
constexpr std::size_t kMaxPeersOfRound = 5;
constexpr std::uint32_t kMaxDoublings = 16;

} // namespace

Duration
ConfigKeeper::jittered(Duration aMean)
{
  std::uniform_int_distribution<Duration::rep> draw(aMean.count() * 3 / 4,
                                                    aMean.count() * 5 / 4);
  return Duration{ draw(this->random) };
}

Duration
ConfigKeeper::backoffAfter(std::uint32_t aFailures)
{
  const std::uint32_t doublings =
    std::min(aFailures > 0 ? aFailures - 1 : 0, kMaxDoublings);
  const Duration mean =
    std::min(this->options.firstBackoff * (std::int64_t{ 1 } << doublings),
             this->options.longestBackoff);
  return this->jittered(mean);
}

KeeperFetch
ConfigKeeper::fetchFromPeer(const Address& aPeer)
{
  ++this->counts.peerFetches;
  const std::uint64_t have = this->wantWhole ? 0 : this->inForce;
  return KeeperFetch{ KeeperSource::Peer, aPeer, have };
}

KeeperFetch
ConfigKeeper::fetchFromStore()
{
  ++this->counts.storeReads;
  const bool whole = this->wantWhole || this->starting();
  return KeeperFetch{ whole ? KeeperSource::StoreText : KeeperSource::StoreRows,
                      {},
                      this->inForce };
}

void
ConfigKeeper::beginRound()
{
  this->storeToAsk = this->options.mayReadStore;
  this->peersToAsk.clear();
  for (const AheadPeer& peer : this->ahead) {
    this->peersToAsk.push_back(peer.address);
  }
  std::vector<Address> others = this->options.peers;
  std::shuffle(others.begin(), others.end(), this->random);
  for (const Address& peer : others) {
    const bool known =
      std::find(this->peersToAsk.begin(), this->peersToAsk.end(), peer) !=
      this->peersToAsk.end();
    if (!known && this->peersToAsk.size() < kMaxPeersOfRound) {
      this->peersToAsk.push_back(peer);
    }
  }
}

std::optional<KeeperFetch>
ConfigKeeper::nextOfRound()
{
  if (std::exchange(this->storeToAsk, false)) {
    return this->fetchFromStore();
  }
  if (this->peersToAsk.empty()) {
    return std::nullopt;
  }
  const Address peer = this->peersToAsk.back();
  this->peersToAsk.pop_back();
  return this->fetchFromPeer(peer);
}

void
ConfigKeeper::endRound(TimePoint aNow)
{
  ++this->peerFailures;
  this->askAt = aNow + this->backoffAfter(this->peerFailures);
}

bool
ConfigKeeper::wantsAnyPeer() const
{
  return this->withoutStore() && !this->options.peers.empty() &&
         (this->storeFailures > 0 || this->newest > this->inForce);
}

std::optional<KeeperFetch>
ConfigKeeper::nextWhileRunning(TimePoint aNow)
{
  const bool mayAsk = aNow >= this->askAt;
  if (mayAsk && !this->ahead.empty()) {
    const auto highest =
      std::max_element(this->ahead.begin(),
                       this->ahead.end(),
                       [](const AheadPeer& aLeft, const AheadPeer& aRight) {
                         return aLeft.revision < aRight.revision;
                       });
    return this->fetchFromPeer(highest->address);
  }
  if (this->options.mayReadStore && aNow >= this->pollAt) {
    return this->fetchFromStore();
  }
  if (mayAsk && this->wantsAnyPeer()) {
    // In an outage an entry that hears nothing still has to learn what the
    // others got before it began: it asks one of them now and then.
    std::uniform_int_distribution<std::size_t> draw(
      0, this->options.peers.size() - 1);
    return this->fetchFromPeer(this->options.peers[draw(this->random)]);
  }
  return std::nullopt;
}

std::optional<KeeperFetch>
ConfigKeeper::nextFetch(TimePoint aNow)
{
  if (this->inFlight) {
    return std::nullopt;
  }
  if (!this->starting()) {
    this->inFlight = this->nextWhileRunning(aNow);
    return this->inFlight;
  }
  if (aNow < this->askAt) {
    return std::nullopt;
  }
  if (!this->storeToAsk && this->peersToAsk.empty()) {
    this->beginRound();
  }
  this->inFlight = this->nextOfRound();
  if (!this->inFlight) {
    this->endRound(aNow);
  }
  return this->inFlight;
}

TimePoint
ConfigKeeper::wakeAt() const
{
  if (this->inFlight) {
    return TimePoint::max();
  }
  if (this->starting()) {
    return this->askAt;
  }
  TimePoint wake = TimePoint::max();
  if (this->options.mayReadStore) {
    wake = std::min(wake, this->pollAt);
  }
  if (!this->ahead.empty() || this->wantsAnyPeer()) {
    wake = std::min(wake, this->askAt);
  }
  return wake;
}

} // namespace poplartrack
