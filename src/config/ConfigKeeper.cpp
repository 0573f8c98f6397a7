#include "poplartrack/config/ConfigKeeper.h"

#include <algorithm>
#include <utility>

#include "poplartrack/config/ConfigStore.h"
#include "poplartrack/config/RevisionText.h"

namespace poplartrack {
namespace {

/** Most peers with a later revision that are kept. */
constexpr std::size_t kMaxAheadPeers = 8;
/** Shortest time between two fetches from peers. One fetch then gets several
 * revisions of a burst of pushes. */
constexpr Duration kMinFetchInterval = std::chrono::milliseconds{ 250 };

} // namespace

ConfigKeeper::ConfigKeeper(KeeperOptions aOptions, TimePoint aNow)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , nextStorePollAt(aNow)
  , nextPeerFetchAt(aNow + this->jittered(this->options.initialBackoff))
{
}

void
ConfigKeeper::onRevisionAnnounced(const std::optional<Address>& aPeer,
                                  std::uint64_t aRevision,
                                  TimePoint aNow)
{
  if (aRevision <= this->revisionInForce) {
    return;
  }
  this->newestRevision = std::max(this->newestRevision, aRevision);
  if (!aPeer) {
    return;
  }
  if (this->isStarting() && this->peersToAsk.empty() && !this->inFlight) {
    // No read is pending. Begin a round of the start at once; it asks this
    // peer.
    this->nextPeerFetchAt = std::min(this->nextPeerFetchAt, aNow);
  }
  this->forgetPeer(*aPeer);
  this->aheadPeers.push_back(AheadPeer{ *aPeer, aRevision });
  if (this->aheadPeers.size() > kMaxAheadPeers) {
    this->aheadPeers.erase(this->aheadPeers.begin());
  }
}

void
ConfigKeeper::forgetPeer(const Address& aPeer)
{
  std::erase_if(this->aheadPeers, [&](const AheadPeer& aKnown) {
    return aKnown.address == aPeer;
  });
}

bool
ConfigKeeper::onFetchFinished(
  const Result<std::vector<RevisionUpdate>>& aUpdates,
  TimePoint aNow)
{
  if (!this->inFlight) {
    return false;
  }
  const KeeperFetch fetch = *std::exchange(this->inFlight, std::nullopt);
  if (!aUpdates) {
    ++this->counts.failedFetches;
  }
  return this->isStarting()
           ? this->onStartFetchFinished(fetch, aUpdates, aNow)
           : this->onRunningFetchFinished(fetch, aUpdates, aNow);
}

bool
ConfigKeeper::onStartFetchFinished(
  const KeeperFetch& aFetch,
  const Result<std::vector<RevisionUpdate>>& aUpdates,
  TimePoint aNow)
{
  bool usable = false;
  if (aUpdates) {
    for (const RevisionUpdate& update : aUpdates.value()) {
      usable = this->addCandidate(update) || usable;
    }
  }
  // The store has the newest revision, so its answer ends the round. Any peer
  // may be behind, so all of them are asked and the highest answer is used.
  const bool fromStore = aFetch.source != KeeperSource::Peer;
  const bool storeAnswered = fromStore && usable;
  if (!storeAnswered && !this->peersToAsk.empty()) {
    return false;
  }
  this->peersToAsk.clear();
  const RevisionUpdate chosen =
    std::exchange(this->bestCandidate, RevisionUpdate{});
  if (chosen.to > 0 && this->applyWhole(chosen)) {
    this->nextPeerFetchAt = aNow;
    this->nextStorePollAt = aNow + this->jittered(this->options.pollInterval);
    this->peerFailures = 0;
    this->storeFailures = storeAnswered ? 0 : 1;
    return true;
  }
  this->endStartRound(aNow);
  return false;
}

bool
ConfigKeeper::addCandidate(const RevisionUpdate& aUpdate)
{
  if (aUpdate.from != 0 || aUpdate.to <= this->bestCandidate.to) {
    return false;
  }
  const Result<Configuration> configuration = fromRevisionText(aUpdate.text);
  if (!configuration) {
    this->recordRefusal(aUpdate.to, configuration.error().detail);
    return false;
  }
  this->bestCandidate = aUpdate;
  return true;
}

bool
ConfigKeeper::onRunningFetchFinished(
  const KeeperFetch& aFetch,
  const Result<std::vector<RevisionUpdate>>& aUpdates,
  TimePoint aNow)
{
  const bool applied = aUpdates && this->apply(aUpdates.value());
  if (aFetch.source == KeeperSource::Peer && !applied) {
    // The peer is not ahead, does not answer, or sent an unusable update.
    this->forgetPeer(aFetch.peer);
  }
  this->scheduleNextFetch(aFetch, aUpdates.ok(), aNow);
  const bool moreRows =
    applied && aUpdates.value().size() >= kMaxUpdatesPerRead;
  if (aFetch.source == KeeperSource::StoreRows &&
      (moreRows || this->needsWholeText)) {
    this->nextStorePollAt = aNow;
  }
  return applied;
}

void
ConfigKeeper::scheduleNextFetch(const KeeperFetch& aFetch,
                                bool aOk,
                                TimePoint aNow)
{
  if (aFetch.source == KeeperSource::Peer) {
    this->peerFailures = aOk ? 0 : this->peerFailures + 1;
    this->nextPeerFetchAt =
      aNow +
      (aOk && !this->storeUnusable()
         ? kMinFetchInterval
         : std::max(this->backoffAfter(this->peerFailures), kMinFetchInterval));
    return;
  }
  this->storeFailures = aOk ? 0 : this->storeFailures + 1;
  this->nextStorePollAt =
    aNow + (aOk ? this->jittered(this->options.pollInterval)
                : this->backoffAfter(this->storeFailures));
}

bool
ConfigKeeper::apply(const std::vector<RevisionUpdate>& aUpdates)
{
  std::vector<RevisionUpdate> newer;
  for (const RevisionUpdate& update : aUpdates) {
    if (update.to > this->revisionInForce) {
      newer.push_back(update);
    } else {
      ++this->counts.staleUpdates;
    }
  }
  if (newer.empty()) {
    return false;
  }
  return newer.back().from == 0 ? this->applyWhole(newer.back())
                                : this->applySteps(newer);
}

bool
ConfigKeeper::applyWhole(const RevisionUpdate& aUpdate)
{
  this->needsWholeText = false;
  Result<RevisionDocument> read = RevisionDocument::create(aUpdate.text);
  if (!read) {
    this->recordRefusal(aUpdate.to, read.error().detail);
    return false;
  }
  const std::uint64_t revision = read.value().configuration()->revision;
  if (revision <= this->revisionInForce) {
    ++this->counts.staleUpdates;
    return false;
  }
  this->document = std::move(read).value();
  this->onApplied(aUpdate);
  return true;
}

bool
ConfigKeeper::applySteps(const std::vector<RevisionUpdate>& aUpdates)
{
  const std::uint64_t target = aUpdates.back().to;
  const Result<RevisionUpdate> joined = joinUpdates(aUpdates);
  const Result<Done> applied =
    joined ? this->document->apply(joined.value())
           : Result<Done>{ fail(ErrorKind::Malformed, joined.error().detail) };
  if (applied) {
    this->onApplied(joined.value());
    return true;
  }
  if (applied.error().kind == ErrorKind::BadSettings) {
    this->recordRefusal(target, applied.error().detail);
    return false;
  }
  this->needsWholeText = target != this->refusedRevision;
  return false;
}

void
ConfigKeeper::onApplied(const RevisionUpdate& aUpdate)
{
  this->needsWholeText = false;
  this->revisionInForce = this->document->configuration()->revision;
  this->newestRevision = std::max(this->newestRevision, this->revisionInForce);
  this->recentUpdates.add(aUpdate);
  this->refusal.clear();
  ++this->counts.applied;
  std::erase_if(this->aheadPeers, [&](const AheadPeer& aKnown) {
    return aKnown.revision <= this->revisionInForce;
  });
}

void
ConfigKeeper::recordRefusal(std::uint64_t aRevision, std::string aWhy)
{
  ++this->counts.refusedUpdates;
  this->refusedRevision = aRevision;
  this->refusal =
    "revision " + std::to_string(aRevision) + " refused: " + std::move(aWhy);
}

std::string
ConfigKeeper::updateFor(std::uint64_t aPeerRevision) const
{
  if (this->revisionInForce <= aPeerRevision) {
    return {};
  }
  if (aPeerRevision > 0) {
    if (const auto steps = this->recentUpdates.since(aPeerRevision)) {
      return steps->text;
    }
  }
  return this->text();
}

} // namespace poplartrack
