#include "harness/KeeperWorld.h"

#include <utility>

namespace poplartrack {
namespace {

/** A fetch that gets no answer fails after this long. */
constexpr Duration kFetchTimeout = std::chrono::milliseconds{ 500 };
/** Peers that each process knows from its settings. */
constexpr std::size_t kPeersInSettings = 3;
/** Frame and stream headers of a ConfigFetch and its reply, roughly. */
constexpr std::uint64_t kFetchOverheadBytes = 60;
constexpr std::uint64_t kStoreOverheadBytes = 300;

std::vector<SettingsFile>
filesOf(std::uint64_t aRevision)
{
  return {
    { "10.toml",
      "[models.m]\nlayers = 24\nversion = \"v1\"\n"
      "[models.m.versions.v1]\nweights = \"w\"\n" },
    { "20.toml",
      "limits.max_deadline_ms = " + std::to_string(30000 + aRevision) + "\n" },
  };
}

std::uint64_t
bytesOf(const Result<std::vector<RevisionUpdate>>& aUpdates)
{
  std::uint64_t bytes = 0;
  if (aUpdates) {
    for (const RevisionUpdate& update : aUpdates.value()) {
      bytes += update.text.size();
    }
  }
  return bytes;
}

} // namespace

KeeperWorld::KeeperWorld(KeeperWorldOptions aOptions)
  : options(aOptions)
  , random(aOptions.seed)
  , platform(this->clock)
  , store(this->platform)
{
  const std::size_t count = aOptions.entries + aOptions.sides;
  this->lives.assign(count, 0);
  this->push();
  for (std::size_t i = 0; i < count; ++i) {
    this->keepers.emplace_back(this->keeperOptions(i), this->time);
    const TimePoint first =
      this->time + this->drawUpTo(this->options.messageEvery);
    this->at(this->time, i, [this, i] { this->wake(i); });
    this->at(first, i, [this, i] { this->receiveMessage(i); });
  }
}

Address
KeeperWorld::addressOf(std::size_t aProcess)
{
  return Address{ "127.0.0.1", static_cast<std::uint16_t>(aProcess + 1) };
}

KeeperOptions
KeeperWorld::keeperOptions(std::size_t aProcess)
{
  KeeperOptions made;
  made.mayReadStore = this->isEntry(aProcess);
  made.seed = this->random();
  for (std::size_t i = 0; i < kPeersInSettings; ++i) {
    const std::size_t peer = this->random() % this->options.entries;
    if (peer != aProcess) {
      made.peers.push_back(addressOf(peer));
    }
  }
  return made;
}

Duration
KeeperWorld::drawUpTo(Duration aLongest)
{
  return Duration{ static_cast<Duration::rep>(
    this->random() % static_cast<std::uint64_t>(aLongest.count() + 1)) };
}

void
KeeperWorld::at(TimePoint aTime,
                std::size_t aProcess,
                std::function<void()> aRun)
{
  this->events.emplace(
    aTime, Event{ aProcess, this->lives[aProcess], std::move(aRun) });
}

void
KeeperWorld::push()
{
  PushRequest request;
  request.changeId = "change-" + std::to_string(this->revision + 1);
  request.author = "operator";
  request.baseRevision = this->revision;
  request.files = filesOf(this->revision + 1);
  const auto pushed = this->store.push(request);
  if (pushed) {
    this->revision = pushed.value().revision;
  }
}

void
KeeperWorld::run(Duration aTime)
{
  const TimePoint end = this->time + aTime;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    const auto first = this->events.begin();
    this->time = std::max(this->time, first->first);
    const Event event = std::move(first->second);
    this->events.erase(first);
    if (event.life == this->lives[event.process]) {
      event.run();
    }
  }
  this->time = end;
}

void
KeeperWorld::setStoreDown(bool aDown)
{
  standins::PlatformFaults faults;
  faults.outage = aDown;
  this->platform.setFaults(faults);
}

void
KeeperWorld::setCutOff(std::size_t aProcess, bool aCutOff)
{
  if (aCutOff) {
    this->cutOff.insert(aProcess);
  } else {
    this->cutOff.erase(aProcess);
  }
}

void
KeeperWorld::restart(std::size_t aProcess)
{
  ++this->lives[aProcess];
  this->keepers[aProcess] =
    ConfigKeeper{ this->keeperOptions(aProcess), this->time };
  this->at(this->time, aProcess, [this, aProcess] { this->wake(aProcess); });
  this->at(
    this->time, aProcess, [this, aProcess] { this->receiveMessage(aProcess); });
}

bool
KeeperWorld::converged() const
{
  for (const ConfigKeeper& keeper : this->keepers) {
    if (keeper.revision() != this->revision) {
      return false;
    }
  }
  return true;
}

void
KeeperWorld::receiveMessage(std::size_t aProcess)
{
  this->at(this->time + this->options.messageEvery, aProcess, [this, aProcess] {
    this->receiveMessage(aProcess);
  });
  // A side hears from an entry, which can be asked; an entry hears from the
  // replies of sides, or of entries when there are none.
  const std::size_t sides = this->options.sides;
  const bool fromSide = this->isEntry(aProcess) && sides > 0;
  const std::size_t sender = fromSide
                               ? this->options.entries + this->random() % sides
                               : this->random() % this->options.entries;
  if (sender == aProcess || this->cutOff.contains(aProcess) ||
      this->cutOff.contains(sender)) {
    return;
  }
  this->keepers[aProcess].onRevisionAnnounced(
    fromSide ? std::optional<Address>{}
             : std::optional<Address>{ addressOf(sender) },
    this->keepers[sender].revision(),
    this->time);
  this->wake(aProcess);
}

void
KeeperWorld::wake(std::size_t aProcess)
{
  ConfigKeeper& keeper = this->keepers[aProcess];
  if (const auto fetch = keeper.nextFetch(this->time)) {
    this->ask(aProcess, *fetch);
    return;
  }
  const TimePoint next = keeper.wakeAt();
  if (next != TimePoint::max() && next > this->time) {
    this->at(next, aProcess, [this, aProcess] { this->wake(aProcess); });
  }
}

void
KeeperWorld::ask(std::size_t aProcess, const KeeperFetch& aFetch)
{
  Updates answer = this->answerOf(aProcess, aFetch);
  const Duration delay =
    answer ? this->drawUpTo(this->options.longestAnswer) : kFetchTimeout;
  this->at(this->time + delay, aProcess, [this, aProcess, answer] {
    const std::uint64_t before = this->keepers[aProcess].revision();
    this->keepers[aProcess].onFetchFinished(answer, this->time);
    this->note(aProcess, before);
    this->wake(aProcess);
  });
}

bool
KeeperWorld::draw(double aPart)
{
  constexpr std::uint64_t kDraws = 1'000'000;
  return static_cast<double>(this->random() % kDraws) <
         aPart * static_cast<double>(kDraws);
}

KeeperWorld::Updates
KeeperWorld::answerOf(std::size_t aProcess, const KeeperFetch& aFetch)
{
  if (this->draw(this->options.loss) || this->cutOff.contains(aProcess)) {
    return fail(ErrorKind::Network, "no answer");
  }
  return aFetch.source == KeeperSource::Peer
           ? this->peerAnswer(aProcess, aFetch)
           : this->storeAnswer(aFetch);
}

KeeperWorld::Updates
KeeperWorld::peerAnswer(std::size_t aProcess, const KeeperFetch& aFetch)
{
  const std::size_t peer = aFetch.peer.port - 1U;
  if (peer == aProcess || this->cutOff.contains(peer)) {
    return fail(ErrorKind::Network, "no answer");
  }
  const std::string text = this->draw(this->options.needlessAnswers)
                             ? this->keepers[peer].text()
                             : this->keepers[peer].updateFor(aFetch.have);
  ++this->costs.peerMessages;
  this->costs.peerBytes += text.size() + kFetchOverheadBytes;
  if (text.empty()) {
    return std::vector<RevisionUpdate>{};
  }
  const Result<RevisionUpdate> update = updateFromText(text);
  if (!update) {
    return update.error();
  }
  return std::vector<RevisionUpdate>{ update.value() };
}

KeeperWorld::Updates
KeeperWorld::storeAnswer(const KeeperFetch& aFetch)
{
  ++this->costs.storeReads;
  Updates updates = aFetch.source == KeeperSource::StoreRows
                      ? this->store.updatesAfter(aFetch.have)
                      : this->store.newestWholeUpdate();
  this->costs.storeBytes += bytesOf(updates) + kStoreOverheadBytes;
  return updates;
}

void
KeeperWorld::note(std::size_t aProcess, std::uint64_t aBefore)
{
  if (this->keepers[aProcess].revision() < aBefore) {
    this->backwards = true;
  }
}

} // namespace poplartrack
