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
                      const RecentlyServedRequests& aServed,
                      TimePoint aNow)
{
  std::vector<CrashReport> reports;
  auto found = this->pending.extract(aReplica);
  if (found.empty()) {
    return reports;
  }
  for (CrashReport& report : found.mapped()) {
    const auto served = aServed.lastServed(report.suspect, aNow);
    if (!served || *served < report.brokenAt) {
      reports.push_back(std::move(report));
    }
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
