#include "poplartrack/fleet/SuspectRechecks.h"

#include <algorithm>

namespace poplartrack {

bool
SuspectRechecks::isDue(const std::string& aReplica,
                       TimePoint aSince,
                       RecheckTurn aTurn,
                       TimePoint aNow)
{
  Asked& last = this->asked[aReplica];
  if (last.since != aSince) {
    last.since = aSince;
    last.interval = 0;
  }
  const auto interval = static_cast<std::uint64_t>(
    std::max(aNow - aSince, Duration{ 0 }) / kInterval);
  const std::size_t relays = std::max<std::size_t>(aTurn.relays, 1);
  bool due = false;
  // The turn may have come in an interval that passed without a call.
  const std::uint64_t passed = std::min<std::uint64_t>(
    interval - std::min(interval, last.interval), relays);
  for (std::uint64_t i = 0; i < passed; ++i) {
    due = due || (interval - i) % relays == aTurn.rank % relays;
  }
  last.interval = std::max(last.interval, interval);
  return due;
}

bool
SuspectRechecks::isDueOnWithdrawal(const std::string& aReplica, TimePoint aNow)
{
  Asked& last = this->asked[aReplica];
  if (last.outOfTurnAt != TimePoint{} &&
      aNow - last.outOfTurnAt < kWithdrawalInterval) {
    return false;
  }
  last.outOfTurnAt = aNow;
  return true;
}

void
SuspectRechecks::keepOnly(const std::set<std::string>& aKept)
{
  std::erase_if(this->asked, [&](const auto& aEntry) {
    return !aKept.contains(aEntry.first);
  });
}

} // namespace poplartrack
