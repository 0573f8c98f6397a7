#include "poplartrack/relay/LoopLoad.h"

#include <algorithm>
#include <cmath>

namespace poplartrack {
namespace {

/** Time over which the load is averaged. The work of a stream that has just
 * been accepted begins within about this time. */
constexpr Duration kAveragingTime = std::chrono::milliseconds{ 200 };

/** Longest time that one iteration counts for. A process that was suspended, or
 * has used up its quota, is not overloaded for that. */
constexpr Duration kMaxIteration = std::chrono::milliseconds{ 100 };

} // namespace

void
LoopLoad::record(Duration aWaited, Duration aWorked)
{
  const Duration worked = std::min(aWorked, kMaxIteration);
  const Duration total = aWaited + worked;
  if (total <= Duration{ 0 }) {
    return;
  }
  const double share =
    static_cast<double>(worked.count()) / static_cast<double>(total.count());
  const double weight =
    1 - std::exp(-static_cast<double>(total.count()) /
                 static_cast<double>(kAveragingTime.count()));
  this->load += weight * (share - this->load);
}

bool
LoopLoad::turnsAway() const
{
  return this->load >= this->limit;
}

} // namespace poplartrack
