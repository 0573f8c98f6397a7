#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/RetryRule.h"

namespace poplartrack {

/** One of the services among which a route divides its requests. */
struct RouteTarget
{
  std::string service;
  /** Share of the requests, relative to the sum over the route's targets. */
  std::uint32_t weight = 1;
};

/** What the operator declared for the requests under one path prefix. */
struct RelayRoute
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash; the longest matching prefix wins. */
  std::string prefix;
  RetryRule rule = RetryRule::AtMostOnce;
  /** Longest time for which a caller is kept waiting. */
  Duration timeout{ 0 };
  /** Target for the time to the answer, or to a stream's first event. An answer
   * within it earns its full benefit. */
  Duration objective{ 0 };
  /** Longest pause between events that still counts as on time; 0 if not set.
   */
  Duration maxPause{ 0 };
  /** 0 is the most urgent. */
  int priority = 0;
  std::vector<RouteTarget> targets;
  /** Maximum number of replicas to which one attempt of a caller is sent. */
  int attempts = 1;
  /** Whether requests need no API key. */
  bool open = false;
  /** Whether a stream may be resumed on another replica after its last event.
   */
  bool resumable = false;
};

} // namespace poplartrack
