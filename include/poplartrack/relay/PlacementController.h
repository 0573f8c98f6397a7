#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/fleet/LayerPlanner.h"
#include "poplartrack/relay/RelayShared.h"

namespace poplartrack {

/** Orders a replica to hold a layer range, under a fencing number. Returns at
 * once; the callback receives the outcome, possibly on another thread. */
using SendLayerOrder = std::function<void(const Replica&,
                                          LayerRange,
                                          std::uint64_t aFence,
                                          std::function<void(Result<Done>)>)>;

/** Places the layers of all model services while this relay holds the placement
 * lease: it plans from the replica list and sends the layer orders that are
 * due. One thread calls runRound(); answers to orders may arrive on others. */
class PlacementController
{
public:
  PlacementController(RelayShared& aShared,
                      SendLayerOrder aSendOrder,
                      LayerPlannerPolicy aPolicy = {});

  /** Plans every model service once and sends the orders that are due, under
   * the lease with this fencing number. */
  void runRound(std::uint64_t aFence, TimePoint aNow);
  /** Ends the announced releases of all services, because this relay no longer
   * holds the lease: the other relays use the layers again. May be called on
   * any thread. */
  void withdrawReleases();

private:
  /** Plans one service and sends its orders. aIndices: where aView holds
   * the service's replicas. */
  void planService(const ReplicaView& aView,
                   const std::string& aService,
                   const EngineProfile& aEngine,
                   const std::vector<std::size_t>& aIndices,
                   TimePoint aNow);
  /** Returns the listed replicas at whose address another one has answered, and
   * forgets those that are no longer listed. */
  std::set<std::string> replacedReplicas(const ReplicaView& aView);
  /** Logs the layers that each zone lacks, whenever they change. */
  void logGaps(const std::string& aService, const std::vector<CopyGap>& aGaps);
  /** Logs and counts what has happened to the releases of a service. The guard
   * is held. */
  void logReleases(const std::string& aService, LayerPlanner& aPlanner);
  /** Publishes the layers that are announced for release. */
  void publishReleases(std::vector<ReleasedLayers> aReleases);
  /** Logs an order and sends it to the replica. During a backoff that the
   * replica has asked for, the order counts as refused instead. */
  void issueOrder(const LayerOrder& aOrder, const Replica& aReplica);
  /** Handles the outcome of an order. */
  void onOrderDone(const Replica& aReplica, const Result<Done>& aDone);

  RelayShared& shared;
  SendLayerOrder sendLayerOrder;
  LayerPlannerPolicy policy;
  /** Guards planners and knownReplaced. */
  std::mutex guard;
  /** One planner for each model service. */
  std::map<std::string, LayerPlanner> planners;
  /** Listed replicas that no longer run: another replica answered an order that
   * was meant for them. The entry of a dead replica stays for three heartbeats,
   * and a restarted endpoint may have its address by then. Without this record
   * the planner keeps ordering the layers of a gap from the dead replica (four
   * times in 6 s for a gap of five layers), and the gap stays open. */
  std::set<std::string> knownReplaced;
  /** Gaps of each service that were logged last. */
  std::map<std::string, std::vector<CopyGap>> lastLoggedGaps;
  /** Fencing number of the latest round. */
  std::uint64_t fence = 0;
};

} // namespace poplartrack
