// Requests that crash replicas: detecting them, and telling the other relays.

#include <algorithm>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** A crash up to this time after the request's first event counts as early, and
 * so does a crash before that event. */
constexpr Duration kEarlyCrashTime = std::chrono::milliseconds{ 1'000 };

/** Maximum number of crashes that a status message reports. One crash is one
 * for each content and part of the requests that the replica had. */
constexpr std::size_t kMaxCrashRows = 128;

/** Maximum number of quarantine records that a status message reports, the
 * latest first. Older ones have been reported before, and the store keeps them.
 */
constexpr std::size_t kMaxQuarantineRows = 64;

} // namespace

/**
 * Records that the connection of the current attempt has ended. If the replica
 * turns out to have crashed, the request may be responsible. A replica that
 * falls silent has more likely lost its network, so its crash does not count as
 * early.
 */
void
RelayLoop::Impl::recordPossibleCrash(Exchange& aExchange, ConnectionEnd aEnd)
{
  const bool atStart = !aExchange.runningSince ||
                       this->now - *aExchange.runningSince < kEarlyCrashTime;
  const bool silent = aEnd == ConnectionEnd::Silent;
  this->recordPossibleCrashAt(
    aExchange, aExchange.replica, atStart && !silent, silent);
}

/**
 * Records that the request may have crashed a replica of its path. A draining
 * replica exits as planned and is left out. The parts of the prompt are
 * suspects only until the first event of the attempt.
 */
void
RelayLoop::Impl::recordPossibleCrashAt(Exchange& aExchange,
                                       const std::string& aReplica,
                                       bool aEarly,
                                       bool aSilent)
{
  if (this->drainState.since.contains(aReplica) ||
      !this->mayHaveRun(aExchange)) {
    return;
  }
  this->crashState.watch.onBroken(
    CrashReport{ .suspect = this->contentFingerprint(aExchange),
                 .replica = aReplica,
                 .early = aEarly,
                 .silent = aSilent },
    this->now);
  if (aExchange.runningSince) {
    return;
  }
  for (const PromptPart& part : this->promptParts(aExchange)) {
    const bool familiar =
      this->crashState.recentlyServed.lastServed(part.part, this->now)
        .has_value();
    this->crashState.watch.onBroken(
      CrashReport{ .suspect = part.part,
                   .replica = aReplica,
                   .early = aEarly,
                   .accountPart = part.accountPart,
                   .familiar = familiar,
                   .silent = aSilent },
      this->now);
  }
}

/**
 * Returns what shows that a replica has crashed: its restart has been detected,
 * it is not in the replica list, nothing listens at its address, or two relays
 * cannot reach it. One relay is not enough for the last, since it may be cut
 * off itself, and requests that break off then are not responsible.
 */
std::optional<CrashProof>
RelayLoop::Impl::crashProofOf(const std::string& aReplica) const
{
  if (this->drainState.restarted.contains(aReplica) ||
      this->replicaById(aReplica) == nullptr ||
      this->crashState.exited.contains(aReplica)) {
    return CrashProof::Exited;
  }
  // With a count of 1, two reports are enough however many relays there are.
  constexpr std::size_t kRelayCount = 1;
  const bool unreachable = this->reports.lost(
    aReplica, this->health.dead(aReplica, this->now), kRelayCount);
  return unreachable ? std::optional{ CrashProof::Unreachable } : std::nullopt;
}

/** Enters the crashes that are certain by now into the crash ledger. */
void
RelayLoop::Impl::confirmCrashes()
{
  for (const std::string& replica : this->crashState.watch.replicas()) {
    const Replica* listed = this->replicaById(replica);
    if (listed != nullptr && listed->draining) {
      // A draining replica exits as planned.
      this->crashState.watch.forget(replica);
      continue;
    }
    const std::optional<CrashProof> proof = this->crashProofOf(replica);
    if (!proof) {
      continue;
    }
    for (const CrashReport& report : this->crashState.watch.onCrashed(
           replica, *proof, this->crashState.recentlyServed, this->now)) {
      if (!report.accountPart) {
        this->shared.metrics.count("requests_at_ended_replicas_total");
      }
      this->crashState.ledger.onCrash(report, CrashSource::Own, this->now);
    }
  }
  this->applyQuarantineChanges();
  this->crashState.watch.expire(this->now);
}

/** Records that a replica has begun to answer the request, which clears the
 * parts of its prompt: a part that crashes replicas lets none begin. */
void
RelayLoop::Impl::recordBegun(Exchange& aExchange)
{
  for (const PromptPart& part : this->promptParts(aExchange)) {
    this->crashState.recentlyServed.onServed(part.part, this->now);
    this->crashState.ledger.onServed(part.part, this->now);
  }
  this->applyQuarantineChanges();
}

/** Records that a replica completed the request, which clears its content. */
void
RelayLoop::Impl::recordServed(Exchange& aExchange)
{
  // A stream without an event may have been ended by the crash of its replica.
  if (!aExchange.streaming) {
    this->recordBegun(aExchange);
  }
  const Fingerprint& content = this->contentFingerprint(aExchange);
  this->crashState.recentlyServed.onServed(content, this->now);
  this->crashState.ledger.onServed(content, this->now);
  this->applyQuarantineChanges();
}

/** Adds the crashes and what was cleared to a status message. */
void
RelayLoop::Impl::addCrashes(PeerStatus& aStatus) const
{
  for (CrashReport& report :
       this->crashState.ledger.latestCrashes(this->now, kMaxCrashRows)) {
    aStatus.crashes.push_back(
      CrashRow{ report.suspect,
                std::move(report.replica),
                report.early,
                report.accountPart.has_value(),
                report.accountPart.value_or(Fingerprint{}),
                report.familiar,
                (this->now - report.brokenAt).count() });
  }
  aStatus.served = this->crashState.ledger.latestServed(this->now);
}

/** Adds the quarantine to a status message. */
void
RelayLoop::Impl::addQuarantine(PeerStatus& aStatus) const
{
  std::vector<QuarantineRecord> records =
    this->crashState.ledger.quarantine(this->now);
  std::sort(records.begin(),
            records.end(),
            [](const QuarantineRecord& aLeft, const QuarantineRecord& aRight) {
              return aLeft.age < aRight.age;
            });
  records.resize(std::min(records.size(), kMaxQuarantineRows));
  for (const QuarantineRecord& record : records) {
    aStatus.quarantine.push_back(
      QuarantineRow{ record.suspect.id,
                     record.age.count(),
                     static_cast<std::uint8_t>(record.suspect.kind),
                     record.suspect.part,
                     record.trials });
  }
}

/** Takes over the crashes, the quarantine and what was cleared from another
 * relay. */
void
RelayLoop::Impl::onPeerCrashes(const PeerStatus& aStatus)
{
  for (const Fingerprint& suspect : aStatus.served) {
    this->crashState.ledger.onServed(suspect, this->now);
  }
  for (const CrashRow& row : aStatus.crashes) {
    const CrashReport report{
      row.suspect,
      row.replica,
      row.early,
      row.isPart ? std::optional{ row.accountPart } : std::nullopt,
      row.familiar,
      this->now - Duration{ row.age }
    };
    this->crashState.ledger.onCrash(report, CrashSource::Peer, this->now);
    // The sender has not seen what was served here since.
    const auto served =
      this->crashState.recentlyServed.lastServed(row.suspect, this->now);
    if (served && *served > report.brokenAt) {
      this->crashState.ledger.onServed(row.suspect, this->now);
    }
  }
  for (const QuarantineRow& row : aStatus.quarantine) {
    if (row.kind > static_cast<std::uint8_t>(SuspectKind::AccountPart)) {
      continue;
    }
    const Suspect suspect{ row.suspect,
                           static_cast<SuspectKind>(row.kind),
                           row.part };
    this->crashState.ledger.onQuarantined(
      QuarantineRecord{ suspect, Duration{ row.age }, false, row.trials },
      this->now);
  }
  this->applyQuarantineChanges();
}

} // namespace poplartrack
