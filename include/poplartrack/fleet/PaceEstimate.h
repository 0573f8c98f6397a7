#pragma once

#include <string>
#include <unordered_map>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/PaceCorrection.h"

namespace poplartrack {

/**
 * Corrects the path search's forecasts by what the streams of this relay show.
 *
 * Each sample is the ratio of an actual time to its forecast. The correction of
 * a replica follows the samples of the paths that begin there by exponential
 * smoothing, in which a sample above the correction has more weight than one
 * below it. One value serves all of these paths, since the forecast errors of
 * one copy's paths have common causes: work of relays whose reports are late, a
 * busy network, a replica slower than declared. Without samples it returns to
 * 1, so that a replica that receives no requests because of its correction is
 * tried again.
 *
 * An actual time can include a delay of this relay: its event loop was busy
 * when it sent the request, or when the bytes arrived. Such a sample raises the
 * correction only as far as its time without that delay does. Pure; not
 * thread-safe.
 */
class PaceEstimate
{
public:
  /** Records the time from sending a request to its first event.
   * aOwnDelay: the part of it by which this relay at most delayed it. */
  void addFirstEvent(const std::string& aReplica,
                     Duration aForecast,
                     Duration aActual,
                     Duration aOwnDelay,
                     TimePoint aNow);
  /** The same for the time between two events of a stream. */
  void addPause(const std::string& aReplica,
                Duration aForecast,
                Duration aActual,
                Duration aOwnDelay,
                TimePoint aNow);
  /** Returns the correction for paths that begin at the replica. */
  [[nodiscard]] PaceCorrection at(const std::string& aReplica,
                                  TimePoint aNow) const;
  /** Returns the number of replicas with recent samples. */
  [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
  /** Ratios, exponentially smoothed. */
  struct SmoothedRatio
  {
    double value = 1;
    TimePoint sampledAt{};
  };
  /** Weight of a sample above the smoothed value, and of one below it relative
   * to that.
   */
  struct SampleWeight
  {
    double rise;
    double fallShare;
  };
  /** The ratio to the forecast lies between these. */
  struct RatioRange
  {
    double least;
    double most;
  };
  struct Entry
  {
    SmoothedRatio firstEvent;
    SmoothedRatio pause;
  };

  [[nodiscard]] static double valueAt(const SmoothedRatio& aSmoothed,
                                      TimePoint aNow);
  static void addSample(SmoothedRatio& aSmoothed,
                        SampleWeight aWeight,
                        RatioRange aRatio,
                        TimePoint aNow);
  [[nodiscard]] static RatioRange ratiosOf(Duration aForecast,
                                           Duration aActual,
                                           Duration aOwnDelay);
  Entry& entryOf(const std::string& aReplica, TimePoint aNow);

  /** By the id of the first replica. */
  std::unordered_map<std::string, Entry> entries;
};

} // namespace poplartrack
