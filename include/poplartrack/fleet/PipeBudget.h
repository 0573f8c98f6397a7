#pragma once

#include <map>
#include <set>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/ZonePair.h"

namespace poplartrack {

/**
 * A relay's share of the pipes between availability zones, as a bucket of bytes
 * for each two zones that refills at the share's rate.
 *
 * A pipe carries one transfer after another, and the tokens of every stream
 * that crosses wait behind the prompts. When a zone lost a layer, seventy
 * streams at once were told paths through other zones: at 15 MB each they held
 * a pipe of 2,500 Mbit/s for seconds, callers left after 2.4 s without an event
 * and their successors queued behind transfers that nobody wanted. A request
 * that does not fit is refused at once instead, or waits for its own zone.
 *
 * A path may be taken while its bucket is not in debt, and is paid for in full:
 * one prompt may be larger than the share of a second. Pure; not thread-safe.
 */
class PipeBudget
{
public:
  /** Sets the share of each pipe; what is in the buckets stays, up to the new
   * depth. */
  void setShare(double aBytesPerSecond);
  /** The zones between which nothing more may be sent now. */
  [[nodiscard]] std::set<ZonePair> closed(TimePoint aNow);
  /** Books bytes that pass between two zones. */
  void take(const ZonePair& aZones, double aBytes, TimePoint aNow);

private:
  struct Bucket
  {
    double balance = 0;
    TimePoint last{};
  };

  void refill(Bucket& aBucket, TimePoint aNow) const;
  [[nodiscard]] double depth() const;

  double bytesPerSecond = 0;
  /** Those that are not full. */
  std::map<ZonePair, Bucket> buckets;
};

} // namespace poplartrack
