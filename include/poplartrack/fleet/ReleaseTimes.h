#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Shortest time from the announcement of a release to its order. After this
 * time an announcement has reached all relays, and their reports have come
 * back, even if a report was lost: up to 0.4 s until the announcement is sent
 * to other zones, 0.4 s until a relay there reports a request that it began
 * before, 1.2 s until a lost report is repeated (StatusRepeat, checked every
 * 0.4 s), and 0.2 s at a forwarder each way. The sum is 2.4 s. */
inline constexpr Duration kAnnouncementTime =
  std::chrono::milliseconds{ 2'500 };

/** Longest time from announcement to order. Most answers end sooner. */
inline constexpr Duration kMaxReleaseTime = std::chrono::seconds{ 15 };

/** For this long after a relay has fallen silent, the requests through
 * announced layers are unknown: it may be cut off and still have some. As long
 * as the longest release, so that none that it knows of is ordered. */
inline constexpr Duration kSilenceTime = kMaxReleaseTime;

} // namespace poplartrack
