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

bool
isFresh(const EndpointInfo& aInfo,
        const PlacementLimits& aLimits,
        TimePoint aNow)
{
  return aNow - aInfo.holdsReportedAt <= aLimits.maxAge;
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
    // A restarted side has forgotten the number.
    *this = EndpointProgress{};
    this->incarnation = aInfo.incarnation;
    return;
  }
  const bool heardSince = aInfo.holdsReportedAt > this->since + aLimits.settle;
  const Duration age = aNow - this->since;
  switch (this->at) {
    case OrderPhase::Unfenced:
    case OrderPhase::Known:
      return;
    case OrderPhase::Announcing:
    case OrderPhase::Ordering:
      if (age >= aLimits.answerTimeout) {
        this->failed(aLimits, aNow);
      }
      return;
    case OrderPhase::Announced:
      if (heardSince) {
        this->at = OrderPhase::Known;
      }
      return;
    case OrderPhase::Loading:
      if (heardSince && holdsTarget(aInfo, this->target)) {
        this->at = OrderPhase::Known;
      } else if (age >= aLimits.loadTimeout || !isFresh(aInfo, aLimits, aNow)) {
        this->failed(aLimits, aNow);
      }
      return;
  }
}

LayerRange
EndpointProgress::surelyHeld(const EndpointInfo& aInfo,
                             const PlacementLimits& aLimits,
                             TimePoint aNow) const
{
  if (aInfo.draining || !isFresh(aInfo, aLimits, aNow)) {
    return {};
  }
  switch (this->at) {
    case OrderPhase::Known:
      return aInfo.holds;
    case OrderPhase::Ordering:
    case OrderPhase::Loading:
      return sameModel(aInfo, this->target)
               ? intersection(aInfo.holds, this->kept)
               : LayerRange{};
    default:
      return {};
  }
}

void
EndpointProgress::announce(std::uint64_t aNumber, TimePoint aNow)
{
  this->at = OrderPhase::Announcing;
  this->number = aNumber;
  this->since = aNow;
}

void
EndpointProgress::order(std::uint64_t aNumber,
                        const EndpointInfo& aInfo,
                        const PlannedHold& aTarget,
                        TimePoint aNow)
{
  this->at = OrderPhase::Ordering;
  this->number = aNumber;
  this->since = aNow;
  this->target = aTarget;
  this->kept = keptWhileLoading(aInfo, aTarget);
}

void
EndpointProgress::taken(TimePoint aNow)
{
  if (this->at == OrderPhase::Announcing) {
    this->at = OrderPhase::Announced;
    this->since = aNow;
  } else if (this->at == OrderPhase::Ordering) {
    this->at = OrderPhase::Loading;
    this->since = aNow;
  }
}

void
EndpointProgress::failed(const PlacementLimits& aLimits, TimePoint aNow)
{
  this->at = OrderPhase::Unfenced;
  this->restUntil = aNow + aLimits.rest;
}

} // namespace poplartrack
