#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Error.h"
#include "poplartrack/config/Configuration.h"
#include "poplartrack/place/CopyCount.h"
#include "poplartrack/place/EndpointProgress.h"
#include "poplartrack/place/PlacementLimits.h"
#include "poplartrack/place/PlacementPlan.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/wire/EndpointOrder.h"

namespace poplartrack {

/** One order and the endpoint it is for. */
struct PlacementOrder
{
  /** The endpoint's name. */
  std::string endpoint;
  /** Address of the endpoint's side. */
  std::string address;
  EndpointOrder order;
};

/**
 * Executes plans under one lease: a pure state machine that returns the orders
 * to send now. Each new lease needs a new object.
 *
 * A load drops the layers that the endpoint held and is not to hold any more.
 * It is ordered only while other endpoints are confirmed to hold each of these
 * layers, so no order drops the last copy of a layer. EndpointProgress
 * describes when layers count as confirmed.
 */
class PlacementStep
{
public:
  PlacementStep(std::uint64_t aLeaseFence, PlacementLimits aLimits);

  /** Returns the orders to send now. Must be called after each answer to an
   * order and at least once per second. */
  std::vector<PlacementOrder> next(const Configuration& aConfiguration,
                                   const PlacementPlan& aPlan,
                                   const std::vector<EndpointInfo>& aView,
                                   TimePoint aNow);
  /** Records that the endpoint accepted the order. */
  void onTaken(const PlacementOrder& aOrder, TimePoint aNow);
  /** Records that the endpoint refused the order. An order without an answer
   * needs no call: its outcome counts as unknown after answerTimeout. */
  void onRefused(const PlacementOrder& aOrder,
                 const Error& aError,
                 TimePoint aNow);

  /** Returns whether no further orders are returned: an endpoint has refused an
   * order because it had seen a higher fencing number, or the lease's order
   * numbers are used up. */
  [[nodiscard]] bool isStopped() const { return this->stopped; }
  /** Returns the number of loads that are ordered and not yet confirmed or
   * failed. */
  [[nodiscard]] std::uint32_t loading() const;
  /** Returns the number of endpoints that may not load because they are the
   * last ones confirmed to hold a layer. */
  [[nodiscard]] std::uint32_t blocked() const { return this->blockedCount; }

private:
  /** A load that the plan requires and that is not ordered yet. */
  struct PendingLoad
  {
    const EndpointInfo* info = nullptr;
    const PlannedHold* target = nullptr;
    /** Copies that other endpoints have of the dropped layer with the
     * fewest. */
    std::uint32_t copiesLeft = 0;
  };

  /** Updates all phases and confirmedCopies from a view. */
  void updateView(const std::vector<EndpointInfo>& aView, TimePoint aNow);
  /** Appends orders with only a fencing number for unfenced endpoints. */
  void addFenceOrders(const std::vector<EndpointInfo>& aView,
                      TimePoint aNow,
                      std::vector<PlacementOrder>& aOrders);
  /** Returns the loads that the plan requires of endpoints in phase Known. */
  [[nodiscard]] std::vector<PendingLoad> pendingLoads(
    const PlacementPlan& aPlan,
    const std::vector<EndpointInfo>& aView,
    TimePoint aNow) const;
  /** Appends orders for the loads that are safe now, starting with the one that
   * leaves most copies of what it drops. */
  void addLoadOrders(const Configuration& aConfiguration,
                     std::vector<PendingLoad> aLoads,
                     TimePoint aNow,
                     std::vector<PlacementOrder>& aOrders);
  /** Gives the order the next fencing number. */
  PlacementOrder makeOrder(const EndpointInfo& aInfo, EndpointOrder aOrder);
  [[nodiscard]] std::uint32_t countInPhase(OrderPhase aPhase) const;

  std::uint64_t leaseFence;
  /** Number of the newest order under this lease. */
  std::uint64_t lastOrder = 0;
  PlacementLimits limits;
  bool stopped = false;
  std::uint32_t blockedCount = 0;
  /** Confirmed copies of each layer, without those that an order has dropped
   * since. */
  CopyCount confirmedCopies;
  /** By endpoint name. */
  std::map<std::string, EndpointProgress> progress;
};

} // namespace poplartrack
