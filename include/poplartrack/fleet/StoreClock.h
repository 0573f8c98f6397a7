#pragma once

#include <cstdint>
#include <optional>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Places moments of the store's steady clock on this process's clock, never
 * later than they were.
 *
 * Each answer tells the store's time, and was given after its call was sent:
 * so the store's zero lies no earlier than (sent - told) here. The greatest
 * such bound holds for every answer; a quick call makes it tight, to some ms.
 * With it an answer to a long poll proves what was in force when it was given,
 * not only when it was asked for. Pure; not thread-safe.
 */
class StoreClock
{
public:
  /** An answer told the store's time; its call was sent at aSent. */
  void onAnswer(TimePoint aSent, std::int64_t aStoreMs);
  /** The earliest moment here at which the store's clock showed aStoreMs;
   * nothing before the first answer. */
  [[nodiscard]] std::optional<TimePoint> earliest(std::int64_t aStoreMs) const;

private:
  std::optional<TimePoint> zero;
  std::int64_t latestMs = 0;
};

} // namespace poplartrack
