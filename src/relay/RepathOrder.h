#pragma once

#include <cstdint>

#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** An order to a replica to move a running request to another path. */
struct RepathOrder
{
  std::uint64_t exchange = 0;
  /** The connection of the attempt that it is for. */
  std::uint64_t connection = 0;
  LayerPath before;
  LayerPath after;
  /** A replica of the old path is draining; none has failed. */
  bool planned = false;
};

} // namespace poplartrack
