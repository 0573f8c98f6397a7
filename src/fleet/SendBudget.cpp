#include "poplartrack/fleet/SendBudget.h"

#include <algorithm>
#include <cstdint>

namespace poplartrack {

bool
SendBudget::mayBegin(TimePoint aNow) const
{
  return this->paidAt <= aNow;
}

void
SendBudget::take(std::size_t aBytes, TimePoint aNow)
{
  if (this->rate <= 0) {
    return;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const Duration cost{ static_cast<std::int64_t>(
    static_cast<double>(aBytes) * kMicrosPerSecond / this->rate) };
  this->paidAt = std::max(this->paidAt, aNow - this->burst) + cost;
}

} // namespace poplartrack
