#include "poplartrack/fleet/RequestedBackoffs.h"

#include <algorithm>

namespace poplartrack {

bool
RequestedBackoffs::onRequested(const std::string& aReplica,
                               Duration aBackoff,
                               TimePoint aNow)
{
  const bool isNew = !this->inForce(aReplica, aNow);
  TimePoint& end = this->ends[aReplica];
  end = std::max(end, aNow + aBackoff);
  return isNew;
}

bool
RequestedBackoffs::expire(TimePoint aNow)
{
  return std::erase_if(this->ends, [aNow](const auto& aEntry) {
           return aEntry.second <= aNow;
         }) > 0;
}

bool
RequestedBackoffs::inForce(const std::string& aReplica, TimePoint aNow) const
{
  const auto found = this->ends.find(aReplica);
  return found != this->ends.end() && aNow < found->second;
}

std::set<std::string>
RequestedBackoffs::replicas() const
{
  std::set<std::string> ids;
  for (const auto& [replica, end] : this->ends) {
    ids.insert(replica);
  }
  return ids;
}

} // namespace poplartrack
