#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/CopyCapacity.h"
#include "poplartrack/fleet/DemandTable.h"
#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/PlacedReplica.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** A redundant replica duplicates other layers of its zone. Rates are requests
 * a second. */
struct DemandMove
{
  std::string replica;
  std::string zone;
  std::string kind;
  LayerRange held;
  LayerRange to;
  /** Demand of the zone, and what its copies carry now and after the move. */
  double demand = 0;
  double carriedNow = 0;
  double carriedAfter = 0;
  /** By how much the demand of all zones exceeds what all copies carry. */
  double shortage = 0;
  /** Additional requests served within the payback time, and requests that are
   * not served until the layers are loaded. */
  double gained = 0;
  double lost = 0;
};

/**
 * Returns the move that serves the most requests, if one pays: what it gains
 * within the payback time is more than what is lost until the layers are
 * loaded. There is none unless the demand of all zones exceeds what all copies
 * carry: requests that a zone lacks capacity for begin in others.
 *
 * A replica may move if others of its zone hold all its layers. Degraded
 * replicas count with the capacity that they still have, but do not move, and a
 * replica does not move if only degraded ones hold its layers besides it. The
 * zone whose demand exceeds its capacity by most goes first, where urgent
 * requests weigh more. Requests have the mean size that callers ask, if they
 * were counted. Zones without a whole copy get none.
 *
 * @param aReplicas all replicas of the service, of declared kinds
 * @param aMayMove whether a replica may move now
 */
std::optional<DemandMove>
bestDemandMove(const EngineProfile& aProfile,
               std::span<const PlacedReplica> aReplicas,
               const ZoneDemand& aDemand,
               const std::function<bool(const Replica&)>& aMayMove);

} // namespace poplartrack
