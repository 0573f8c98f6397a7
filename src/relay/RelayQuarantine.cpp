// What is sent to no replica, because replicas crashed under it.

#include <algorithm>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Delay until content in quarantine that was served before is tried once more:
 * by then crashed replicas have restarted. */
constexpr Duration kTrialDelay = std::chrono::seconds{ 5 };

/** Time between the trials of two relays for the same content. They take turns,
 * so that few replicas crash if the request is responsible. */
constexpr Duration kTrialInterval = std::chrono::seconds{ 5 };

/** Trial runs that a part of the store's quarantine is taken to have had. After
 * a restart of all relays nobody knows how many there were. */
constexpr std::uint32_t kAllTrials = 1'000;

} // namespace

/** Acts on what has begun and ended in the crash ledger. */
void
RelayLoop::Impl::applyQuarantineChanges()
{
  const QuarantineChanges changes = this->crashState.ledger.takeChanges();
  for (const Suspect& suspect : changes.ended) {
    this->shared.log.write(LogLine{ LogPart::Quarantine, "released" }
                             .with("content", toText(suspect.id))
                             .with("kind", nameOf(suspect.kind)));
  }
  for (const auto& [suspect, source] : changes.begun) {
    this->beginQuarantine(suspect, source == CrashSource::Own);
  }
  if (!changes.begun.empty() || !changes.ended.empty()) {
    this->publishQuarantine();
  }
}

/** Handles that something has been put into quarantine. aOwn: this relay itself
 * saw the crash that led to it. */
void
RelayLoop::Impl::beginQuarantine(const Suspect& aSuspect, bool aOwn)
{
  this->shared.log.write(LogLine{ LogPart::Quarantine, "began" }
                           .with("content", toText(aSuspect.id))
                           .with("kind", nameOf(aSuspect.kind))
                           .with("own", aOwn ? 1 : 0));
  if (aSuspect.kind == SuspectKind::Content &&
      this->crashState.recentlyServed.lastServed(aSuspect.id, this->now)) {
    const std::size_t earlier = this->trialRank(aSuspect.id);
    this->crashState.ledger.allowTrial(
      aSuspect.id,
      this->now + kTrialDelay + kTrialInterval * static_cast<int>(earlier));
  }
  // Deferred, because the caller may be a request that is choosing its path.
  this->post([this, aSuspect, aOwn] {
    if (aOwn) {
      this->announceChange();
    }
    this->stopQuarantined(aSuspect);
  });
}

/** Returns this relay's position in the order of trials for a suspect. All
 * relays compute the same order. */
std::size_t
RelayLoop::Impl::trialRank(const Fingerprint& aSuspect) const
{
  const auto rank = [&](const Address& aRelay) {
    return std::hash<std::string>{}(toText(aRelay) + toText(aSuspect));
  };
  const std::size_t own = rank(this->localPeers);
  return static_cast<std::size_t>(std::count_if(
    this->knownPeers.begin(), this->knownPeers.end(), [&](const auto& aEntry) {
      return rank(aEntry.first) < own;
    }));
}

/** Returns whether a request contains a suspect. */
bool
RelayLoop::Impl::contains(Exchange& aExchange, const Suspect& aSuspect) const
{
  if (aSuspect.kind == SuspectKind::Content) {
    return this->contentFingerprint(aExchange) == aSuspect.id;
  }
  const std::vector<PromptPart>& parts = this->promptParts(aExchange);
  return std::any_of(parts.begin(), parts.end(), [&](const PromptPart& aPart) {
    return aPart.part == aSuspect.id || aPart.accountPart == aSuspect.id;
  });
}

/** Returns whether no other suspect is as likely to be responsible. */
bool
RelayLoop::Impl::isCertain(const Suspect& aSuspect) const
{
  return aSuspect.kind == SuspectKind::Content ||
         this->crashState.ledger.isLikelyCulprit(aSuspect.id);
}

/** Returns whether the answer of the current attempt has begun to arrive. The
 * head of a stream may come before its replica begins to run it. */
bool
RelayLoop::Impl::hasBegunAnswer(const Exchange& aExchange) const
{
  const auto found = this->connections.find(aExchange.connection);
  const bool hasHead = found != this->connections.end() &&
                       found->second->headHandled &&
                       !found->second->discardingAnswer;
  return aExchange.answering || aExchange.runningSince.has_value() ||
         (hasHead && !aExchange.streaming) || this->hasUnreadAnswer(aExchange);
}

/**
 * Ends the attempts that contain a suspect and whose answer has not begun: one
 * that crashes replicas would end all other work there. Answers that have begun
 * continue. While several parts are suspected, attempts that a replica has
 * already received continue too: they show which part is responsible.
 */
void
RelayLoop::Impl::stopQuarantined(const Suspect& aSuspect)
{
  const bool isCertain = this->isCertain(aSuspect);
  std::vector<std::uint64_t> pending;
  for (const auto& [id, exchange] : this->exchanges) {
    const bool isPending = exchange->connection != 0 &&
                           !this->hasBegunAnswer(*exchange) &&
                           (isCertain || !this->mayHaveRun(*exchange));
    if (isPending && this->contains(*exchange, aSuspect)) {
      pending.push_back(id);
    }
  }
  for (const std::uint64_t id : pending) {
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() ||
        this->quarantinedIn(*found->second).empty()) {
      // It ended while an earlier request of this list was handled, or the
      // quarantine did.
      continue;
    }
    Exchange& exchange = *found->second;
    this->dropAttempt(exchange, this->mayHaveRun(exchange));
    this->refuseQuarantined(exchange, aSuspect);
  }
}

/** Returns what of the request is in quarantine. */
std::vector<Suspect>
RelayLoop::Impl::quarantinedIn(Exchange& aExchange) const
{
  std::vector<Suspect> quarantined;
  if (this->crashState.ledger.empty()) {
    return quarantined;
  }
  const auto add = [&](const Suspect& aSuspect) {
    if (this->crashState.ledger.quarantineLeft(aSuspect.id, this->now)) {
      quarantined.push_back(aSuspect);
    }
  };
  add(contentSuspect(this->contentFingerprint(aExchange)));
  for (const PromptPart& part : this->promptParts(aExchange)) {
    add(partSuspect(part.part));
    add(accountPartSuspect(part.part, part.accountPart));
  }
  return quarantined;
}

/** Returns how long the request stays in quarantine; 0 if that is open, since
 * several parts are suspected and trial runs will soon tell them apart. */
Duration
RelayLoop::Impl::quarantineLeft(Exchange& aExchange) const
{
  Duration longest{ 0 };
  for (const Suspect& suspect : this->quarantinedIn(aExchange)) {
    if (!this->isCertain(suspect)) {
      continue;
    }
    longest =
      std::max(longest,
               this->crashState.ledger.quarantineLeft(suspect.id, this->now)
                 .value_or(Duration{ 0 }));
  }
  return longest;
}

/** Returns whether a request may be sent all the same, to find out whether it
 * crashes replicas. One that contains two suspects would not show which of them
 * is responsible. */
bool
RelayLoop::Impl::isTrialDue(const std::vector<Suspect>& aQuarantined)
{
  const Suspect& first = aQuarantined.front();
  const bool isSingle = std::all_of(
    aQuarantined.begin(), aQuarantined.end(), [&](const Suspect& aOther) {
      return aOther.part == first.part;
    });
  if (!isSingle) {
    return false;
  }
  if (first.kind == SuspectKind::Content) {
    return this->crashState.ledger.takeTrial(first.id, this->now);
  }
  const TrialTurn turn{ this->trialRank(first.part),
                        this->knownPeers.size() + 1 };
  return std::all_of(
    aQuarantined.begin(), aQuarantined.end(), [&](const Suspect& aSuspect) {
      return this->crashState.ledger.isPartTrialDue(
        aSuspect.id, turn, this->now);
    });
}

/** Records that a request is sent as a trial run. */
void
RelayLoop::Impl::recordTrial(const Exchange& aExchange,
                             const std::vector<Suspect>& aQuarantined)
{
  this->shared.metrics.count("quarantine_trials_total");
  for (const Suspect& suspect : aQuarantined) {
    this->crashState.ledger.onPartTrial(suspect.id, this->now);
    this->shared.log.write(LogLine{ LogPart::Quarantine, "trial" }
                             .with("id", aExchange.requestId)
                             .with("content", toText(suspect.id))
                             .with("kind", nameOf(suspect.kind)));
  }
  // The others must know of the trial before their turn begins.
  this->post([this] { this->announceChange(); });
}

/** Returns the error for a request that contains something in quarantine. */
Error
RelayLoop::Impl::quarantineError(const Suspect& aSuspect)
{
  return Error{ ErrorKind::Quarantined,
                std::string{ nameOf(aSuspect.kind) } + " " +
                  toText(aSuspect.id) };
}

/** Answers a request that contains something in quarantine with an error. */
void
RelayLoop::Impl::refuseQuarantined(Exchange& aExchange, const Suspect& aSuspect)
{
  this->refuse(aExchange, quarantineError(aSuspect), aExchange.runs == 0);
}

/** Passes the quarantine to the thread that keeps it in the store. */
void
RelayLoop::Impl::publishQuarantine()
{
  auto records = std::make_shared<const std::vector<QuarantineRecord>>(
    this->crashState.ledger.quarantine(this->now));
  this->shared.metrics.set("requests_quarantined",
                           static_cast<std::int64_t>(records->size()));
  this->shared.quarantine.replace(std::move(records));
}

/** Takes over the quarantine in the store, enters certain crashes and drops
 * expired records. */
void
RelayLoop::Impl::refreshQuarantine()
{
  const auto stored = this->shared.storedQuarantine.read();
  if (stored != this->crashState.lastStoredQuarantine) {
    this->crashState.lastStoredQuarantine = stored;
    for (const Suspect& suspect : *stored) {
      this->crashState.ledger.onQuarantined(
        QuarantineRecord{ suspect, Duration{ 0 }, false, kAllTrials },
        this->now);
    }
    this->applyQuarantineChanges();
  }
  this->confirmCrashes();
  const std::size_t before = this->shared.quarantine.read()->size();
  this->crashState.ledger.expire(this->now);
  if (this->crashState.ledger.quarantine(this->now).size() != before) {
    this->publishQuarantine();
  }
}

} // namespace poplartrack
