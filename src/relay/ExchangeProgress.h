#pragma once

#include "Exchange.h"
#include "poplartrack/fleet/StallSuspects.h"

namespace poplartrack {

/** Returns the progress of a stream on its present path. */
StreamProgress
progressOf(const Exchange& aExchange);

} // namespace poplartrack
