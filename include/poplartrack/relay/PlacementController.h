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

/** Gives one order to a replica; returns at once. */
using PlaceOrder = std::function<void(const Replica&,
                                      LayerRange,
                                      std::uint64_t aFence,
                                      std::function<void(Result<Done>)>)>;

/** What the holder of the placement lease does: looks which layers are held and
 * gives the orders that are due. One thread calls run(); answers to orders may
 * come on others. */
class PlacementController
{
public:
  PlacementController(RelayShared& aShared, PlaceOrder aPlace);

  /** One look, under the lease with this fencing number. */
  void run(std::uint64_t aFence, TimePoint aNow);

private:
  void place(const std::string& aService,
             const EngineProfile& aEngine,
             const std::vector<std::size_t>& aListed,
             TimePoint aNow);
  std::set<std::string> endedAmong(const ReplicaView& aView);
  void logGaps(const std::string& aService, const std::vector<CopyGap>& aGaps);
  void give(const LayerOrder& aOrder, const Replica& aReplica);
  void onOrderDone(const Replica& aReplica, const Result<Done>& aDone);

  RelayShared& shared;
  PlaceOrder placeOrder;
  std::mutex guard;
  /** One planner for each model service. */
  std::map<std::string, LayerPlanner> planners;
  /** Replicas that are listed and have ended: another one answered an order
   * that was meant for them. A dead replica's entry stays for three heartbeats,
   * and a restarted endpoint has its address meanwhile: a gap of five layers
   * was ordered from a dead one four times in 6 s, and stayed open. */
  std::set<std::string> ended;
  /** Gaps of each service that were logged last. */
  std::map<std::string, std::vector<CopyGap>> loggedGaps;
  std::uint64_t fence = 0;
};

} // namespace poplartrack
