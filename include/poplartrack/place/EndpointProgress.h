#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/place/PlacementLimits.h"
#include "poplartrack/place/PlacementPlan.h"
#include "poplartrack/route/EndpointInfo.h"

namespace poplartrack {

/** How far one endpoint has got with the orders of the current lease. */
enum class OrderPhase : std::uint8_t
{
  /** Has not accepted a fencing number of this lease. */
  Unfenced,
  /** An order with the fencing number that changes nothing else is sent and not
   * yet answered. */
  FencePending,
  /** Has accepted the fencing number; no report since then. */
  Fenced,
  /** Its reported layers are the layers that it holds. */
  Known,
  /** An order to load is sent and not yet answered. */
  LoadPending,
  /** Has accepted the order to load. */
  Loading,
};

/**
 * Tracks which layers one endpoint is confirmed to hold. Reports arrive late
 * and orders may be delayed, so a report alone confirms nothing.
 *
 * - An endpoint counts as cover only after it has accepted a fencing number of
 *   this lease and a report has arrived since. Otherwise a delayed order of the
 *   previous lease holder could remove layers after they were counted.
 * - While a load is pending or running, only the layers that the endpoint held
 *   before and keeps are counted.
 * - An order without an answer may still take effect later. The tracker does
 *   not wait for it: it sends a higher fencing number, after which the endpoint
 *   refuses the old order, and then waits for a new report.
 */
class EndpointProgress
{
public:
  /** Updates the phase from the endpoint's newest report and the time. */
  void observe(const EndpointInfo& aInfo,
               const PlacementLimits& aLimits,
               TimePoint aNow);
  [[nodiscard]] OrderPhase phase() const { return this->orderPhase; }
  /** Returns whether the backoff after a failed order is over. */
  [[nodiscard]] bool backoffOver(TimePoint aNow) const
  {
    return aNow >= this->backoffUntil;
  }
  /** Returns the reported layers that the endpoint is confirmed to hold. */
  [[nodiscard]] LayerRange confirmedHolds(const EndpointInfo& aInfo,
                                          const PlacementLimits& aLimits,
                                          TimePoint aNow) const;

  /** Records that an order with only a fencing number was sent. */
  void onFenceSent(std::uint64_t aFence, TimePoint aNow);
  /** Records that an order to load aTarget was sent. */
  void onLoadSent(std::uint64_t aFence,
                  const EndpointInfo& aInfo,
                  const PlannedHold& aTarget,
                  TimePoint aNow);
  /** Returns whether aFence is the number of the newest order. */
  [[nodiscard]] bool isNewestOrder(std::uint64_t aFence) const
  {
    return this->fence == aFence;
  }
  /** Records that the endpoint accepted the newest order. */
  void onAccepted(TimePoint aNow);
  /** Starts over with Unfenced after a backoff. Called when an order was
   * refused, got no answer or did not finish in time. */
  void backOff(const PlacementLimits& aLimits, TimePoint aNow);

private:
  /** The side's incarnation that the other fields apply to. */
  std::uint64_t incarnation = 0;
  OrderPhase orderPhase = OrderPhase::Unfenced;
  /** Fencing number of the newest order. */
  std::uint64_t fence = 0;
  /** When the newest order was sent or, later, accepted. */
  TimePoint orderUpdatedAt{};
  /** No order is sent before this time. */
  TimePoint backoffUntil{};
  /** The model and layers that are being loaded. */
  PlannedHold target;
  /** Layers held before the load that stay held during it. */
  LayerRange keptLayers;
};

/** Returns the layers that stay held while aTarget is loaded. */
LayerRange
keptWhileLoading(const EndpointInfo& aInfo, const PlannedHold& aTarget);

/** Returns whether the endpoint reports the model, version and layers of
 * aTarget. */
bool
holdsTarget(const EndpointInfo& aInfo, const PlannedHold& aTarget);

} // namespace poplartrack
