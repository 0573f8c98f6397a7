#include "poplartrack/fleet/RecentReplicas.h"

#include <chrono>

namespace poplartrack {
namespace {

/** A replica that has not been listed for this long has exited. Outages of the
 * store last seconds. */
constexpr Duration kUnlistedRetention = std::chrono::minutes{ 10 };

} // namespace

void
RecentReplicas::onList(const std::set<std::string>& aListed, TimePoint aNow)
{
  for (auto& [replica, since] : this->unlistedSince) {
    if (!aListed.contains(replica) && !since) {
      since = aNow;
    }
  }
  std::erase_if(this->unlistedSince, [aNow](const auto& aEntry) {
    return aEntry.second && aNow - *aEntry.second > kUnlistedRetention;
  });
  for (const std::string& replica : aListed) {
    this->unlistedSince.insert_or_assign(replica, std::nullopt);
  }
}

void
RecentReplicas::onMentioned(const std::string& aReplica, TimePoint aNow)
{
  this->unlistedSince.try_emplace(aReplica, aNow);
}

std::set<std::string>
RecentReplicas::ids() const
{
  std::set<std::string> ids;
  for (const auto& [replica, since] : this->unlistedSince) {
    ids.insert(replica);
  }
  return ids;
}

} // namespace poplartrack
