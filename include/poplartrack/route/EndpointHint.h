#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/route/EndpointMemory.h"
#include "poplartrack/route/RoutePolicy.h"

namespace poplartrack {

/** Lower bound of the fraction of attempts with a step at the endpoint: a
 * single snapshot may find no step there at all. */
constexpr double kMinActiveFraction = 0.05;

/** Whether an endpoint may get new work. */
enum class Fitness : std::uint8_t
{
  Fit,
  /** In backoff after failures; used only when no fit endpoint covers a
   * layer. */
  BackingOff,
  /** Draining: gets no new work. */
  Unfit,
};

/** Updates the record from the endpoint's load hint, if that is new. */
void
applyHint(const EndpointInfo& aInfo,
          const RoutePolicy& aPolicy,
          EndpointRecord& aRecord);

/** Forgets failures by silence if the endpoint's side has answered since. */
void
applyAnswer(const EndpointInfo& aInfo, EndpointRecord& aRecord);

/** Returns the fitness, derived from draining, failures and the single trial
 * attempt that is allowed after a backoff. */
Fitness
fitnessOf(const EndpointInfo& aInfo,
          const EndpointRecord& aRecord,
          TimePoint aNow);

} // namespace poplartrack
