#pragma once

#include <cstdint>
#include <functional>

#include "poplartrack/base/Result.h"
#include "poplartrack/relay/FleetControl.h"

namespace poplartrack::relaytest {

/** Sends no layer order, and reports no outcome: for a FleetControl whose
 * orders a test does not look at. */
inline void
ignoreOrder(const Replica&,
            LayerRange,
            std::uint64_t,
            const std::function<void(Result<Done>)>&)
{
}

} // namespace poplartrack::relaytest
