#pragma once

#include <cstdint>
#include <optional>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Converts times of the store's steady clock to this process's clock, and never
 * to a later time than the true one.
 *
 * Each answer carries the store's time and was given after its call was sent,
 * so zero on the store's clock is no earlier here than the time of sending
 * minus the store's time. The latest such lower bound holds for every answer;
 * after a quick call it is within some ms. With it, an answer to a long poll
 * proves which configuration was in force when it was given, and not only when
 * it was requested. Pure; not thread-safe.
 */
class StoreClock
{
public:
  /** Records that an answer carried the store's time; its call was sent at
   * aSent. */
  void onAnswer(TimePoint aSent, std::int64_t aStoreMs);
  /** Returns the earliest time here at which the store's clock showed aStoreMs;
   * nullopt before the first answer. */
  [[nodiscard]] std::optional<TimePoint> earliest(std::int64_t aStoreMs) const;

private:
  /** Lower bound of the time here at which the store's clock showed zero. */
  std::optional<TimePoint> origin;
  /** Latest time seen on the store's clock. */
  std::int64_t latestMs = 0;
};

} // namespace poplartrack
