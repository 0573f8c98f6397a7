#pragma once

#include <cstdint>

#include "AttemptTarget.h"
#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** An attempt whose connection is being established while an earlier one goes
 * on. */
struct NextAttempt
{
  /** Id of the connection. */
  std::uint64_t connection = 0;
  AttemptTarget target;
  /** When it was decided. */
  TimePoint since{};
};

} // namespace poplartrack
