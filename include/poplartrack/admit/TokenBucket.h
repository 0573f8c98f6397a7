#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * A token bucket that may go into debt. A request passes while the level is
 * above 0 and may take the level below 0; otherwise a bucket with a small share
 * would never pass a large request. The next request passes after the debt has
 * been refilled.
 */
class TokenBucket
{
public:
  /** Sets the rate (units per second) and the depth (units). A level above the
   * new depth is cut to it, so that a share that moves between entries does not
   * allow its burst twice. */
  void configure(double aRate, double aDepth, TimePoint aNow);
  /** Returns whether a request may pass now. */
  bool ready(TimePoint aNow);
  /** Takes units; the level may become negative. */
  void take(double aAmount) { this->level -= aAmount; }
  /** Returns units that were taken and not used. */
  void refund(double aAmount);
  /** Returns the time until ready() holds again; 0 if it does now. */
  Duration timeUntilReady(TimePoint aNow);
  [[nodiscard]] double rate() const { return this->unitsPerSecond; }

private:
  /** Adds the units accrued since the last refill. */
  void refill(TimePoint aNow);

  double unitsPerSecond = 0;
  double depth = 0;
  double level = 0;
  TimePoint last{};
  bool started = false;
};

} // namespace poplartrack
