#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

namespace poplartrack {

/** Returns how many of the listed replicas one signal may take out of use at a
 * time. If more look lost, what looks at them is the likelier fault: this
 * relay, its link, or what all paths share. A third is more than one
 * availability zone of four holds. Without a list there is no bound. */
inline std::size_t
mostExcluded(std::size_t aListed)
{
  constexpr std::size_t kShareDivisor = 3;
  constexpr std::size_t kLeast = 4;
  return aListed == 0 ? std::numeric_limits<std::size_t>::max()
                      : std::max(kLeast, aListed / kShareDivisor);
}

} // namespace poplartrack
