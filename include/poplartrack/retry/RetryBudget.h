#pragma once

#include <optional>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** Bounds for retries. */
struct RetryBudgetPolicy
{
  /** Retries per first attempt. */
  double ratio = 0.1;
  /** Retries a second that are always allowed, for times with few requests. */
  double perSecond = 1;
  /** Retries available at once for the loss of one stage, refilled by
   * perSecond. Without it, an entry with few requests and ten of them in flight
   * through a stage that crashes could retry only one of them. The default is
   * what a node has in flight at 12.5 requests a second. */
  double reserve = 16;
  /** Time constant with which earned retries decay. A full budget covers one
   * retry of everything in flight (3 s of requests) when an availability zone
   * fails. Over the window, requests earn no more than ratio
   * again. */
  Duration window = std::chrono::seconds{ 30 };
};

/**
 * Bounds retries to a fraction of first attempts, so that retries do not
 * amplify a partial outage. At any time since construction, retries <= ratio *
 * requests + perSecond * seconds + max(1, perSecond, reserve). Retries earned
 * by requests decay over the window, so that an hour without failures does not
 * allow a burst of retries afterwards. Not thread-safe.
 */
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetPolicy& aPolicy);

  /** Replaces the policy. Retries earned by requests stay; those earned by time
   * are cut to the new reserve. */
  void setPolicy(const RetryBudgetPolicy& aPolicy);
  /** Counts a first attempt. */
  void onRequest(TimePoint aNow);
  /** Returns whether one retry may be made now, and takes it from the budget if
   * so. */
  bool tryRetry(TimePoint aNow);
  /** Takes one retry from the budget and returns when it may be made: aNow, or
   * the time at which time alone has earned it and all retries booked before.
   * Returns nullopt and takes nothing if that is after aLatest. */
  std::optional<TimePoint> bookRetry(TimePoint aNow, TimePoint aLatest);
  /** Returns the retries left, as of the last call that changed the budget. */
  [[nodiscard]] double balance() const
  {
    return this->earned + this->earnedByTime;
  }

private:
  /** Decays and refills the budget up to aNow. */
  void advance(TimePoint aNow);

  RetryBudgetPolicy policy;
  /** Retries earned by requests. */
  double earned = 0;
  /** Retries earned by time alone; starts with the reserve. Negative while
   * booked retries wait. */
  double earnedByTime;
  TimePoint last{};
  bool started = false;
};

} // namespace poplartrack
