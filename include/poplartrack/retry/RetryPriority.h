#pragma once

#include <cstdint>

namespace poplartrack {

/** What a retry is wanted for, from what can best be left to what cannot. */
enum class RetryPriority : std::uint8_t
{
  /** A stream is moved off a replica that leaves and still serves. */
  Planned,
  /** The caller has nothing yet: refused, it can come back. */
  Unanswered,
  /** The caller has part of a stream, which is cut without another attempt. */
  Started,
};

} // namespace poplartrack
