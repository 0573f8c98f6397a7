#pragma once

namespace poplartrack {

/** Rounds a rate to two digits, and one below 1 to 0: status messages whose
 * content is the same are sent less often. */
double
roundToTwoDigits(double aValue);

} // namespace poplartrack
