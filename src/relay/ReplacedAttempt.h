#pragma once

#include "Attempt.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** An attempt whose place another one has taken. It goes on until that one is
 * accepted, and becomes the current one again if that one is refused. */
struct ReplacedAttempt
{
  Attempt attempt;
  /** The parts of its path that had read the prompt. */
  LayerPath cached;
  /** Exchange::hasLostPartialEvent before it was replaced. */
  bool hadLostPartialEvent = false;
};

/** An attempt that was not refused within this time counts as accepted. That is
 * no proof: its replica may still refuse it later, or break off. */
constexpr Duration kRefusalTime = std::chrono::milliseconds{ 150 };

} // namespace poplartrack
