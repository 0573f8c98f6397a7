#pragma once

#include <cstddef>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Bounds the bytes that are sent for one purpose to a rate. A message may begin
 * while those before it are paid for, whatever its own size, and the ones after
 * it wait until it is paid for. Does no I/O; not thread-safe.
 */
class SendBudget
{
public:
  /** aBurst: after a pause, as much may be sent at once as the rate allows in
   * this time. */
  explicit SendBudget(Duration aBurst)
    : burst(aBurst)
  {
  }

  /** Sets the rate, in bytes a second; 0 for no bound. */
  void setRate(double aBytesPerSecond) { this->rate = aBytesPerSecond; }
  [[nodiscard]] bool mayBegin(TimePoint aNow) const;
  /** Records that so many bytes were sent. */
  void take(std::size_t aBytes, TimePoint aNow);

private:
  Duration burst;
  double rate = 0;
  /** What was sent so far is paid for at this time. */
  TimePoint paidAt{};
};

} // namespace poplartrack
