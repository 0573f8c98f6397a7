#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Timeouts and limits of the retries of one model request. */
struct RunPolicy
{
  /** Maximum number of attempts that start to run, regardless of the
   * deadline. */
  std::uint32_t maxAttempts = 8;
  /** How long a request that has lost its route waits for another one, and how
   * long it tries to open attempts that sides reject. */
  Duration routeWait = std::chrono::seconds{ 2 };
  /** Timeout for all sides to accept an attempt. */
  Duration openWait = std::chrono::milliseconds{ 500 };
  /** Expected time to the first token besides the prefill. */
  Duration firstTokenBase = std::chrono::milliseconds{ 200 };
  /** Expected prefill time for each token of the prompt, and for each generated
   * token that a retry prefills again. */
  Duration prefillPerToken = std::chrono::milliseconds{ 1 };
  /** Expected gap between tokens until the request has gaps of its own. */
  Duration tokenGap = std::chrono::milliseconds{ 30 };
  /** Weight of the newest gap in the smoothed gap. */
  double gapWeight = 0.2;
  /** An attempt is stalled after this many times the expected gap. */
  double stallFactor = 8.0;
  /** The same for its first token, whose expected time is computed
   * differently. */
  double firstTokenFactor = 3.0;
  /** Minimum time before an attempt counts as stalled. */
  Duration stallFloor = std::chrono::milliseconds{ 250 };
  /** After a stall, how long to wait for fence replies, which show which sides
   * are alive. */
  Duration blameWait = std::chrono::milliseconds{ 30 };
  /** Interval at which a stalled attempt that no route can replace asks for one
   * again. */
  Duration replaceInterval = std::chrono::seconds{ 1 };
  /** Give up if the time left is below this part of the expected time of the
   * remaining work. Less than 1, since the estimate may be too high. */
  double hopeShare = 0.7;
  /** After giving up, how long to wait for fence replies that could prove that
   * nothing ran. */
  Duration proofWait = std::chrono::milliseconds{ 50 };
};

} // namespace poplartrack
