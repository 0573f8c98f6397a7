#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Measures which share of its time an event loop works, and decides whether it
 * takes new connections. Requests that a relay has read and then serves late,
 * or not at all, are lost to their callers; a connection that is closed before
 * anything is read from it is opened again at another relay. Does no I/O; not
 * thread-safe.
 */
class LoopLoad
{
public:
  /** Default of the limit. The rest of the time is for requests that were read
   * and whose work is still to come. */
  static constexpr double kDefaultLimit = 0.6;

  /** aLimit: the load from which on new connections are turned away. */
  explicit LoopLoad(double aLimit = kDefaultLimit)
    : limit(aLimit)
  {
  }

  /** Records one iteration of the loop. */
  void record(Duration aWaited, Duration aWorked);
  /** Returns the share of the latest time that was work, from 0 to 1. */
  [[nodiscard]] double value() const { return this->load; }
  /** Returns whether new connections are turned away. */
  [[nodiscard]] bool turnsAway() const;

private:
  double limit;
  double load = 0;
};

} // namespace poplartrack
