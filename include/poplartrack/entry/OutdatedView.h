#pragma once

#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** Returns whether a rejection shows that the caller's view of the endpoint is
 * out of date: it has restarted, holds other layers now, or is draining. */
[[nodiscard]] inline bool
showsOutdatedView(const Refusal& aRefusal)
{
  if (!aRefusal.refused) {
    return false;
  }
  switch (aRefusal.kind) {
    case ErrorKind::WrongIncarnation:
    case ErrorKind::StageRefused:
    case ErrorKind::Leaving:
      return true;
    default:
      return false;
  }
}

} // namespace poplartrack
