#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** When an attempt without new tokens counts as stalled. */
struct StallPolicy
{
  /** A stall is assumed after this multiple of the expected time to the next
   * token, plus an allowance for its variation. */
  double factor = 8;
  /** Bounds of that time. */
  Duration shortest = std::chrono::milliseconds{ 250 };
  Duration longest = std::chrono::seconds{ 10 };
};

/**
 * Detects that one attempt has stalled. The timeout adapts to the pace for
 * which the route was chosen and to the pace seen since. A fixed timeout would
 * be exceeded by an ordinary step of a slow accelerator, and would detect the
 * crash of a fast one late. Not thread-safe.
 */
class StallDetector
{
public:
  /** Starts at aNow to wait for the first token. */
  StallDetector(const StallPolicy& aPolicy,
                Duration aExpectedFirstToken,
                Duration aExpectedPerToken,
                TimePoint aNow);

  /** Records that a token has arrived. */
  void onToken(TimePoint aNow);
  /** Returns the time from which the attempt counts as stalled if no token
   * arrives before. */
  [[nodiscard]] TimePoint stallsAt() const;
  [[nodiscard]] bool stalled(TimePoint aNow) const
  {
    return aNow >= this->stallsAt();
  }

private:
  /** Returns the longest time without a token that is no stall yet. */
  [[nodiscard]] Duration timeout() const;

  StallPolicy policy;
  Duration expectedFirstToken;
  /** Smoothed gap between tokens, microseconds. */
  double gap;
  /** Smoothed absolute deviation of the gap, microseconds. */
  double deviation;
  /** When the last token arrived; the start if there was none. */
  TimePoint last;
  std::uint32_t tokens = 0;
};

} // namespace poplartrack
