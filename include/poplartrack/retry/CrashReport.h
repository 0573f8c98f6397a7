#pragma once

#include <string>

#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** A replica ended while it ran a request. */
struct CrashReport
{
  Fingerprint request;
  /** Id of one start of the replica. */
  std::string replica;
  /** It had just begun to run the request, or not yet. */
  bool early = false;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

} // namespace poplartrack
