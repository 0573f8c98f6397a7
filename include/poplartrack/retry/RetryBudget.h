#pragma once

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** How much may be tried again. */
struct RetryBudgetPolicy
{
  /** Retries per first try. */
  double ratio = 0.1;
  /** Retries a second that are always allowed, for quiet times. */
  double perSecond = 1;
  /** Retries that stand ready for one loss, refilled by perSecond. Without
   * them a quiet entry with ten requests in flight through a stage that dies
   * could try only one of them again; it is what a node has in flight at 12.5
   * requests a second. */
  double reserve = 16;
  /** Time constant in which earned allowance fades. A full allowance pays for
   * one retry of all that is in flight (3 s of requests) when an availability
   * zone goes, and over the window no more than ratio again. */
  Duration window = std::chrono::seconds{ 30 };
};

/**
 * Bounds retries to a part of first tries, so that a brown-out does not grow
 * by its own retries: from its start on, retries <= ratio * requests +
 * perSecond * seconds + max(1, perSecond, reserve). What requests earned fades
 * over the window, so that a good hour does not pay for a bad minute. Not
 * thread-safe.
 */
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetPolicy& aPolicy);

  /** Sets another policy. What has been earned stays; what time alone gave is
   * cut to the new reserve. */
  void setPolicy(const RetryBudgetPolicy& aPolicy);
  /** A first try came. */
  void onRequest(TimePoint aNow);
  /** Whether one retry may be made now; takes it from the budget if so. */
  bool tryRetry(TimePoint aNow);
  [[nodiscard]] double balance() const { return this->earned + this->quiet; }

private:
  void advance(TimePoint aNow);

  RetryBudgetPolicy policy;
  /** Retries earned by requests, and by time alone. */
  double earned = 0;
  double quiet;
  TimePoint last{};
  bool started = false;
};

} // namespace poplartrack
