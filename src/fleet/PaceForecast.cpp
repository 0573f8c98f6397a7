#include "poplartrack/fleet/PaceForecast.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Largest correction of times without other work. A forecast may be wrong by
 * this factor for all requests of a service; beyond it, the replica is slow,
 * and requests should go elsewhere. */
constexpr double kMaxIdleCorrection = 1.5;

Duration
scaled(Duration aDuration, double aFactor)
{
  return Duration{ static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor) };
}

} // namespace

PaceForecast
paceForecast(const LayerPath& aPath,
             const PaceCorrection& aCorrection,
             int aTokensPerEvent,
             bool aIdle)
{
  // The first event is complete with its last token.
  const Duration first =
    aPath.firstToken + aPath.perToken * (aTokensPerEvent - 1);
  PaceForecast forecast;
  forecast.firstEvent = scaled(first, aCorrection.firstEvent);
  forecast.queued = scaled(aPath.queued, aCorrection.firstEvent);
  forecast.pause = scaled(aPath.perToken * aTokensPerEvent, aCorrection.pause);
  forecast.idleFirstEvent = scaled(
    first - aPath.queued, std::min(aCorrection.firstEvent, kMaxIdleCorrection));
  forecast.idlePause = scaled(aPath.idlePerToken * aTokensPerEvent,
                              std::min(aCorrection.pause, kMaxIdleCorrection));
  forecast.idle = aIdle;
  return forecast;
}

} // namespace poplartrack
