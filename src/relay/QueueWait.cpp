#include "QueueWait.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Maximum wait of a started stream for another path after its replica was
 * lost. Callers give up a stream without events after 2 s. */
constexpr Duration kMaxResumeWait = std::chrono::milliseconds{ 1'500 };

/** Maximum wait of a caller that has returned when it was told to, as far as
 * its deadline permits. It gives up when it is refused again, and gives up a
 * stream without an event after 2 s. */
constexpr Duration kMaxReturnWait = std::chrono::milliseconds{ 1'900 };

} // namespace

Duration
maxNewWaitOf(const Exchange& aExchange)
{
  return std::min(kMaxQueueWait, aExchange.route->objective * 2);
}

Duration
longestWaitOf(const Exchange& aExchange)
{
  if (aExchange.answering) {
    return kMaxResumeWait;
  }
  return aExchange.returnedAfterDue ? kMaxReturnWait : maxNewWaitOf(aExchange);
}

} // namespace poplartrack
