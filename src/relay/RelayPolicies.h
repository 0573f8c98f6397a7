#pragma once

#include "poplartrack/base/Clock.h"
#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RequestGate.h"
#include "poplartrack/retry/RetryBudgets.h"

namespace poplartrack {

/** Derives the age limits of the configuration from the settings. */
GatePolicy
gatePolicy(const RelaySettings& aSettings);

/** Returns the retry budget that all relays share. */
SharedRetryPolicy
retryPolicy(const RelaySettings& aSettings);

/** Returns the time after which the replica list shows that a replica has
 * crashed. */
Duration
crashReportTime(const RelaySettings& aSettings);

} // namespace poplartrack
