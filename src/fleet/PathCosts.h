#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "poplartrack/fleet/PathFinder.h"

namespace poplartrack {

/** Duration of a token at a replica, in decode steps: on average it waits half
 * a step until the replica picks it up, and then takes one. */
inline constexpr double kStepsPerToken = 1.5;

/** A candidate and what it costs a request. */
struct PathNode
{
  const PathCandidate* candidate = nullptr;
  std::size_t zone = 0;
  LayerRange layers;
  /** Time of one token through one layer, in ms. */
  double stepMs = 0;
  /** The same if the replica had no other requests. */
  double idleStepMs = 0;
  /** Time of the prefill of the whole prompt through one layer, in ms. */
  double prefillMs = 0;
  /** Time of the prompts already in prefill there through one layer, in ms. */
  double backlogMs = 0;
  /** Whether it accepts one more request as the first replica of its path. */
  bool mayStart = true;
  /** Share of its memory or slots in use, whichever is larger; 0 if the demand
   * does not prefer remaining capacity. */
  double usedShare = 0;
  /** Number of layers of the request for which it has memory. */
  std::uint32_t fittingLayers = 0;
};

/** Computes what a replica costs a request, and for how many of its layers it
 * has memory. aZone: the index of its availability zone in the search. */
PathNode
pathNode(const EngineProfile& aProfile,
         const PathDemand& aDemand,
         const AcceleratorKind& aKind,
         const PathCandidate& aCandidate,
         std::size_t aZone);

/** Returns a replica's memory for requests, in tokens times layers, if it is of
 * this kind. */
double
tokenLayerCapacity(const EngineProfile& aProfile,
                   const AcceleratorKind& aKind,
                   const Replica& aReplica);

/** Returns the one-way delay between two availability zones, in ms. */
double
delayMs(const EngineProfile& aProfile,
        const std::string& aFrom,
        const std::string& aTo);

} // namespace poplartrack
