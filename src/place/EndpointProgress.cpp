#include "poplartrack/place/EndpointProgress.h"

#include <algorithm>

namespace poplartrack {
namespace {

LayerRange
intersection(const LayerRange& aLeft, const LayerRange& aRight)
{
  const std::uint32_t from = std::max(aLeft.from, aRight.from);
  const std::uint32_t to = std::min(aLeft.to, aRight.to);
  return from < to ? LayerRange{ from, to } : LayerRange{};
}

bool
sameModel(const EndpointInfo& aInfo, const PlannedHold& aTarget)
{
  return aInfo.model == aTarget.model && aInfo.modelVersion == aTarget.version;
}

/** Returns whether the newest report is recent enough to confirm layers. */
bool
isFresh(const EndpointInfo& aInfo,
        const PlacementLimits& aLimits,
        TimePoint aNow)
{
  return aNow - aInfo.holdsReportedAt <= aLimits.maxReportAge;
}

} // namespace

LayerRange
keptWhileLoading(const EndpointInfo& aInfo, const PlannedHold& aTarget)
{
  return sameModel(aInfo, aTarget) ? intersection(aInfo.holds, aTarget.holds)
                                   : LayerRange{};
}

bool
holdsTarget(const EndpointInfo& aInfo, const PlannedHold& aTarget)
{
  return sameModel(aInfo, aTarget) && aInfo.holds == aTarget.holds;
}

void
EndpointProgress::observe(const EndpointInfo& aInfo,
                          const PlacementLimits& aLimits,
                          TimePoint aNow)
{
  if (this->incarnation != aInfo.incarnation) {
    // A restarted side has lost the fencing number that it had accepted.
    *this = EndpointProgress{};
    this->incarnation = aInfo.incarnation;
    return;
  }
  const bool reportedSince =
    aInfo.holdsReportedAt > this->orderUpdatedAt + aLimits.reportDelay;
  const Duration age = aNow - this->orderUpdatedAt;
  switch (this->orderPhase) {
    case OrderPhase::Unfenced:
    case OrderPhase::Known:
      return;
    case OrderPhase::FencePending:
    case OrderPhase::LoadPending:
      if (age >= aLimits.answerTimeout) {
        this->backOff(aLimits, aNow);
      }
      return;
    case OrderPhase::Fenced:
      if (reportedSince) {
        this->orderPhase = OrderPhase::Known;
      }
      return;
    case OrderPhase::Loading:
      if (reportedSince && holdsTarget(aInfo, this->target)) {
        this->orderPhase = OrderPhase::Known;
      } else if (age >= aLimits.loadTimeout || !isFresh(aInfo, aLimits, aNow)) {
        this->backOff(aLimits, aNow);
      }
      return;
  }
}

LayerRange
EndpointProgress::confirmedHolds(const EndpointInfo& aInfo,
                                 const PlacementLimits& aLimits,
                                 TimePoint aNow) const
{
  if (aInfo.draining || !isFresh(aInfo, aLimits, aNow)) {
    return {};
  }
  switch (this->orderPhase) {
    case OrderPhase::Known:
      return aInfo.holds;
    case OrderPhase::LoadPending:
    case OrderPhase::Loading:
      return sameModel(aInfo, this->target)
               ? intersection(aInfo.holds, this->keptLayers)
               : LayerRange{};
    default:
      return {};
  }
}

void
EndpointProgress::onFenceSent(std::uint64_t aFence, TimePoint aNow)
{
  this->orderPhase = OrderPhase::FencePending;
  this->fence = aFence;
  this->orderUpdatedAt = aNow;
}

void
EndpointProgress::onLoadSent(std::uint64_t aFence,
                             const EndpointInfo& aInfo,
                             const PlannedHold& aTarget,
                             TimePoint aNow)
{
  this->orderPhase = OrderPhase::LoadPending;
  this->fence = aFence;
  this->orderUpdatedAt = aNow;
  this->target = aTarget;
  this->keptLayers = keptWhileLoading(aInfo, aTarget);
}

void
EndpointProgress::onAccepted(TimePoint aNow)
{
  if (this->orderPhase == OrderPhase::FencePending) {
    this->orderPhase = OrderPhase::Fenced;
    this->orderUpdatedAt = aNow;
  } else if (this->orderPhase == OrderPhase::LoadPending) {
    this->orderPhase = OrderPhase::Loading;
    this->orderUpdatedAt = aNow;
  }
}

void
EndpointProgress::backOff(const PlacementLimits& aLimits, TimePoint aNow)
{
  this->orderPhase = OrderPhase::Unfenced;
  this->backoffUntil = aNow + aLimits.backoff;
}

} // namespace poplartrack
