#pragma once

#include "Attempt.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** An attempt whose place another one has taken. It goes on until the answer of
 * that one begins, and becomes the current one again if that one fails. */
struct ReplacedAttempt
{
  Attempt attempt;
  /** The parts of its path that had read the prompt. */
  LayerPath cached;
  /** Exchange::hasLostPartialEvent before it was replaced. */
  bool hadLostPartialEvent = false;
};

/** Longest time for which an attempt is set aside. A sound replica may be
 * silent for a second or so; one that is silent for longer is taken for lost,
 * and its memory is needed. */
constexpr Duration kMaxSetAside = std::chrono::milliseconds{ 2'000 };

} // namespace poplartrack
