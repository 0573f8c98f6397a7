#pragma once

#include <string>

#include "poplartrack/base/Address.h"
#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** The replica that an attempt is sent to. */
struct AttemptTarget
{
  /** Id of the replica. */
  std::string replica;
  /** The name under which it is registered. A replica refuses requests that
   * name another one. */
  std::string registeredAs;
  Address address;
  /** Empty for plain services. */
  LayerPath path;
};

} // namespace poplartrack
