#pragma once

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/ErrorKind.h"

namespace poplartrack {

/** Returns when a retry may succeed, from the table of error kinds alone. */
inline Duration
defaultRetryAfter(ErrorKind aKind)
{
  return std::chrono::seconds{ rowOf(aKind).retryAfterSeconds };
}

} // namespace poplartrack
