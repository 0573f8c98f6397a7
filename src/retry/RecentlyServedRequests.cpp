#include "poplartrack/retry/RecentlyServedRequests.h"

#include <utility>

namespace poplartrack {
namespace {

/** How long a served request is remembered. */
constexpr Duration kRetention = std::chrono::seconds{ 60 };

/** Largest number of requests remembered from one half of the retention time;
 * further ones are not recorded. */
constexpr std::size_t kMaxRequestsPerHalf = 4'096;

} // namespace

void
RecentlyServedRequests::onServed(const Fingerprint& aRequest, TimePoint aNow)
{
  if (aNow - this->currentSince >= kRetention / 2) {
    this->previous = std::exchange(this->current, {});
    this->currentSince = aNow;
  }
  if (this->current.size() < kMaxRequestsPerHalf ||
      this->current.contains(aRequest)) {
    this->current.insert_or_assign(aRequest, aNow);
  }
}

std::optional<TimePoint>
RecentlyServedRequests::lastServed(const Fingerprint& aRequest,
                                   TimePoint aNow) const
{
  for (const ServedTimes* servedTimes : { &this->current, &this->previous }) {
    const auto found = servedTimes->find(aRequest);
    if (found != servedTimes->end() && aNow - found->second < kRetention) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace poplartrack
