#include "RetryAdvice.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Only this relay cannot serve, since it stops, starts, is cut off or has been
 * asked for a backoff. Another one can serve at once, and the answer may still
 * be on time. */
constexpr DelayRange kOtherRelayServes{ std::chrono::milliseconds{ 20 },
                                        std::chrono::milliseconds{ 170 } };

/** Replicas lack capacity. A crashed replica restarts after three to five
 * seconds, and layers that no other replica can hold are loaded two to four
 * seconds later. A caller that uses its one retry earlier is rejected again;
 * its answer is late in either case. */
constexpr DelayRange kCapacityMissing{ std::chrono::milliseconds{ 2'500 },
                                       std::chrono::milliseconds{ 6'000 } };

/** No relay can tell which keys are valid: the store has been unavailable to
 * all for four seconds, and usually is for five to nine. */
constexpr DelayRange kStoreUnavailable{ std::chrono::milliseconds{ 3'000 },
                                        std::chrono::milliseconds{ 6'000 } };

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

/** Returns the range of delays for the caller. For one with little time the
 * whole range is scaled down. */
DelayRange
scaledRange(const RefusalState& aState)
{
  const DelayRange range = rangeFor(aState);
  const Duration maxDelay =
    std::max(aState.timeLeft / kMaxDelayDivisor, Duration{ 0 });
  if (range.max <= maxDelay) {
    return range;
  }
  const double scale = static_cast<double>(maxDelay.count()) /
                       static_cast<double>(range.max.count());
  return { Duration{ static_cast<std::int64_t>(
             scale * static_cast<double>(range.min.count())) },
           maxDelay };
}

} // namespace

Duration
retryAdvice(const RefusalState& aState)
{
  if (aState.kind == ErrorKind::Quarantined &&
      aState.quarantineLeft > Duration{ 0 }) {
    return aState.quarantineLeft;
  }
  const DelayRange range = scaledRange(aState);
  const auto fraction = static_cast<double>(aState.jitterSeed % 1'000) / 1'000;
  return range.min +
         Duration{ static_cast<std::int64_t>(
           fraction * static_cast<double>((range.max - range.min).count())) };
}

std::optional<ReturnBooking>
bookRetry(const RefusalState& aState,
          const ReturnRequest& aRequest,
          ReturnSchedule& aSchedule,
          TimePoint aNow)
{
  const DelayRange range = scaledRange(aState);
  if (aState.kind == ErrorKind::Quarantined || range.max == Duration{ 0 }) {
    return std::nullopt;
  }
  return aSchedule.book(aRequest, range, aNow);
}

} // namespace poplartrack
