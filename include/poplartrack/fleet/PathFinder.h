#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "poplartrack/base/Result.h"
#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/LayerPath.h"
#include "poplartrack/fleet/LoadTracker.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** One replica that a path may use. */
struct PathCandidate
{
  const Replica* replica = nullptr;
  ReplicaLoad load;
  /** How many times as long as declared its work takes; 1 when healthy. */
  double slowdown = 1;
  /** Whether a path may begin there: a replica may limit the requests that it
   * takes. */
  bool takesRequests = true;
};

/** What a request asks of its path. */
struct PathDemand
{
  double promptTokens = 0;
  /** Tokens that it is expected to write. */
  double answerTokens = 0;
  /** Availability zone of the entry. */
  std::string zone;
  /** A stream that has begun: its caller loses more than one that is refused,
   * and the margin of memory is for it. */
  bool started = false;
  /** Repair of a running request: the path must begin with this replica. */
  std::string firstReplica;
  /** Availability zones between which the path may not change. */
  std::set<ZonePair> closedLinks;
  /** Most times that the path may change zones, unless no path of these
   * replicas does with so few. */
  std::uint32_t maxCrossings = std::numeric_limits<std::uint32_t>::max();
  /** How long a prompt would stand before a pipe between two zones. */
  std::map<ZonePair, Duration> linkWaits;
};

/** Memory of a replica for requests, in tokens times layers. */
double
tokenLayerCapacity(const EngineProfile& aProfile, const Replica& aReplica);

/** Time that a prompt's activations take over the pipe between zones, in ms. */
double
transferMs(const EngineProfile& aProfile, double aTokens);

/**
 * The path with the least expected time for the whole answer that covers each
 * layer once and has memory for the request at every part.
 *
 * Shortest path over (layer, availability zone): an edge is one replica that
 * runs a contiguous part of what it holds. A change of zone costs the delay
 * for each token and the transfer of the prompt's activations over the shared
 * pipe, which is why paths stay in one zone while it has memory.
 *
 * Errors: NoRoute (some layer is held by no candidate), Overloaded (held, but
 * without memory for the request).
 */
Result<LayerPath>
findPath(const EngineProfile& aProfile,
         std::span<const PathCandidate> aCandidates,
         const PathDemand& aDemand);

} // namespace poplartrack
