// How the crash ledger derives from the crashes what is in quarantine.

#include <algorithm>
#include <utility>

#include "CrashLimits.h"
#include "poplartrack/retry/CrashLedger.h"

namespace poplartrack {

CrashLedger::Replicas
CrashLedger::openCrashes(const History& aHistory, const Replicas& aExplained)
{
  Replicas open;
  for (const auto& [replica, crash] : aHistory.crashes) {
    if (crash.kind != CrashKind::Cleared && !aExplained.contains(replica)) {
      open.insert(replica);
    }
  }
  return open;
}

std::size_t
CrashLedger::countOpen(const History& aHistory)
{
  return static_cast<std::size_t>(std::count_if(
    aHistory.crashes.begin(), aHistory.crashes.end(), [](const auto& aCrash) {
      return aCrash.second.kind != CrashKind::Cleared;
    }));
}

bool
CrashLedger::areOfOneAccount(const History& aHistory, const Replicas& aCrashes)
{
  std::set<Fingerprint> common;
  bool first = true;
  for (const std::string& replica : aCrashes) {
    const std::set<Fingerprint>& here =
      aHistory.crashes.at(replica).accountParts;
    if (first) {
      common = here;
      first = false;
      continue;
    }
    std::erase_if(common, [&](const Fingerprint& aAccountPart) {
      return !here.contains(aAccountPart);
    });
  }
  return !common.empty();
}

bool
CrashLedger::needsQuarantine(const History& aHistory, const Replicas& aCrashes)
{
  if (aCrashes.size() >= kCrashLimit) {
    // If one account had the part each time, another account's requests with it
    // may be harmless: anyone can name the parts of others.
    return aHistory.suspect.kind != SuspectKind::Part ||
           !areOfOneAccount(aHistory, aCrashes);
  }
  const auto early = static_cast<std::size_t>(std::count_if(
    aCrashes.begin(), aCrashes.end(), [&](const std::string& aReplica) {
      return aHistory.crashes.at(aReplica).kind == CrashKind::Early;
    }));
  return aHistory.suspect.kind == SuspectKind::Content &&
         early >= kEarlyCrashLimit;
}

std::set<Fingerprint>
CrashLedger::responsibleParts(Replicas& aExplained)
{
  /** How suspect a part is: by its crashes, then by its unfamiliarity. */
  using Weight = std::pair<std::size_t, bool>;
  std::set<Fingerprint> responsible;
  while (true) {
    std::vector<History*> candidates;
    Replicas crashes;
    Weight most{ 0, false };
    for (auto& [id, history] : this->histories) {
      if (history.suspect.kind == SuspectKind::Content ||
          history.crashes.size() < kCrashLimit || responsible.contains(id)) {
        continue;
      }
      const Replicas open = openCrashes(history, aExplained);
      const Weight weight{ open.size(), !history.familiar };
      if (weight < most || !needsQuarantine(history, open)) {
        continue;
      }
      if (weight > most) {
        most = weight;
        candidates.clear();
        crashes.clear();
      }
      candidates.push_back(&history);
      crashes.insert(open.begin(), open.end());
    }
    if (candidates.empty()) {
      return responsible;
    }
    for (History* candidate : candidates) {
      candidate->soleCulprit = candidates.size() == 1;
      responsible.insert(candidate->suspect.id);
    }
    aExplained.merge(crashes);
  }
}

void
CrashLedger::judge(CrashSource aSource, TimePoint aNow)
{
  this->explained.clear();
  const std::set<Fingerprint> parts = this->responsibleParts(this->explained);
  for (auto& [id, history] : this->histories) {
    const bool isContent = history.suspect.kind == SuspectKind::Content;
    const bool isResponsible =
      isContent
        ? history.crashes.size() >= kEarlyCrashLimit &&
            needsQuarantine(history, openCrashes(history, this->explained))
        : parts.contains(id);
    this->apply(history, isResponsible, aSource, aNow);
  }
}

void
CrashLedger::apply(History& aHistory,
                   bool aResponsible,
                   CrashSource aSource,
                   TimePoint aNow)
{
  if (aResponsible) {
    aHistory.reported = false;
    if (!aHistory.quarantinedSince) {
      aHistory.quarantinedSince = aNow;
      aHistory.own = aSource == CrashSource::Own;
      this->changes.begun.emplace_back(aHistory.suspect, aSource);
    }
    return;
  }
  aHistory.soleCulprit = false;
  if (aHistory.quarantinedSince &&
      (!aHistory.reported || this->isExplained(aHistory))) {
    this->end(aHistory);
  }
}

/** Returns whether others are responsible for all crashes of a suspect. */
bool
CrashLedger::isExplained(const History& aHistory) const
{
  return countOpen(aHistory) > 0 &&
         openCrashes(aHistory, this->explained).empty();
}

void
CrashLedger::end(History& aHistory)
{
  aHistory.quarantinedSince.reset();
  aHistory.reported = false;
  this->changes.ended.push_back(aHistory.suspect);
}

} // namespace poplartrack
