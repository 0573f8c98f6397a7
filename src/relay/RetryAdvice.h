#pragma once

#include <cstdint>
#include <optional>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/ErrorKind.h"
#include "poplartrack/fleet/ReturnSchedule.h"

namespace poplartrack {

/** What a relay knows about a rejected request that has not run. */
struct RefusalState
{
  ErrorKind kind = ErrorKind::Overloaded;
  /** Another relay recently proved that its configuration is the newest. */
  bool othersServe = false;
  /** Time until the caller's deadline or the route's timeout. */
  Duration timeLeft{ 0 };
  /** Determines the jitter, which spreads callers that were rejected together.
   * The same request always gets the same value. */
  std::uint64_t jitterSeed = 0;
  /** For requests in quarantine: how long that lasts; 0: unknown. */
  Duration quarantineLeft{ 0 };
  /** A replica of the request's service takes no calls of this relay for now,
   * but may take those of other relays. */
  bool replicasBackOff = false;
};

/**
 * Returns the delay after which a rejected caller should retry (Retry-After).
 * For a request in quarantine this is the rest of the quarantine. Callers retry
 * once or twice, usually through another relay, and wait for at most a third of
 * their remaining time. After a second rejection they give up.
 */
Duration
retryAdvice(const RefusalState& aState);

/** Books the caller's return within the range of delays from which
 * retryAdvice() chooses by a hash. A request in quarantine is not booked, since
 * no capacity is meant for it, nor one whose caller has no time left. */
std::optional<ReturnBooking>
bookRetry(const RefusalState& aState,
          const ReturnRequest& aRequest,
          ReturnSchedule& aSchedule,
          TimePoint aNow);

} // namespace poplartrack
