#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/**
 * Which contents replicas ran to a good end lately, and when last. What many
 * callers ask for is in flight at many replicas, and so at each one that
 * crashes by itself. Bounded; pure; not thread-safe.
 */
class RecentlyServedRequests
{
public:
  void onServed(const Fingerprint& aContent, TimePoint aNow);
  /** When it was last served; nothing when that is longer ago than a minute. */
  [[nodiscard]] std::optional<TimePoint> lastServed(const Fingerprint& aContent,
                                                    TimePoint aNow) const;

private:
  using Moments = std::map<Fingerprint, TimePoint>;

  /** Those of the present half minute, and of the one before it. */
  Moments present;
  Moments before;
  TimePoint begunAt{};
};

} // namespace poplartrack
