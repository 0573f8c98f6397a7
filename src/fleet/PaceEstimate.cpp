#include "poplartrack/fleet/PaceEstimate.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Bounds of a correction. A single stream that waits for a lost packet, or one
 * through a replica that stalls, must not keep other requests away. */
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 4;

/** A correction without samples has returned to 1 after this time. */
constexpr Duration kMaxSampleAge = std::chrono::seconds{ 5 };

/** Weight of a new sample. A stream has one first event and several pauses that
 * count. */
constexpr double kFirstEventWeight = 0.2;
constexpr double kPauseWeight = 0.05;

/** Weight of a sample below the smoothed value, relative to one above it. Most
 * requests must be on time, so a forecast that only half of them meet is too
 * low. First events need the safer forecast: under overload, the queue of a
 * path is as long as the objective permits, and a late first event wastes the
 * whole prefill. */
constexpr double kFirstEventFallShare = 0.1;
constexpr double kPauseFallShare = 0.25;

double
ratioOf(Duration aActual, Duration aForecast)
{
  return std::clamp(static_cast<double>(aActual.count()) /
                      static_cast<double>(aForecast.count()),
                    kMinCorrection,
                    kMaxCorrection);
}

} // namespace

double
PaceEstimate::valueAt(const SmoothedRatio& aSmoothed, TimePoint aNow)
{
  const Duration age = std::max(aNow - aSmoothed.sampledAt, Duration{ 0 });
  const double kept = 1 - static_cast<double>(age.count()) /
                            static_cast<double>(kMaxSampleAge.count());
  return 1 + (aSmoothed.value - 1) * std::max(kept, 0.0);
}

/** Returns the range of the ratio, since the actual time without this relay's
 * delay is not known exactly. */
PaceEstimate::RatioRange
PaceEstimate::ratiosOf(Duration aForecast, Duration aActual, Duration aOwnDelay)
{
  return { ratioOf(aActual - aOwnDelay, aForecast),
           ratioOf(aActual, aForecast) };
}

/** Adds a sample. It is left out if the smoothed value lies within its range:
 * it does not show whether the value is too low or too high. */
void
PaceEstimate::addSample(SmoothedRatio& aSmoothed,
                        SampleWeight aWeight,
                        RatioRange aRatio,
                        TimePoint aNow)
{
  const double before = valueAt(aSmoothed, aNow);
  if (aRatio.least < before && before < aRatio.most) {
    return;
  }
  const double nearest = std::clamp(before, aRatio.least, aRatio.most);
  const double weight =
    nearest > before ? aWeight.rise : aWeight.rise * aWeight.fallShare;
  aSmoothed.value = before + weight * (nearest - before);
  aSmoothed.sampledAt = aNow;
}

/** Returns the entry of a replica. Adding one drops those without recent
 * samples, so that replicas that have left take no memory. */
PaceEstimate::Entry&
PaceEstimate::entryOf(const std::string& aReplica, TimePoint aNow)
{
  const auto found = this->entries.find(aReplica);
  if (found != this->entries.end()) {
    return found->second;
  }
  std::erase_if(this->entries, [aNow](const auto& aEntry) {
    const Entry& entry = aEntry.second;
    return aNow - std::max(entry.firstEvent.sampledAt, entry.pause.sampledAt) >
           kMaxSampleAge;
  });
  return this->entries[aReplica];
}

void
PaceEstimate::addFirstEvent(const std::string& aReplica,
                            Duration aForecast,
                            Duration aActual,
                            Duration aOwnDelay,
                            TimePoint aNow)
{
  if (aForecast > Duration{ 0 }) {
    addSample(this->entryOf(aReplica, aNow).firstEvent,
              { kFirstEventWeight, kFirstEventFallShare },
              ratiosOf(aForecast, aActual, aOwnDelay),
              aNow);
  }
}

void
PaceEstimate::addPause(const std::string& aReplica,
                       Duration aForecast,
                       Duration aActual,
                       Duration aOwnDelay,
                       TimePoint aNow)
{
  if (aForecast > Duration{ 0 }) {
    addSample(this->entryOf(aReplica, aNow).pause,
              { kPauseWeight, kPauseFallShare },
              ratiosOf(aForecast, aActual, aOwnDelay),
              aNow);
  }
}

PaceCorrection
PaceEstimate::at(const std::string& aReplica, TimePoint aNow) const
{
  const auto found = this->entries.find(aReplica);
  return found == this->entries.end()
           ? PaceCorrection{}
           : PaceCorrection{ valueAt(found->second.firstEvent, aNow),
                             valueAt(found->second.pause, aNow) };
}

} // namespace poplartrack
