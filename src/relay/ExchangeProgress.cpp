#include "ExchangeProgress.h"

#include <algorithm>

namespace poplartrack {

StreamProgress
progressOf(const Exchange& aExchange)
{
  StreamProgress progress;
  progress.parts = aExchange.path.parts;
  progress.running =
    aExchange.runningSince.has_value() && !aExchange.repairedAt;
  progress.lastEvent =
    std::max(aExchange.lastProgress,
             aExchange.repairedAt.value_or(aExchange.lastProgress));
  if (aExchange.route->rule != RetryRule::Stream) {
    // The answer comes as a whole.
    progress.expectedGap = aExchange.path.firstToken +
                           std::chrono::duration_cast<Duration>(
                             aExchange.path.perToken * aExchange.need.answer);
    return progress;
  }
  const Duration forecast = aExchange.path.perToken * kTokensPerEvent;
  progress.expectedGap = progress.running
                           ? aExchange.eventTimes.expectedGap(forecast)
                           : aExchange.path.firstToken + forecast;
  return progress;
}

} // namespace poplartrack
