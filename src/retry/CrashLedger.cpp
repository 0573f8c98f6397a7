#include "poplartrack/retry/CrashLedger.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** A request is put into quarantine when this many replicas have crashed just
 * after they began to run it. One crash involves every request at that replica;
 * few of them are by chance also at the start when a second replica crashes. */
constexpr std::size_t kEarlyCrashLimit = 2;

/** A request is put into quarantine when this many replicas have crashed at any
 * time while they ran it. */
constexpr std::size_t kCrashLimit = 3;

/** No trial run of a request is allowed once this many replicas have crashed
 * under it. This bounds how many replicas one request can crash in all, however
 * many callers send it. */
constexpr std::size_t kTrialCrashLimit = 5;

/** How long a quarantine lasts. By then the replicas may run another version,
 * which the request does not crash. */
constexpr Duration kQuarantineDuration = std::chrono::hours{ 1 };

/** A history without a quarantine is dropped this long after its last update.
 */
constexpr Duration kHistoryRetention = std::chrono::minutes{ 10 };

/** How long a crash or a cleared request is included in the status messages. In
 * this time five messages go to other zones, of which some may be lost. */
constexpr Duration kAnnounceDuration = std::chrono::seconds{ 2 };

/** Largest number of histories; beyond it the oldest is dropped for a new one.
 */
constexpr std::size_t kMaxHistories = 4'096;

} // namespace

bool
CrashLedger::needsQuarantine(const RequestHistory& aHistory)
{
  std::size_t early = 0;
  std::size_t all = 0;
  for (const auto& [replica, crash] : aHistory.crashes) {
    early += crash.kind == CrashKind::Early ? 1 : 0;
    all += crash.kind == CrashKind::Cleared ? 0 : 1;
  }
  return early >= kEarlyCrashLimit || all >= kCrashLimit;
}

CrashLedger::RequestHistory&
CrashLedger::historyOf(const Fingerprint& aRequest, TimePoint aNow)
{
  const auto known = this->histories.find(aRequest);
  if (known != this->histories.end()) {
    known->second.lastUpdate = aNow;
    return known->second;
  }
  if (this->histories.size() >= kMaxHistories) {
    // Quarantined requests are dropped last: each would crash two more replicas
    // before it is in quarantine again.
    const auto rank = [](const auto& aEntry) {
      return std::pair{ aEntry.second.quarantinedSince.has_value(),
                        aEntry.second.lastUpdate };
    };
    this->histories.erase(
      std::min_element(this->histories.begin(),
                       this->histories.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         return rank(aLeft) < rank(aRight);
                       }));
  }
  RequestHistory& history = this->histories[aRequest];
  history.lastUpdate = aNow;
  return history;
}

bool
CrashLedger::onCrash(const CrashReport& aReport,
                     CrashSource aSource,
                     TimePoint aNow)
{
  const CrashKind kind = aReport.early ? CrashKind::Early : CrashKind::Late;
  RequestHistory& history = this->historyOf(aReport.request, aNow);
  const auto [crash, isNew] =
    history.crashes.try_emplace(aReport.replica, Crash{ kind, aNow });
  const bool worse =
    !isNew && crash->second.kind == CrashKind::Late && kind == CrashKind::Early;
  if (worse) {
    crash->second = Crash{ kind, aNow };
  }
  if (!isNew && !worse) {
    return false;
  }
  if (history.quarantinedSince || !needsQuarantine(history)) {
    return false;
  }
  history.quarantinedSince = aNow;
  history.own = aSource == CrashSource::Own;
  return true;
}

bool
CrashLedger::onQuarantined(const Fingerprint& aRequest,
                           Duration aAge,
                           TimePoint aNow)
{
  if (aAge >= kQuarantineDuration) {
    return false;
  }
  RequestHistory& history = this->historyOf(aRequest, aNow);
  if (history.servedAt && aNow - *history.servedAt < kAnnounceDuration) {
    // The sender has not yet received the report that the request was served.
    return false;
  }
  const bool isNew = !history.quarantinedSince;
  history.quarantinedSince =
    isNew ? aNow - aAge : std::min(*history.quarantinedSince, aNow - aAge);
  return isNew;
}

bool
CrashLedger::onServed(const Fingerprint& aRequest, TimePoint aNow)
{
  const auto found = this->histories.find(aRequest);
  if (found == this->histories.end()) {
    return false;
  }
  RequestHistory& history = found->second;
  const bool isSuspect =
    history.quarantinedSince ||
    std::any_of(
      history.crashes.begin(), history.crashes.end(), [](const auto& aCrash) {
        return aCrash.second.kind != CrashKind::Cleared;
      });
  if (!isSuspect) {
    return false;
  }
  for (auto& [replica, crash] : history.crashes) {
    crash.kind = CrashKind::Cleared;
  }
  history.servedAt = aNow;
  history.lastUpdate = aNow;
  const bool endsQuarantine = history.quarantinedSince.has_value();
  history.quarantinedSince.reset();
  return endsQuarantine;
}

void
CrashLedger::allowTrial(const Fingerprint& aRequest, TimePoint aFrom)
{
  const auto found = this->histories.find(aRequest);
  if (found != this->histories.end()) {
    found->second.trialFrom = aFrom;
  }
}

bool
CrashLedger::takeTrial(const Fingerprint& aRequest, TimePoint aNow)
{
  const auto found = this->histories.find(aRequest);
  if (found == this->histories.end()) {
    return false;
  }
  RequestHistory& history = found->second;
  const bool allowed = history.trialFrom && *history.trialFrom <= aNow &&
                       history.crashes.size() < kTrialCrashLimit;
  if (allowed) {
    history.trialFrom.reset();
  }
  return allowed;
}

void
CrashLedger::expire(TimePoint aNow)
{
  std::erase_if(this->histories, [aNow](const auto& aEntry) {
    const RequestHistory& history = aEntry.second;
    return history.quarantinedSince
             ? aNow - *history.quarantinedSince >= kQuarantineDuration
             : aNow - history.lastUpdate >= kHistoryRetention;
  });
}

std::optional<Duration>
CrashLedger::quarantineLeft(const Fingerprint& aRequest, TimePoint aNow) const
{
  const auto found = this->histories.find(aRequest);
  if (found == this->histories.end() || !found->second.quarantinedSince) {
    return std::nullopt;
  }
  const Duration left =
    *found->second.quarantinedSince + kQuarantineDuration - aNow;
  return left > Duration{ 0 } ? std::optional{ left } : std::nullopt;
}

std::vector<QuarantineRecord>
CrashLedger::quarantine(TimePoint aNow) const
{
  std::vector<QuarantineRecord> records;
  for (const auto& [request, history] : this->histories) {
    if (history.quarantinedSince) {
      records.push_back(QuarantineRecord{
        request, aNow - *history.quarantinedSince, history.own });
    }
  }
  return records;
}

std::vector<CrashReport>
CrashLedger::latestCrashes(TimePoint aNow, std::size_t aMaxCount) const
{
  std::vector<CrashReport> reports;
  for (const auto& [request, history] : this->histories) {
    for (const auto& [replica, crash] : history.crashes) {
      const bool counts = crash.kind != CrashKind::Cleared;
      if (counts && aNow - crash.recordedAt < kAnnounceDuration) {
        reports.push_back(
          CrashReport{ request, replica, crash.kind == CrashKind::Early });
      }
    }
  }
  std::stable_partition(
    reports.begin(), reports.end(), [](const CrashReport& aReport) {
      return aReport.early;
    });
  if (reports.size() > aMaxCount) {
    reports.resize(aMaxCount);
  }
  return reports;
}

std::vector<Fingerprint>
CrashLedger::latestServed(TimePoint aNow) const
{
  std::vector<Fingerprint> served;
  for (const auto& [request, history] : this->histories) {
    if (history.servedAt && aNow - *history.servedAt < kAnnounceDuration) {
      served.push_back(request);
    }
  }
  return served;
}

} // namespace poplartrack
