#include "poplartrack/retry/RecentlyServedRequests.h"

#include <utility>

namespace poplartrack {
namespace {

constexpr Duration kRemembered = std::chrono::seconds{ 60 };

/** Contents of half that time; what comes above them is not noted. */
constexpr std::size_t kMost = 4'096;

} // namespace

void
RecentlyServedRequests::onServed(const Fingerprint& aContent, TimePoint aNow)
{
  if (aNow - this->begunAt >= kRemembered / 2) {
    this->before = std::exchange(this->present, {});
    this->begunAt = aNow;
  }
  if (this->present.size() < kMost || this->present.contains(aContent)) {
    this->present.insert_or_assign(aContent, aNow);
  }
}

std::optional<TimePoint>
RecentlyServedRequests::lastServed(const Fingerprint& aContent,
                                   TimePoint aNow) const
{
  for (const Moments* moments : { &this->present, &this->before }) {
    const auto found = moments->find(aContent);
    if (found != moments->end() && aNow - found->second < kRemembered) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace poplartrack
