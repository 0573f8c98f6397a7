#include "poplartrack/fleet/QueueBound.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Time over which the rate of starts is measured. */
constexpr Duration kRateWindow = std::chrono::seconds{ 2 };

/** A queue has no limit until it is this old. */
constexpr Duration kMinQueueAge = std::chrono::milliseconds{ 500 };

/** A queue that was not seen for this long was empty. Rounds are 25 ms apart.
 */
constexpr Duration kMaxRoundGap = std::chrono::milliseconds{ 100 };

/** Smallest limit. A relay with few requests starts so few within the longest
 * wait that chance decides on their number, and after a loss it may start none
 * for a while. */
constexpr std::size_t kMinLimit = 8;

} // namespace

void
QueueBound::onStart(const std::string& aService, TimePoint aNow)
{
  std::deque<TimePoint>& starts = this->services[aService].starts;
  starts.push_back(aNow);
  while (aNow - starts.front() > kRateWindow) {
    starts.pop_front();
  }
}

std::size_t
QueueBound::requestsOverLimit(const std::string& aService,
                              std::size_t aLength,
                              Duration aLongestWait,
                              TimePoint aNow)
{
  Service& service = this->services[aService];
  if (aNow - service.lastSeenAt > kMaxRoundGap) {
    service.formedAt = aNow;
  }
  service.lastSeenAt = aNow;
  if (aNow - service.formedAt < kMinQueueAge) {
    return 0;
  }
  const TimePoint from = std::max(service.formedAt, aNow - kRateWindow);
  const auto first =
    std::upper_bound(service.starts.begin(), service.starts.end(), from);
  const auto started = static_cast<double>(service.starts.end() - first);
  const double longestWaits = std::chrono::duration<double>(aLongestWait) /
                              std::chrono::duration<double>(aNow - from);
  const std::size_t limit =
    std::max(kMinLimit, static_cast<std::size_t>(started * longestWaits));
  return aLength > limit ? aLength - limit : 0;
}

} // namespace poplartrack
