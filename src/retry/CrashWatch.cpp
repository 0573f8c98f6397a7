#include "poplartrack/retry/CrashWatch.h"

#include <utility>

namespace poplartrack {

void
CrashWatch::onBroken(CrashReport aReport, TimePoint aNow)
{
  std::vector<CrashReport>& pendingHere = this->pending[aReport.replica];
  for (CrashReport& broken : pendingHere) {
    if (broken.suspect == aReport.suspect &&
        broken.accountPart == aReport.accountPart) {
      broken.early = broken.early || aReport.early;
      broken.silent = broken.silent && aReport.silent;
      return;
    }
  }
  aReport.brokenAt = aNow;
  pendingHere.push_back(std::move(aReport));
}

std::set<std::string>
CrashWatch::replicas() const
{
  std::set<std::string> names;
  for (const auto& [replica, pendingHere] : this->pending) {
    names.insert(replica);
  }
  return names;
}

std::vector<CrashReport>
CrashWatch::onCrashed(const std::string& aReplica,
                      CrashProof aProof,
                      const RecentlyServedRequests& aServed,
                      TimePoint aNow)
{
  std::vector<CrashReport> reports;
  const auto found = this->pending.find(aReplica);
  if (found == this->pending.end()) {
    return reports;
  }
  std::vector<CrashReport> kept;
  for (CrashReport& report : found->second) {
    if (report.silent && aProof != CrashProof::Exited) {
      kept.push_back(std::move(report));
      continue;
    }
    const auto served = aServed.lastServed(report.suspect, aNow);
    if (!served || *served < report.brokenAt) {
      reports.push_back(std::move(report));
    }
  }
  if (kept.empty()) {
    this->pending.erase(found);
  } else {
    found->second = std::move(kept);
  }
  return reports;
}

void
CrashWatch::expire(TimePoint aNow)
{
  for (auto& [replica, pendingHere] : this->pending) {
    std::erase_if(pendingHere, [&](const CrashReport& aBroken) {
      return aNow - aBroken.brokenAt > this->timeout;
    });
  }
  std::erase_if(this->pending,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace poplartrack
