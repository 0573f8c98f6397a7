#pragma once

#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/route/EndpointHint.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/route/EndpointMemory.h"
#include "poplartrack/route/RoutePolicy.h"

namespace poplartrack {

/** One endpoint that holds layers of the requested model, with this entry's
 * record and the current cost estimate. */
struct Candidate
{
  const EndpointInfo* info = nullptr;
  EndpointRecord* record = nullptr;
  Fitness fitness = Fitness::Fit;
  /** Index of its availability zone in the decision's ZoneTable. */
  std::uint32_t zone = 0;
  /** Estimated number of open attempts at the endpoint. */
  double load = 0;
  /** Expected decode step of one layer under that load, in microseconds. */
  double layerMicros = 0;
  /** Factor on layerMicros when routes are compared; see congestionFactor(). */
  double costFactor = 1;
  /** Fraction of layerMicros that a step waits in the side's queue. */
  double queueFraction = 0;
  /** Measured one-way link time beyond the link time of its availability zone,
   * in microseconds. */
  double extraLinkMicros = 0;
  /** Fraction of the prefill that is expected to run there; the rest is
   * expected to be in the endpoint's prefix cache. */
  double prefillFraction = 1;
};

/** Fills load, layerMicros, costFactor and queueFraction of all candidates.
 * Values that are unknown for one candidate are derived from the others. */
void
estimate(std::vector<Candidate>& aCandidates,
         const RoutePolicy& aPolicy,
         TimePoint aNow);

} // namespace poplartrack
