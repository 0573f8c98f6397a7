#include "poplartrack/entry/AwaitClaim.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include "poplartrack/entry/ClaimWait.h"

namespace poplartrack {
namespace {

/** Returns whether the pause passed without a stop. */
bool
pauseFor(Duration aPause, const std::stop_token& aStop)
{
  std::mutex guard;
  std::condition_variable_any stopped;
  std::unique_lock lock{ guard };
  stopped.wait_for(lock, aStop, aPause, [] { return false; });
  return !aStop.stop_requested();
}

} // namespace

ClaimVerdict
awaitClaim(const ClaimKeeper& aClaims,
           const ClaimRequest& aRequest,
           TimePoint aDeadline,
           const std::stop_token& aStop,
           Metrics& aMetrics)
{
  ClaimWait wait{ aDeadline };
  bool counted = false;
  while (true) {
    ClaimVerdict verdict = aClaims.claim(aRequest);
    const std::optional<Duration> pause =
      wait.pauseAfter(verdict, runtimeNow());
    if (!pause) {
      return verdict;
    }
    if (!std::exchange(counted, true)) {
      aMetrics.count("claim_waits_total");
    }
    if (!pauseFor(*pause, aStop)) {
      return verdict;
    }
  }
}

} // namespace poplartrack
