#pragma once

#include <cstdint>

namespace poplartrack {

/** Low bits of a fencing number, which hold the order's number under its
 * lease. */
constexpr std::uint32_t kOrderBits = 20;
constexpr std::uint64_t kMaxOrdersPerLease = std::uint64_t{ 1 } << kOrderBits;

/**
 * Returns the fencing number of one order: the lease's fencing number in the
 * high bits, the order's number in the low bits. A side that refuses lower
 * numbers than it has seen refuses the orders of a former lease holder, and
 * also an earlier order of the same holder that arrives after a later one.
 */
constexpr std::uint64_t
orderFence(std::uint64_t aLeaseFence, std::uint64_t aOrder)
{
  return (aLeaseFence << kOrderBits) + aOrder;
}

} // namespace poplartrack
