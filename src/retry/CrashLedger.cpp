#include "poplartrack/retry/CrashLedger.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "CrashLimits.h"

namespace poplartrack {
namespace {

/** No trial run is allowed once this many replicas have crashed under a
 * suspect. This bounds how many replicas one request or part can crash in all,
 * however many callers send it. */
constexpr std::size_t kTrialCrashLimit = 5;

/** Trial runs of one prompt part, of all relays together; and of one that is
 * probably responsible. */
constexpr std::uint32_t kMaxPartTrials = 2;
constexpr std::uint32_t kMaxLikelyTrials = 1;

/** Length of a relay's turn to make trial runs. The result of one is known to
 * the relay whose turn is next. */
constexpr Duration kTrialTurn = std::chrono::milliseconds{ 2'000 };

/** No trial run begins in the last part of a turn: the relays learn of a
 * quarantine within a few hundred milliseconds of each other. */
constexpr Duration kTrialTurnEnd = std::chrono::milliseconds{ 500 };

/** Delay of the trial run of a part that is probably responsible. It probably
 * crashes a replica, so the service is given time to recover first. */
constexpr Duration kSoleCulpritDelay = std::chrono::seconds{ 60 };

/** How long a quarantine lasts. By then the replicas may run another version,
 * which the request does not crash. */
constexpr Duration kQuarantineDuration = std::chrono::hours{ 1 };

/** A history without a quarantine is dropped this long after its last update.
 */
constexpr Duration kHistoryRetention = std::chrono::minutes{ 10 };

/** How long a crash or a cleared suspect is included in the status messages. In
 * this time five messages go to other zones, of which some may be lost. */
constexpr Duration kAnnounceDuration = std::chrono::seconds{ 2 };

/** Largest number of histories; beyond it the oldest is dropped for a new one.
 */
constexpr std::size_t kMaxHistories = 4'096;

/** Most crashes kept of one suspect: a part that many requests share is at many
 * replicas that crash. */
constexpr std::size_t kMaxCrashes = 64;

} // namespace

CrashLedger::History&
CrashLedger::historyOf(const Suspect& aSuspect, TimePoint aNow)
{
  const auto known = this->histories.find(aSuspect.id);
  if (known != this->histories.end()) {
    known->second.lastUpdate = aNow;
    return known->second;
  }
  if (this->histories.size() >= kMaxHistories) {
    // What is in quarantine is dropped last: each would crash more replicas
    // before it is in quarantine again.
    const auto rank = [](const auto& aEntry) {
      const History& history = aEntry.second;
      return std::tuple{ history.quarantinedSince.has_value(),
                         countOpen(history) >= kEarlyCrashLimit,
                         history.lastUpdate };
    };
    this->histories.erase(
      std::min_element(this->histories.begin(),
                       this->histories.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         return rank(aLeft) < rank(aRight);
                       }));
  }
  History& history = this->histories[aSuspect.id];
  history.suspect = aSuspect;
  history.lastUpdate = aNow;
  return history;
}

bool
CrashLedger::addCrash(History& aHistory,
                      const CrashReport& aReport,
                      TimePoint aNow)
{
  const CrashKind kind = aReport.early ? CrashKind::Early : CrashKind::Late;
  if (aHistory.crashes.size() >= kMaxCrashes &&
      !aHistory.crashes.contains(aReport.replica)) {
    aHistory.crashes.erase(std::min_element(
      aHistory.crashes.begin(),
      aHistory.crashes.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.recordedAt < aRight.second.recordedAt;
      }));
  }
  const auto [entry, isNew] = aHistory.crashes.try_emplace(
    aReport.replica, Crash{ kind, aNow, aReport.brokenAt, {} });
  Crash& crash = entry->second;
  const bool isWorse =
    crash.kind == CrashKind::Late && kind == CrashKind::Early;
  if (isWorse) {
    crash.kind = kind;
    crash.recordedAt = aNow;
  }
  const bool otherAccount =
    aReport.accountPart &&
    crash.accountParts.insert(*aReport.accountPart).second;
  return isNew || isWorse || otherAccount;
}

bool
CrashLedger::onCrash(const CrashReport& aReport,
                     CrashSource aSource,
                     TimePoint aNow)
{
  std::vector<Suspect> suspects;
  if (aReport.accountPart) {
    suspects = { partSuspect(aReport.suspect),
                 accountPartSuspect(aReport.suspect, *aReport.accountPart) };
  } else {
    suspects = { contentSuspect(aReport.suspect) };
  }
  bool mayChange = false;
  for (const Suspect& suspect : suspects) {
    History& history = this->historyOf(suspect, aNow);
    const bool isNews = addCrash(history, aReport, aNow) ||
                        (aReport.familiar && !history.familiar);
    history.familiar = history.familiar || aReport.familiar;
    // One crash alone puts nothing into quarantine and explains nothing.
    mayChange = mayChange || (isNews && countOpen(history) >= kEarlyCrashLimit);
  }
  if (!mayChange) {
    return false;
  }
  const std::size_t before = this->changes.begun.size();
  this->judge(aSource, aNow);
  return this->changes.begun.size() > before;
}

bool
CrashLedger::onQuarantined(const QuarantineRecord& aRecord, TimePoint aNow)
{
  if (aRecord.age >= kQuarantineDuration) {
    return false;
  }
  History& history = this->historyOf(aRecord.suspect, aNow);
  if (history.servedAt && aNow - *history.servedAt < kAnnounceDuration) {
    // The sender has not yet received the report that the request was served.
    return false;
  }
  if (this->isExplained(history)) {
    return false;
  }
  history.trials = std::max(history.trials, aRecord.trials);
  if (history.quarantinedSince) {
    history.quarantinedSince =
      std::min(*history.quarantinedSince, aNow - aRecord.age);
    return false;
  }
  history.quarantinedSince = aNow - aRecord.age;
  history.reported = true;
  this->changes.begun.emplace_back(aRecord.suspect, CrashSource::Peer);
  return true;
}

bool
CrashLedger::onServed(const Fingerprint& aSuspect, TimePoint aNow)
{
  bool isNews = false;
  const std::size_t before = this->changes.ended.size();
  for (auto& [id, history] : this->histories) {
    const bool concerned = id == aSuspect || history.suspect.part == aSuspect;
    if (!concerned || (!history.quarantinedSince && countOpen(history) == 0)) {
      continue;
    }
    isNews = true;
    for (auto& [replica, crash] : history.crashes) {
      crash.kind = CrashKind::Cleared;
    }
    history.servedAt = aNow;
    history.lastUpdate = aNow;
    if (history.quarantinedSince) {
      this->end(history);
    }
  }
  const bool ended = this->changes.ended.size() > before;
  if (isNews) {
    this->judge(CrashSource::Peer, aNow);
  }
  return ended;
}

void
CrashLedger::allowTrial(const Fingerprint& aContent, TimePoint aFrom)
{
  const auto found = this->histories.find(aContent);
  if (found != this->histories.end()) {
    found->second.trialFrom = aFrom;
  }
}

bool
CrashLedger::takeTrial(const Fingerprint& aContent, TimePoint aNow)
{
  const auto found = this->histories.find(aContent);
  if (found == this->histories.end()) {
    return false;
  }
  History& history = found->second;
  const bool allowed = history.trialFrom && *history.trialFrom <= aNow &&
                       history.crashes.size() < kTrialCrashLimit;
  if (allowed) {
    history.trialFrom.reset();
  }
  return allowed;
}

bool
CrashLedger::isPartTrialDue(const Fingerprint& aSuspect,
                            const TrialTurn& aTurn,
                            TimePoint aNow) const
{
  const auto found = this->histories.find(aSuspect);
  if (found == this->histories.end() || !found->second.quarantinedSince) {
    return false;
  }
  const History& history = found->second;
  const bool isLikely = this->isLikelyCulprit(aSuspect);
  const Duration elapsed = aNow - *history.quarantinedSince -
                           (isLikely ? kSoleCulpritDelay : Duration{ 0 });
  if (elapsed < Duration{ 0 } ||
      elapsed % kTrialTurn > kTrialTurn - kTrialTurnEnd) {
    return false;
  }
  const auto turn = static_cast<std::size_t>(elapsed / kTrialTurn);
  const bool tried =
    history.lastTrialAt && aNow - *history.lastTrialAt < kTrialTurn;
  return turn % aTurn.relays == aTurn.rank && !tried &&
         history.trials < (isLikely ? kMaxLikelyTrials : kMaxPartTrials) &&
         countOpen(history) < kTrialCrashLimit;
}

void
CrashLedger::onPartTrial(const Fingerprint& aSuspect, TimePoint aNow)
{
  const auto found = this->histories.find(aSuspect);
  if (found != this->histories.end()) {
    ++found->second.trials;
    found->second.lastTrialAt = aNow;
  }
}

void
CrashLedger::expire(TimePoint aNow)
{
  std::erase_if(this->histories, [aNow](const auto& aEntry) {
    const History& history = aEntry.second;
    return history.quarantinedSince
             ? aNow - *history.quarantinedSince >= kQuarantineDuration
             : aNow - history.lastUpdate >= kHistoryRetention;
  });
}

std::optional<Duration>
CrashLedger::quarantineLeft(const Fingerprint& aSuspect, TimePoint aNow) const
{
  const auto found = this->histories.find(aSuspect);
  if (found == this->histories.end() || !found->second.quarantinedSince) {
    return std::nullopt;
  }
  const Duration left =
    *found->second.quarantinedSince + kQuarantineDuration - aNow;
  return left > Duration{ 0 } ? std::optional{ left } : std::nullopt;
}

bool
CrashLedger::isLikelyCulprit(const Fingerprint& aSuspect) const
{
  const auto found = this->histories.find(aSuspect);
  return found != this->histories.end() && found->second.quarantinedSince &&
         (found->second.soleCulprit || found->second.reported);
}

std::vector<QuarantineRecord>
CrashLedger::quarantine(TimePoint aNow) const
{
  std::vector<QuarantineRecord> records;
  for (const auto& [id, history] : this->histories) {
    if (history.quarantinedSince) {
      records.push_back(QuarantineRecord{ history.suspect,
                                          aNow - *history.quarantinedSince,
                                          history.own,
                                          history.trials });
    }
  }
  return records;
}

QuarantineChanges
CrashLedger::takeChanges()
{
  return std::exchange(this->changes, {});
}

std::vector<CrashReport>
CrashLedger::latestCrashes(TimePoint aNow, std::size_t aMaxCount) const
{
  struct Ranked
  {
    CrashReport report;
    std::size_t crashes = 0;
  };
  std::vector<Ranked> ranked;
  const auto add = [&](const History& aHistory,
                       const std::string& aReplica,
                       const Crash& aCrash,
                       std::optional<Fingerprint> aAccountPart) {
    ranked.push_back(Ranked{ CrashReport{ aHistory.suspect.id,
                                          aReplica,
                                          aCrash.kind == CrashKind::Early,
                                          aAccountPart,
                                          aHistory.familiar,
                                          aCrash.brokenAt },
                             countOpen(aHistory) });
  };
  for (const auto& [id, history] : this->histories) {
    if (history.suspect.kind == SuspectKind::AccountPart) {
      // The reports of the part say which accounts had it.
      continue;
    }
    for (const auto& [replica, crash] : history.crashes) {
      const bool counts = crash.kind != CrashKind::Cleared;
      if (!counts || aNow - crash.recordedAt >= kAnnounceDuration) {
        continue;
      }
      if (history.suspect.kind == SuspectKind::Content) {
        add(history, replica, crash, std::nullopt);
      }
      for (const Fingerprint& accountPart : crash.accountParts) {
        add(history, replica, crash, accountPart);
      }
    }
  }
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [](const Ranked& aLeft, const Ranked& aRight) {
                     return std::pair{ aLeft.crashes, aLeft.report.early } >
                            std::pair{ aRight.crashes, aRight.report.early };
                   });
  std::vector<CrashReport> reports;
  for (std::size_t i = 0; i < std::min(ranked.size(), aMaxCount); ++i) {
    reports.push_back(std::move(ranked[i].report));
  }
  return reports;
}

std::vector<Fingerprint>
CrashLedger::latestServed(TimePoint aNow) const
{
  std::set<Fingerprint> served;
  for (const auto& [id, history] : this->histories) {
    if (history.servedAt && aNow - *history.servedAt < kAnnounceDuration) {
      served.insert(history.suspect.part);
    }
  }
  return { served.begin(), served.end() };
}

} // namespace poplartrack
