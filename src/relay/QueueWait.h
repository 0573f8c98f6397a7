#pragma once

#include "Exchange.h"
#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Interval at which a waiting request is tried again. It waits for a path, or
 * after the start of the relay for the configuration and the replica list. */
constexpr Duration kWaitRetryInterval = std::chrono::milliseconds{ 25 };

/** Maximum wait of a request for a path with enough memory; twice the latency
 * objective if that is shorter. Callers give up a stream without an event after
 * four objectives, and the prefill is still to come. Refusing callers sooner
 * does not help: they retry only once, the retry comes too late, and it is
 * refused again. */
constexpr Duration kMaxQueueWait = std::chrono::milliseconds{ 1'200 };

/** Returns how long a new request may wait for memory. */
Duration
maxNewWaitOf(const Exchange& aExchange);

/** Returns how long the request may wait for a path. */
Duration
longestWaitOf(const Exchange& aExchange);

} // namespace poplartrack
