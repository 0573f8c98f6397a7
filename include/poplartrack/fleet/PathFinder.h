#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
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
  /** Whether a path may begin there now. False while it is ejected or at its
   * rate limit, and if it has failed or refused this request. */
  bool takesRequests = true;
  /** The layers that a path may use there, if not all that it holds. */
  std::optional<LayerRange> usable = std::nullopt;
};

/** What a request requires of its path. */
struct PathDemand
{
  double promptTokens = 0;
  /** Tokens that its answer is expected to have. */
  double answerTokens = 0;
  /** Availability zone of this relay. */
  std::string zone;
  /** Whether it is a stream that has already sent events. Breaking one off
   * costs its caller more than a refusal, so it may reserve more of a replica's
   * memory and needs no free slot. */
  bool started = false;
  /** When repairing a running request: the replica with which the path must
   * begin. */
  std::string firstReplica;
  /** Whether a running request is moved after a loss. Many are at the same
   * time, so replicas with prompts in prefill are avoided more. */
  bool moved = false;
  /** Replicas that the path may not use. */
  std::set<std::string> avoided;
  /** Links that the path may not cross. */
  std::set<ZonePair> closedLinks;
  /** Maximum number of zone crossings, unless no path over these replicas
   * manages with so few. */
  std::uint32_t maxCrossings = std::numeric_limits<std::uint32_t>::max();
  /** How long a prompt would wait for a link between two zones. */
  std::map<ZonePair, Duration> linkWaits;
  /** Whether, of paths that cost nearly the same, the one with more remaining
   * capacity is preferred. */
  bool spreads = false;
};

/** Returns a replica's memory for requests, in tokens times layers. */
double
tokenLayerCapacity(const EngineProfile& aProfile, const Replica& aReplica);

/** Returns the time that a prompt's activations take over a zone link, in ms.
 */
double
transferMs(const EngineProfile& aProfile, double aTokens);

/**
 * Finds the path with the least expected time for the whole answer that covers
 * each layer once and has memory for the request at every part.
 *
 * It is a shortest path over (layer, availability zone), where an edge is one
 * replica that runs a contiguous range of the layers that it holds. A zone
 * crossing costs the delay for each token and the transfer of the prompt's
 * activations over the shared link. This keeps paths in one zone while that
 * zone has memory. If the demand says so, a part costs up to a tenth of its
 * time more, the more of its memory or slots is in use.
 *
 * Errors: NoRoute (a layer is held by no candidate), Overloaded (all layers are
 * held, but without memory for the request).
 */
Result<LayerPath>
findPath(const EngineProfile& aProfile,
         std::span<const PathCandidate> aCandidates,
         const PathDemand& aDemand);

} // namespace poplartrack
