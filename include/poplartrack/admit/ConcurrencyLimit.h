#pragma once

#include <cstdint>

#include "poplartrack/admit/AdmissionPolicy.h"

namespace poplartrack {

/**
 * An adaptive limit on requests in flight. A mean queue wait above the target
 * over an interval means that there is a standing queue, and the limit shrinks.
 * Otherwise it grows if most of it was in use. Not thread-safe.
 */
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const AdmissionPolicy& aPolicy);

  /** Records one queue wait, relative to the longest one that does not count as
   * overload. aInFlight is the number of requests in flight at that time. */
  void onPressure(double aPressure, std::uint32_t aInFlight, TimePoint aNow);
  [[nodiscard]] double limit() const { return this->current; }

private:
  /** Adjusts the limit at the end of an interval. */
  void adjust(std::uint32_t aInFlight);

  AdmissionPolicy policy;
  double current;
  /** Sum and number of the samples in the current interval. */
  double pressureSum = 0;
  double sampleCount = 0;
  /** No standing queue has been observed yet; the limit grows by half per
   * interval. */
  bool probing = true;
  TimePoint intervalEnds{};
};

} // namespace poplartrack
