#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "poplartrack/fleet/PathFinder.h"

namespace poplartrack {

/** A candidate with what it costs a request. */
struct PathNode
{
  const PathCandidate* candidate = nullptr;
  std::size_t zone = 0;
  LayerRange layers;
  /** Time of one token through one layer, in ms. */
  double stepMs = 0;
  /** Time to read the whole prompt through one layer, in ms. */
  double readMs = 0;
  /** ... and the prompts that are under way there. */
  double backlogMs = 0;
  /** It takes one more request as the first of its path. */
  bool mayEnter = true;
  /** Layers of the request for which there is memory. */
  std::uint32_t room = 0;
};

/** Works out what a replica costs a request, and for how many of its layers it
 * has memory. aZone: the place of its availability zone in the search. */
PathNode
pathNode(const EngineProfile& aProfile,
         const PathDemand& aDemand,
         const AcceleratorKind& aKind,
         const PathCandidate& aCandidate,
         std::size_t aZone);

/** One-way delay between two availability zones, in ms. */
double
delayMs(const EngineProfile& aProfile,
        const std::string& aFrom,
        const std::string& aTo);

} // namespace poplartrack
