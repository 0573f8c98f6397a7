#pragma once

#include <cstddef>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Bounds the share of the event loop's time that goes into answers which arrive
 * in bulk. A replica that sends without end, as fast as the network takes it,
 * would otherwise take the time of all other requests. Answers that deliver
 * only a few bytes in each period are never held up. Does no I/O; not
 * thread-safe.
 */
class BulkReads
{
public:
  /** Bytes that a request's connection may deliver in a period before its reads
   * are in bulk. */
  static constexpr std::size_t kFreeBytes = std::size_t{ 4 } * 1024;

  /** @param aPeriod time between two calls of beginPeriod
   *  @param aShare largest share of that time for bulk reads, from 0 to 1 */
  BulkReads(Duration aPeriod, double aShare)
    : limit(std::chrono::duration_cast<Duration>(aPeriod * aShare))
  {
  }

  void beginPeriod()
  {
    ++this->number;
    this->used = Duration{ 0 };
  }
  /** Number of the current period. */
  [[nodiscard]] std::uint32_t period() const { return this->number; }
  /** Records the time that a bulk read took. */
  void record(Duration aTime) { this->used += aTime; }
  /** Returns whether bulk reads must wait for the next period. */
  [[nodiscard]] bool exhausted() const { return this->used >= this->limit; }

private:
  Duration limit;
  Duration used{ 0 };
  std::uint32_t number = 0;
};

} // namespace poplartrack
