#include "poplartrack/fleet/StoreClock.h"

#include <algorithm>
#include <chrono>

namespace poplartrack {
namespace {

/** A told time is rounded to a ms, either way. */
constexpr Duration kRounding = std::chrono::milliseconds{ 1 };

/** Two steady clocks drift apart by some millionths; the bound is lowered by
 * this for each ms of the store, ten times as much as crystals do. */
constexpr double kDriftMicrosPerMs = 0.1;

/** Calls may be answered out of order; a clock that falls back by more than
 * this has been started anew. */
constexpr std::int64_t kRestartMs = 30'000;

} // namespace

void
StoreClock::onAnswer(TimePoint aSent, std::int64_t aStoreMs)
{
  const TimePoint bound =
    aSent - std::chrono::milliseconds{ aStoreMs } - kRounding;
  if (!this->zero || aStoreMs + kRestartMs < this->latestMs) {
    this->zero = bound;
    this->latestMs = aStoreMs;
    return;
  }
  const std::int64_t passed =
    std::max<std::int64_t>(aStoreMs - this->latestMs, 0);
  const Duration drift{ static_cast<std::int64_t>(static_cast<double>(passed) *
                                                  kDriftMicrosPerMs) };
  this->zero = std::max(*this->zero - drift, bound);
  this->latestMs = std::max(this->latestMs, aStoreMs);
}

std::optional<TimePoint>
StoreClock::earliest(std::int64_t aStoreMs) const
{
  if (!this->zero) {
    return std::nullopt;
  }
  return *this->zero + std::chrono::milliseconds{ aStoreMs };
}

} // namespace poplartrack
