#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace poplartrack {

/** The status queries to all listed replicas during an outage of the store. */
struct OutageProbeState
{
  /** Replicas that were asked because of the outage and have not answered. */
  std::set<std::string> unanswered;
  /** Number of periodic runs in which replicas are still asked. */
  std::uint32_t runsLeft = 0;
};

} // namespace poplartrack
