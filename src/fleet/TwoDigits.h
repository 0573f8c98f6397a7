#pragma once

namespace poplartrack {

/** Rounds a rate to two significant digits, or to a whole number if it is below
 * 10; a rate below 1 becomes 0. Status messages with rounded rates differ less,
 * and one that is equal to the last one is sent less often. */
double
roundToTwoDigits(double aValue);

} // namespace poplartrack
