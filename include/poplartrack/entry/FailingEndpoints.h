#pragma once

#include <set>
#include <string>

#include "poplartrack/route/EndpointInfo.h"

namespace poplartrack {

/** Returns the endpoints whose last probe or call got no reply, or that do not
 * answer their sides: no attempt that may still succeed is given up for one of
 * them. */
[[nodiscard]] inline std::set<std::string>
failingEndpoints(const EndpointView& aView)
{
  std::set<std::string> failing;
  for (const EndpointInfo& info : aView.endpoints) {
    if (info.failures > 0 || info.silent) {
      failing.insert(info.name);
    }
  }
  return failing;
}

} // namespace poplartrack
