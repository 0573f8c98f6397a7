#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/ErrorKind.h"

namespace poplartrack {

/** What is known when a request is refused that has not run. */
struct RefusalState
{
  ErrorKind kind = ErrorKind::Overloaded;
  /** Other relays are heard that know the newest configuration. */
  bool othersServe = false;
  /** Until the caller's deadline or the route's timeout. */
  Duration timeLeft{ 0 };
  /** Spreads callers that were refused together; the same for one request. */
  std::uint64_t jitterSeed = 0;
  /** How long what it is refused for is known to last; 0: not known. */
  Duration quarantineLeft{ 0 };
};

/**
 * When a caller that was refused should come back. Where the reason is known
 * to last, then. Callers come back once or
 * twice, through another relay as a rule, and wait for a third of their time at
 * most; a second refusal is their last.
 */
Duration
retryAdvice(const RefusalState& aState);

} // namespace poplartrack
