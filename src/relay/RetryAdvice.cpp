#include "RetryAdvice.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Range of the delays between which the retries of callers are spread. */
struct DelayRange
{
  Duration min;
  /** Length of the range. */
  Duration jitter;
};

/** Only this relay cannot serve, since it stops, starts, is cut off or has been
 * asked for a backoff. Another one can serve at once, and the answer may still
 * be on time. */
constexpr DelayRange kOtherRelayServes{ std::chrono::milliseconds{ 20 },
                                        std::chrono::milliseconds{ 150 } };

/** Replicas lack capacity. A crashed replica restarts after three to five
 * seconds, and layers that no other replica can hold are loaded two to four
 * seconds later. A caller that uses its one retry earlier is rejected again;
 * its answer is late in either case. */
constexpr DelayRange kCapacityMissing{ std::chrono::milliseconds{ 2'500 },
                                       std::chrono::milliseconds{ 3'500 } };

/** No relay can tell which keys are valid: the store has been unavailable to
 * all for four seconds, and usually is for five to nine. */
constexpr DelayRange kStoreUnavailable{ std::chrono::milliseconds{ 3'000 },
                                        std::chrono::milliseconds{ 3'000 } };

/** Callers wait for at most the remaining time divided by this. */
constexpr int kMaxDelayDivisor = 3;

/** Returns the range of delays for the reason of a rejection. */
DelayRange
rangeFor(const RefusalState& aState)
{
  switch (aState.kind) {
    case ErrorKind::Draining:
      return kOtherRelayServes;
    case ErrorKind::NoConfiguration:
      return aState.othersServe ? kOtherRelayServes : kStoreUnavailable;
    case ErrorKind::NoRoute:
      return aState.replicasBackOff ? kOtherRelayServes : kCapacityMissing;
    default:
      return kCapacityMissing;
  }
}

} // namespace

Duration
retryAdvice(const RefusalState& aState)
{
  if (aState.kind == ErrorKind::Quarantined &&
      aState.quarantineLeft > Duration{ 0 }) {
    return aState.quarantineLeft;
  }
  const DelayRange range = rangeFor(aState);
  const Duration maxDelay = aState.timeLeft / kMaxDelayDivisor;
  // For a caller with little time the whole range is scaled down.
  const Duration rangeEnd = range.min + range.jitter;
  const auto fraction = static_cast<double>(aState.jitterSeed % 1'000) / 1'000;
  const auto delay =
    range.min + Duration{ static_cast<std::int64_t>(
                  fraction * static_cast<double>(range.jitter.count())) };
  if (rangeEnd <= maxDelay) {
    return delay;
  }
  const double scale =
    static_cast<double>(std::max(maxDelay, Duration{ 0 }).count()) /
    static_cast<double>(rangeEnd.count());
  return Duration{ static_cast<std::int64_t>(
    scale * static_cast<double>(delay.count())) };
}

} // namespace poplartrack
