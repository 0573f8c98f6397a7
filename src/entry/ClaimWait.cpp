#include "poplartrack/entry/ClaimWait.h"

#include <algorithm>

namespace poplartrack {

std::optional<Duration>
ClaimWait::pauseAfter(const ClaimVerdict& aVerdict, TimePoint aNow)
{
  const auto* refused = std::get_if<ClaimRefused>(&aVerdict);
  if (refused == nullptr || refused->prospect == ClaimProspect::None ||
      aNow >= this->deadline) {
    return std::nullopt;
  }
  if (refused->prospect != ClaimProspect::PlatformMayReturn) {
    this->awaySince.reset();
  } else if (!this->awaySince) {
    this->awaySince = aNow;
  } else if (aNow - *this->awaySince >= this->policy.maxOutage) {
    return std::nullopt;
  }
  const Duration next = std::min<Duration>(this->pause, this->deadline - aNow);
  this->pause = std::min(this->pause * 2, this->policy.maxPause);
  return next;
}

} // namespace poplartrack
