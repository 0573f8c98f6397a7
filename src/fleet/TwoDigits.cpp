#include "TwoDigits.h"

#include <cmath>

namespace poplartrack {

double
roundToTwoDigits(double aValue)
{
  if (aValue < 1) {
    return 0;
  }
  const double unit = std::pow(10.0, std::floor(std::log10(aValue)) - 1);
  return unit > 1 ? std::round(aValue / unit) * unit : std::round(aValue);
}

} // namespace poplartrack
