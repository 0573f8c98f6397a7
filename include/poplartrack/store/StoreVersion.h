#pragma once

#include <cstdint>

namespace poplartrack {

/**
 * Versions of a store that may be restored from an older copy of its data.
 *
 * The store counts its transactions. After a restore the count goes back and is
 * given out again for other changes, so it alone neither orders two states of
 * the store nor identifies one. The store also counts its restores; that number
 * is the epoch. A version holds the epoch in its upper bits and the count in
 * the lower ones: versions only grow, and none is given out twice.
 */
constexpr int kEpochShift = 40;

constexpr std::uint64_t
storeVersion(std::uint64_t aEpoch, std::uint64_t aCount)
{
  return (aEpoch << kEpochShift) | aCount;
}

/** Returns how often the store had been restored. */
constexpr std::uint64_t
epochOf(std::uint64_t aVersion)
{
  return aVersion >> kEpochShift;
}

/** Returns the store's own count. */
constexpr std::uint64_t
countOf(std::uint64_t aVersion)
{
  return aVersion & ((std::uint64_t{ 1 } << kEpochShift) - 1);
}

} // namespace poplartrack
