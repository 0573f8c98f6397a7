#pragma once

#include <cstdint>

namespace poplartrack {

/** Why a retry is wanted, from the lowest priority to the highest. A higher
 * priority may use a larger part of the retry budget. */
enum class RetryPriority : std::uint8_t
{
  /** A stream is moved off a replica that drains and still serves. */
  Planned,
  /** The caller has received nothing yet: if rejected, it can send the request
   * again. */
  Unanswered,
  /** The caller has received part of a stream, which is cut without another
   * attempt. */
  Started,
};

} // namespace poplartrack
