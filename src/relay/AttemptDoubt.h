#pragma once

#include <string_view>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Why an attempt that has not ended is taken to make no progress. */
struct AttemptDoubt
{
  /** For the log; a string literal. */
  std::string_view cause;
  /** Its replica is taken for lost, and does not only lead to a lost one or
   * drain. */
  bool replicaLost = false;
  /** Since when. */
  TimePoint since{};
};

} // namespace poplartrack
