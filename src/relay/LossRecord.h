#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** A replica that counts as lost, by this relay's own evidence or by that of
 * others. */
struct LossRecord
{
  TimePoint since{};
  /** This relay has evidence of its own. */
  bool own = false;
};

} // namespace poplartrack
