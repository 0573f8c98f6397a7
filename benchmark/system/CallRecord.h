#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"

namespace poplartrack::bench {

/** One call of the load, as its caller saw it. */
struct CallRecord
{
  std::string model;
  std::vector<std::uint32_t> prompt;
  std::uint32_t wanted = 0;
  /** When it should have been sent: all latencies count from here, so that a
   * generator that falls behind hides no delay. */
  TimePoint intended{};
  TimePoint ended{};
  Duration deadline{ 0 };
  std::vector<std::uint32_t> tokens;
  std::vector<TimePoint> tokenTimes;
  std::uint32_t attempts = 0;
  /** Kind of refusal or failure; empty when the answer is whole. */
  std::string kind;
  bool whole = false;

  /** A whole answer within its deadline: what goodput counts. */
  [[nodiscard]] bool good() const
  {
    return this->whole && this->ended - this->intended <= this->deadline;
  }
};

} // namespace poplartrack::bench
