#pragma once

#include <string>
#include <string_view>

#include "soak/SoakDesired.h"

namespace poplartrack::soak {

/** An accelerator with less memory and speed; only with contention. */
constexpr std::string_view kSlowKind = "slow-card";
constexpr int kSlowKindSlowdown = 2;

/** Returns the operator's document.
 * @param aExtraRoute it has one route more, which nobody uses */
std::string
configText(const DesiredState& aState,
           int aVersion,
           bool aContention,
           bool aExtraRoute);

} // namespace poplartrack::soak
