#pragma once

#include <cstdint>
#include <random>

#include "poplartrack/admit/AdmissionPolicy.h"

namespace poplartrack {

/**
 * Chooses after what time rejected callers should try again. Each gets a random
 * time in a window that grows with the ratio of rejected to admitted requests.
 * A fixed time would bring all of them back at once (thundering herd). Not
 * thread-safe.
 */
class RetryAfter
{
public:
  RetryAfter(const AdmissionPolicy& aPolicy, std::uint64_t aSeed);

  /** Counts an admitted request. */
  void onAdmitted(TimePoint aNow);
  /** Counts a rejected request and returns its random retry time. It is at
   * least aMinimum, unless that exceeds the policy's longest time. */
  Duration onRefused(Duration aMinimum, TimePoint aNow);

private:
  /** Decays the counts up to aNow. */
  void decay(TimePoint aNow);

  Duration shortest;
  Duration longest;
  std::mt19937_64 random;
  double admitted = 0;
  double refused = 0;
  TimePoint last{};
};

} // namespace poplartrack
