#pragma once

#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/ZonePair.h"

namespace poplartrack {

/** One replica of a path and the layers that it runs for the request. */
struct PathPart
{
  std::string replica;
  Address address;
  LayerRange layers;

  friend bool operator==(const PathPart&, const PathPart&) = default;
};

/** The replicas that run a request, in order. Together they run each layer
 * once. */
struct LayerPath
{
  std::vector<PathPart> parts;
  /** The zone links that the path crosses. */
  std::vector<ZonePair> crossings;
  /** Expected time from sending to the first token, and between tokens. */
  Duration firstToken{ 0 };
  Duration perToken{ 0 };
  /** The part of firstToken in which prompts before it are in prefill. */
  Duration queued{ 0 };
  /** The time between tokens if no other request used the path. */
  Duration idlePerToken{ 0 };
};

} // namespace poplartrack
