#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Limits the number of waiting requests of each service to those that can be
 * started within the longest wait. The rate of starts is measured over the last
 * two seconds, or since the queue formed if that is later. Requests beyond the
 * limit would wait only to be refused, and their callers would learn of it too
 * late to go elsewhere.
 *
 * A queue that has just formed has no limit: before requests wait, the rate of
 * starts shows the demand of a service, not its capacity. Pure; not
 * thread-safe.
 */
class QueueBound
{
public:
  /** Records that a request of the service was started. */
  void onStart(const std::string& aService, TimePoint aNow);
  /** Records that requests of the service wait, and returns how many of them
   * are over the limit. Called in each round of the wait queue in which
   * requests of the service wait; without calls for 100 ms, the queue counts as
   * new.
   * @param aLength Number of requests of the service that wait.
   * @param aLongestWait How long a new request may wait. */
  std::size_t requestsOverLimit(const std::string& aService,
                                std::size_t aLength,
                                Duration aLongestWait,
                                TimePoint aNow);

private:
  struct Service
  {
    /** Start times of the last seconds, the oldest first. */
    std::deque<TimePoint> starts;
    /** When its queue formed, and when it was last seen to hold requests. */
    TimePoint formedAt{};
    TimePoint lastSeenAt{};
  };

  std::unordered_map<std::string, Service> services;
};

} // namespace poplartrack
