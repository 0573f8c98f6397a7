#include "poplartrack/retry/CrashWatch.h"

#include <utility>

namespace poplartrack {

void
CrashWatch::onBroken(CrashReport aReport, TimePoint aNow)
{
  std::vector<Broken>& there = this->waiting[aReport.replica];
  for (Broken& broken : there) {
    if (broken.report.request == aReport.request) {
      broken.report.early = broken.report.early || aReport.early;
      return;
    }
  }
  there.push_back(Broken{ std::move(aReport), aNow });
}

std::set<std::string>
CrashWatch::replicas() const
{
  std::set<std::string> names;
  for (const auto& [replica, there] : this->waiting) {
    names.insert(replica);
  }
  return names;
}

std::vector<CrashReport>
CrashWatch::onEnded(const std::string& aReplica,
                    const RecentlyServedRequests& aServed,
                    TimePoint aNow)
{
  std::vector<CrashReport> reports;
  auto found = this->waiting.extract(aReplica);
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
  for (auto& [replica, there] : this->waiting) {
    std::erase_if(there, [&](const Broken& aBroken) {
      return aNow - aBroken.at > this->patience;
    });
  }
  std::erase_if(this->waiting,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace poplartrack
