#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** The replicas that are listed, or were until recently. What is known of a
 * replica is kept for these, since an entry may vanish and come back while its
 * replica runs: when the store was unavailable, or was restored from a copy.
 * Pure; not thread-safe. */
class RecentReplicas
{
public:
  /** Takes over the ids of the replicas that are listed now. */
  void onList(const std::set<std::string>& aListed, TimePoint aNow);
  /** Adds a replica that is not listed yet. */
  void onMentioned(const std::string& aReplica, TimePoint aNow);

  /** Returns the ids. */
  [[nodiscard]] std::set<std::string> ids() const;

private:
  /** Since when each one has not been listed; nullopt while it is. */
  std::map<std::string, std::optional<TimePoint>> unlistedSince;
};

} // namespace poplartrack
