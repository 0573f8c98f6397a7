#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Bounds of carrying out a plan. */
struct PlacementLimits
{
  /** Endpoints that load at a time; the weight store is rate-limited. */
  std::uint32_t maxLoads = 4;
  /** Announcements sent and not yet answered. */
  std::uint32_t maxPendingFences = 32;
  /** What is heard of an endpoint this soon after its answer to an order may
   * still tell of the time before the order: a side asks its endpoint each 0.5
   * s and waits 1 s for it, and a probe of the side takes up to 0.5 s. */
  Duration settle = std::chrono::seconds{ 3 };
  /** What was heard longer ago than this proves no cover. */
  Duration maxAge = std::chrono::seconds{ 10 };
  /** An order without an answer counts as unknown after this. */
  Duration answerTimeout = std::chrono::seconds{ 3 };
  /** A load that is not seen to end within this is given up. */
  Duration loadTimeout = std::chrono::minutes{ 5 };
  /** Pause after an order that failed, so that broken endpoints do not hold up
   * the others. */
  Duration rest = std::chrono::seconds{ 10 };
};

} // namespace poplartrack
