#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Limits and timeouts for executing a plan. */
struct PlacementLimits
{
  /** Maximum number of endpoints that load at the same time; the weight store
   * is rate-limited. */
  std::uint32_t maxLoads = 4;
  /** Maximum number of fencing orders that are sent and not yet answered. */
  std::uint32_t maxPendingFences = 32;
  /** A report that arrives this soon after the answer to an order may still
   * describe the state before the order: a side polls its endpoint every 0.5 s
   * with a timeout of 1 s, and a probe of the side takes up to 0.5 s. */
  Duration reportDelay = std::chrono::seconds{ 3 };
  /** An older report does not confirm that layers are held. */
  Duration maxReportAge = std::chrono::seconds{ 10 };
  /** The outcome of an order without an answer counts as unknown after this. */
  Duration answerTimeout = std::chrono::seconds{ 3 };
  /** A load that is not reported as finished within this time has failed. */
  Duration loadTimeout = std::chrono::minutes{ 5 };
  /** Time without orders to an endpoint after a failed order, so that broken
   * endpoints do not use up the limits above. */
  Duration backoff = std::chrono::seconds{ 10 };
};

} // namespace poplartrack
