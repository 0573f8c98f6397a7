#pragma once

#include <cstdint>

#include "poplartrack/base/Clock.h"
#include "poplartrack/route/EndpointInfo.h"
#include "poplartrack/route/EndpointMemory.h"
#include "poplartrack/route/RoutePolicy.h"

namespace poplartrack {

/** One snapshot may find no step there at all. */
constexpr double kLeastPresence = 0.05;

/** How far an endpoint may be given new work. */
enum class Fitness : std::uint8_t
{
  Fit,
  /** Resting after failures; taken only when nothing else covers a layer. */
  BackingOff,
  Unfit,
};

/** Takes the newest hint into the record, if there is a new one. */
void
takeHint(const EndpointInfo& aInfo,
         const RoutePolicy& aPolicy,
         EndpointRecord& aRecord);

/** Fitness by leaving, failures and the one trial after a rest. */
Fitness
fitnessOf(const EndpointInfo& aInfo,
          const EndpointRecord& aRecord,
          TimePoint aNow);

} // namespace poplartrack
