#include "poplartrack/config/ConfigKeeper.h"

#include <algorithm>
#include <utility>

#include "poplartrack/config/ConfigStore.h"
#include "poplartrack/config/RevisionText.h"

namespace poplartrack {
namespace {

/** Peers known to be ahead that are remembered. */
constexpr std::size_t kMaxAheadPeers = 8;
/** Least time between two fetches: a burst of pushes is fetched in bunches. */
constexpr Duration kFetchGap = std::chrono::milliseconds{ 250 };

} // namespace

ConfigKeeper::ConfigKeeper(KeeperOptions aOptions, TimePoint aNow)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , pollAt(aNow)
  , askAt(aNow + this->jittered(this->options.firstBackoff))
{
}

void
ConfigKeeper::onRevisionAnnounced(const std::optional<Address>& aPeer,
                                  std::uint64_t aRevision,
                                  TimePoint aNow)
{
  if (aRevision <= this->inForce) {
    return;
  }
  this->newest = std::max(this->newest, aRevision);
  if (!aPeer) {
    return;
  }
  if (this->starting() && this->peersToAsk.empty() && !this->inFlight) {
    // Nobody could be asked so far; now somebody can.
    this->askAt = std::min(this->askAt, aNow);
  }
  this->forgetPeer(*aPeer);
  this->ahead.push_back(AheadPeer{ *aPeer, aRevision });
  if (this->ahead.size() > kMaxAheadPeers) {
    this->ahead.erase(this->ahead.begin());
  }
}

void
ConfigKeeper::forgetPeer(const Address& aPeer)
{
  std::erase_if(this->ahead, [&](const AheadPeer& aKnown) {
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
  return this->starting() ? this->finishedOfRound(fetch, aUpdates, aNow)
                          : this->finishedWhileRunning(fetch, aUpdates, aNow);
}

bool
ConfigKeeper::finishedOfRound(
  const KeeperFetch& aFetch,
  const Result<std::vector<RevisionUpdate>>& aUpdates,
  TimePoint aNow)
{
  bool usable = false;
  if (aUpdates) {
    for (const RevisionUpdate& update : aUpdates.value()) {
      usable = this->offer(update) || usable;
    }
  }
  // The store knows the newest revision; of peers the highest answer counts,
  // since any of them may be behind.
  const bool fromStore = aFetch.source != KeeperSource::Peer;
  const bool decided = fromStore && usable;
  if (!decided && !this->peersToAsk.empty()) {
    return false;
  }
  this->peersToAsk.clear();
  const RevisionUpdate chosen = std::exchange(this->best, RevisionUpdate{});
  if (chosen.to > 0 && this->takeWhole(chosen)) {
    this->askAt = aNow;
    this->pollAt = aNow + this->jittered(this->options.pollInterval);
    this->peerFailures = 0;
    this->storeFailures = decided ? 0 : 1;
    return true;
  }
  this->endRound(aNow);
  return false;
}

bool
ConfigKeeper::offer(const RevisionUpdate& aUpdate)
{
  if (aUpdate.from != 0 || aUpdate.to <= this->best.to) {
    return false;
  }
  const Result<Configuration> configuration = fromRevisionText(aUpdate.text);
  if (!configuration) {
    this->refuse(aUpdate.to, configuration.error().detail);
    return false;
  }
  this->best = aUpdate;
  return true;
}

bool
ConfigKeeper::finishedWhileRunning(
  const KeeperFetch& aFetch,
  const Result<std::vector<RevisionUpdate>>& aUpdates,
  TimePoint aNow)
{
  const bool applied = aUpdates && this->apply(aUpdates.value());
  if (aFetch.source == KeeperSource::Peer && !applied) {
    // It is not ahead after all, is gone, or has what nobody can use.
    this->forgetPeer(aFetch.peer);
  }
  this->schedule(aFetch, aUpdates.ok(), aNow);
  const bool more = applied && aUpdates.value().size() >= kMaxUpdatesPerRead;
  if (aFetch.source == KeeperSource::StoreRows && (more || this->wantWhole)) {
    this->pollAt = aNow;
  }
  return applied;
}

void
ConfigKeeper::schedule(const KeeperFetch& aFetch, bool aOk, TimePoint aNow)
{
  if (aFetch.source == KeeperSource::Peer) {
    this->peerFailures = aOk ? 0 : this->peerFailures + 1;
    this->askAt =
      aNow + (aOk && !this->withoutStore()
                ? kFetchGap
                : std::max(this->backoffAfter(this->peerFailures), kFetchGap));
    return;
  }
  this->storeFailures = aOk ? 0 : this->storeFailures + 1;
  this->pollAt = aNow + (aOk ? this->jittered(this->options.pollInterval)
                             : this->backoffAfter(this->storeFailures));
}

bool
ConfigKeeper::apply(const std::vector<RevisionUpdate>& aUpdates)
{
  std::vector<RevisionUpdate> newer;
  for (const RevisionUpdate& update : aUpdates) {
    if (update.to > this->inForce) {
      newer.push_back(update);
    } else {
      ++this->counts.staleUpdates;
    }
  }
  if (newer.empty()) {
    return false;
  }
  return newer.back().from == 0 ? this->takeWhole(newer.back())
                                : this->takeSteps(newer);
}

bool
ConfigKeeper::takeWhole(const RevisionUpdate& aUpdate)
{
  this->wantWhole = false;
  Result<RevisionDocument> read = RevisionDocument::create(aUpdate.text);
  if (!read) {
    this->refuse(aUpdate.to, read.error().detail);
    return false;
  }
  const std::uint64_t revision = read.value().configuration()->revision;
  if (revision <= this->inForce) {
    ++this->counts.staleUpdates;
    return false;
  }
  this->document = std::move(read).value();
  this->nowInForce(aUpdate);
  return true;
}

bool
ConfigKeeper::takeSteps(const std::vector<RevisionUpdate>& aUpdates)
{
  const std::uint64_t target = aUpdates.back().to;
  const Result<RevisionUpdate> joined = joinUpdates(aUpdates);
  const Result<Done> applied =
    joined ? this->document->apply(joined.value())
           : Result<Done>{ fail(ErrorKind::Malformed, joined.error().detail) };
  if (applied) {
    this->nowInForce(joined.value());
    return true;
  }
  if (applied.error().kind == ErrorKind::BadSettings) {
    this->refuse(target, applied.error().detail);
    return false;
  }
  this->wantWhole = target != this->badRevision;
  return false;
}

void
ConfigKeeper::nowInForce(const RevisionUpdate& aUpdate)
{
  this->wantWhole = false;
  this->inForce = this->document->configuration()->revision;
  this->newest = std::max(this->newest, this->inForce);
  this->log.add(aUpdate);
  this->refusal.clear();
  ++this->counts.applied;
  std::erase_if(this->ahead, [&](const AheadPeer& aKnown) {
    return aKnown.revision <= this->inForce;
  });
}

void
ConfigKeeper::refuse(std::uint64_t aRevision, std::string aWhy)
{
  ++this->counts.refusedUpdates;
  this->badRevision = aRevision;
  this->refusal =
    "revision " + std::to_string(aRevision) + " refused: " + std::move(aWhy);
}

std::string
ConfigKeeper::updateFor(std::uint64_t aHave) const
{
  if (this->inForce <= aHave) {
    return {};
  }
  if (aHave > 0) {
    if (const auto steps = this->log.since(aHave)) {
      return steps->text;
    }
  }
  return this->text();
}

} // namespace poplartrack
