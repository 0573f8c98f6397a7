#include "poplartrack/retry/CrashWatch.h"

#include <utility>

namespace poplartrack {

void
CrashWatch::onBroken(CrashReport aReport, TimePoint aNow)
{
  std::vector<Broken>& pendingHere = this->pending[aReport.replica];
  for (Broken& broken : pendingHere) {
    if (broken.report.request == aReport.request) {
      broken.report.early = broken.report.early || aReport.early;
      return;
    }
  }
  pendingHere.push_back(Broken{ std::move(aReport), aNow });
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
  for (Broken& broken : found.mapped()) {
    const auto served = aServed.lastServed(broken.report.request, aNow);
    if (!served || *served < broken.at) {
      reports.push_back(std::move(broken.report));
    }
  }
  return reports;
}

void
CrashWatch::expire(TimePoint aNow)
{
  for (auto& [replica, pendingHere] : this->pending) {
    std::erase_if(pendingHere, [&](const Broken& aBroken) {
      return aNow - aBroken.at > this->timeout;
    });
  }
  std::erase_if(this->pending,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace poplartrack
