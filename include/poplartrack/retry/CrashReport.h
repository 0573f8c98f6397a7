#pragma once

#include <string>

#include "poplartrack/retry/Fingerprint.h"

namespace poplartrack {

/** The report that a replica crashed while it ran a request. */
struct CrashReport
{
  Fingerprint request;
  /** Id of one incarnation of the replica. */
  std::string replica;
  /** The replica had just begun to run the request, or had not begun yet. */
  bool early = false;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

} // namespace poplartrack
