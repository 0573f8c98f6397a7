#pragma once

#include <cstdint>
#include <ctime>

namespace poplartrack::soak {

/** The clock that counts suspension, in ms: the same for all processes of this
 * machine. */
inline std::int64_t
nowMillis()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMsPerSecond = 1'000;
  constexpr std::int64_t kNanosPerMs = 1'000'000;
  return now.tv_sec * kMsPerSecond + now.tv_nsec / kNanosPerMs;
}

} // namespace poplartrack::soak
