#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Parameters of the route choice. */
struct RoutePolicy
{
  /** One-way link time between two instances of one availability zone. */
  Duration sameZoneLink = std::chrono::microseconds{ 150 };
  /** One-way link time between two availability zones of one region. */
  Duration sameRegionLink = std::chrono::microseconds{ 500 };
  /** One-way link time between two regions. */
  Duration otherRegionLink = std::chrono::milliseconds{ 40 };
  /** Processing time of one hop, without its link. */
  Duration hopOverhead = std::chrono::microseconds{ 200 };
  /** Decode step of one layer if no endpoint has sent a hint; also an upper
   * bound for endpoints without a hint. */
  Duration defaultLayerStep = std::chrono::microseconds{ 500 };
  /** Cost of one prefill token, in decode steps. */
  double prefillTokenCost = 0.02;
  /** Batch size up to which further steps hardly slow an endpoint: the time of
   * a step is proportional to batchKnee + batch size. */
  double batchKnee = 8;
  /** The cost of an endpoint is its time multiplied by
   * 1 + congestionWeight * fill^congestionExponent, where fill is the number of
   * steps there divided by the size of a full batch. */
  double congestionWeight = 3;
  double congestionExponent = 4;
  /** Time in which a hint loses half of its weight. */
  Duration hintHalfLife = std::chrono::seconds{ 2 };
  /** Jitter: each endpoint's cost is multiplied by a random factor in
   * [1, 1 + spread), so that entries with the same outdated hints choose
   * different routes. Backoff times get the same jitter. */
  double spread = 0.25;
  /** Duration of the slow start of a new endpoint. */
  Duration slowStart = std::chrono::seconds{ 5 };
  /** Fraction of the prefill that a cached prefix is expected to save. */
  double prefixSaving = 0.8;
  /** Prefix affinity does not apply to endpoints with more than about this
   * multiple of the mean load. */
  double prefixLoadBound = 1.25;
  /** First backoff of an endpoint that failed; doubles with each further
   * failure. */
  Duration initialBackoff = std::chrono::milliseconds{ 500 };
  /** Upper bound of the backoff, before jitter. */
  Duration maxBackoff = std::chrono::seconds{ 20 };
  /** Maximum number of layers at which routes may be cut, not counting 0 and
   * the last layer. */
  std::uint32_t maxCuts = 24;
};

} // namespace poplartrack
