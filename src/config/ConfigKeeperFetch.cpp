// Chooses what ConfigKeeper reads next, and when. ConfigKeeper.cpp handles the
// results.

#include <algorithm>
#include <utility>

#include "poplartrack/config/ConfigKeeper.h"

namespace poplartrack {
namespace {

/** Most peers asked in one round of the start, unless more are known to have
 * a later revision. */
constexpr std::size_t kMaxPeersPerStartRound = 5;
/** Maximum number of times that the backoff is doubled, so that the factor does
 * not overflow. */
constexpr std::uint32_t kMaxBackoffDoublings = 16;

} // namespace

Duration
ConfigKeeper::jittered(Duration aMean)
{
  std::uniform_int_distribution<Duration::rep> distribution(
    aMean.count() * 3 / 4, aMean.count() * 5 / 4);
  return Duration{ distribution(this->random) };
}

Duration
ConfigKeeper::backoffAfter(std::uint32_t aFailures)
{
  const std::uint32_t doublings =
    std::min(aFailures > 0 ? aFailures - 1 : 0, kMaxBackoffDoublings);
  const Duration mean =
    std::min(this->options.initialBackoff * (std::int64_t{ 1 } << doublings),
             this->options.maxBackoff);
  return this->jittered(mean);
}

KeeperFetch
ConfigKeeper::fetchFromPeer(const Address& aPeer)
{
  ++this->counts.peerFetches;
  const std::uint64_t have = this->needsWholeText ? 0 : this->revisionInForce;
  return KeeperFetch{ KeeperSource::Peer, aPeer, have };
}

KeeperFetch
ConfigKeeper::fetchFromStore()
{
  ++this->counts.storeReads;
  const bool whole = this->needsWholeText || this->isStarting();
  return KeeperFetch{ whole ? KeeperSource::StoreText : KeeperSource::StoreRows,
                      {},
                      this->revisionInForce };
}

void
ConfigKeeper::beginStartRound()
{
  this->storeToAsk = this->options.mayReadStore;
  this->peersToAsk.clear();
  for (const AheadPeer& peer : this->aheadPeers) {
    this->peersToAsk.push_back(peer.address);
  }
  std::vector<Address> others = this->options.peers;
  std::shuffle(others.begin(), others.end(), this->random);
  for (const Address& peer : others) {
    const bool listed =
      std::find(this->peersToAsk.begin(), this->peersToAsk.end(), peer) !=
      this->peersToAsk.end();
    if (!listed && this->peersToAsk.size() < kMaxPeersPerStartRound) {
      this->peersToAsk.push_back(peer);
    }
  }
}

std::optional<KeeperFetch>
ConfigKeeper::nextStartFetch()
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
ConfigKeeper::endStartRound(TimePoint aNow)
{
  ++this->peerFailures;
  this->nextPeerFetchAt = aNow + this->backoffAfter(this->peerFailures);
}

bool
ConfigKeeper::shouldAskAnyPeer() const
{
  return this->storeUnusable() && !this->options.peers.empty() &&
         (this->storeFailures > 0 ||
          this->newestRevision > this->revisionInForce);
}

std::optional<KeeperFetch>
ConfigKeeper::nextRunningFetch(TimePoint aNow)
{
  const bool mayAskPeer = aNow >= this->nextPeerFetchAt;
  if (mayAskPeer && !this->aheadPeers.empty()) {
    const auto highest =
      std::max_element(this->aheadPeers.begin(),
                       this->aheadPeers.end(),
                       [](const AheadPeer& aLeft, const AheadPeer& aRight) {
                         return aLeft.revision < aRight.revision;
                       });
    return this->fetchFromPeer(highest->address);
  }
  if (this->options.mayReadStore && aNow >= this->nextStorePollAt) {
    return this->fetchFromStore();
  }
  if (mayAskPeer && this->shouldAskAnyPeer()) {
    // While the store cannot be read, a process that gets no reports may still
    // lack a revision that others fetched before the outage. It asks a random
    // peer at intervals.
    std::uniform_int_distribution<std::size_t> distribution(
      0, this->options.peers.size() - 1);
    return this->fetchFromPeer(this->options.peers[distribution(this->random)]);
  }
  return std::nullopt;
}

std::optional<KeeperFetch>
ConfigKeeper::nextFetch(TimePoint aNow)
{
  if (this->inFlight) {
    return std::nullopt;
  }
  if (!this->isStarting()) {
    this->inFlight = this->nextRunningFetch(aNow);
    return this->inFlight;
  }
  if (aNow < this->nextPeerFetchAt) {
    return std::nullopt;
  }
  if (!this->storeToAsk && this->peersToAsk.empty()) {
    this->beginStartRound();
  }
  this->inFlight = this->nextStartFetch();
  if (!this->inFlight) {
    this->endStartRound(aNow);
  }
  return this->inFlight;
}

TimePoint
ConfigKeeper::wakeAt() const
{
  if (this->inFlight) {
    return TimePoint::max();
  }
  if (this->isStarting()) {
    return this->nextPeerFetchAt;
  }
  TimePoint wake = TimePoint::max();
  if (this->options.mayReadStore) {
    wake = std::min(wake, this->nextStorePollAt);
  }
  if (!this->aheadPeers.empty() || this->shouldAskAnyPeer()) {
    wake = std::min(wake, this->nextPeerFetchAt);
  }
  return wake;
}

} // namespace poplartrack
