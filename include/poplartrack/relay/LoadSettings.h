#pragma once

namespace poplartrack {

/** Switches of the decisions that a relay makes under load and after losses.
 * All are off unless the settings turn them on. */
struct LoadSettings
{
  /** Divides the capacity of a model service that is short of it among the
   * client accounts. */
  bool accountShares = false;
  /** Rejects or delays requests whose first event or pauses would exceed the
   * route's objectives. */
  bool paceAdmission = false;
  /** Books the times at which rejected callers return, and serves these callers
   * before new ones. */
  bool returnBookings = false;
  /** Releases and moves layers by the load of the replicas and the demand of
   * the availability zones, and prefers paths with more remaining capacity. */
  bool demandPlacement = false;
  /** Asks the replicas on the path of a late stream whether they are alive. */
  bool lossProbes = false;
  /** Paths do not begin at replicas that fail the requests they receive. */
  bool outlierEjection = false;
  /** The holder of the placement lease goes on placing layers while the store
   * is unavailable to all relays. */
  bool outagePlacement = false;
};

} // namespace poplartrack
