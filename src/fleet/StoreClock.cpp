#include "poplartrack/fleet/StoreClock.h"

#include <algorithm>
#include <chrono>

namespace poplartrack {
namespace {

/** The store's time is rounded to 1 ms, up or down. */
constexpr Duration kRoundingError = std::chrono::milliseconds{ 1 };

/** The bound is lowered by this for each ms on the store's clock, because two
 * steady clocks drift apart by some millionths. This is ten times the drift of
 * crystals. */
constexpr double kDriftMicrosPerMs = 0.1;

/** Answers may arrive out of order. A clock that falls back by more than this
 * was restarted. */
constexpr std::int64_t kRestartThresholdMs = 30'000;

} // namespace

void
StoreClock::onAnswer(TimePoint aSent, std::int64_t aStoreMs)
{
  const TimePoint bound =
    aSent - std::chrono::milliseconds{ aStoreMs } - kRoundingError;
  if (!this->origin || aStoreMs + kRestartThresholdMs < this->latestMs) {
    this->origin = bound;
    this->latestMs = aStoreMs;
    return;
  }
  const std::int64_t passed =
    std::max<std::int64_t>(aStoreMs - this->latestMs, 0);
  const Duration drift{ static_cast<std::int64_t>(static_cast<double>(passed) *
                                                  kDriftMicrosPerMs) };
  this->origin = std::max(*this->origin - drift, bound);
  this->latestMs = std::max(this->latestMs, aStoreMs);
}

std::optional<TimePoint>
StoreClock::earliest(std::int64_t aStoreMs) const
{
  if (!this->origin) {
    return std::nullopt;
  }
  return *this->origin + std::chrono::milliseconds{ aStoreMs };
}

} // namespace poplartrack
