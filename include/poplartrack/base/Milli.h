#pragma once

namespace poplartrack {

/** Thousandths in a unit. Status messages, metrics and the log hold rates as
 * whole numbers of thousandths. */
inline constexpr double kMilli = 1'000;

} // namespace poplartrack
