#pragma once

#include <cstdint>

namespace poplartrack {

/** What one relay counted over the window of the retry budget. */
struct RetryCounts
{
  /** First attempts. */
  std::uint32_t requests = 0;
  /** Attempts beyond the first of a request. */
  std::uint32_t retries = 0;
};

} // namespace poplartrack
