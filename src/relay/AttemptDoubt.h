#pragma once

#include <string_view>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Why an attempt that has not ended is taken to make no progress. */
struct AttemptDoubt
{
  /** For the log; a string literal. */
  std::string_view cause;
  /** Its own replica is taken for lost; otherwise another one of its path is,
   * or one of them drains. */
  bool replicaLost = false;
  /** Its own replica drains and runs it meanwhile. */
  bool planned = false;
  /** It was logged why no other attempt can begin. */
  bool isKept = false;
  /** Since when. */
  TimePoint since{};
};

} // namespace poplartrack
