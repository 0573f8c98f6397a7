#include "poplartrack/entry/AwaitClaim.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

TEST(AwaitClaim, aStopEndsTheWait)
{
  // Guards against a drain that is held up by calls that wait for their key.
  std::stop_source stop;
  int tries = 0;
  ClaimKeeper claims;
  claims.claim = [&](const ClaimRequest&) {
    ++tries;
    stop.request_stop();
    return ClaimRefused{ fail(ErrorKind::KeyInUse),
                         RunState::Unknown,
                         ClaimProspect::HolderMayEnd };
  };
  Metrics metrics;
  const ClaimVerdict verdict =
    awaitClaim(claims,
               {},
               runtimeNow() + std::chrono::seconds{ 2 },
               stop.get_token(),
               metrics);
  EXPECT_TRUE(std::holds_alternative<ClaimRefused>(verdict));
  EXPECT_EQ(tries, 1);
}

TEST(AwaitClaim, aWaitingCallIsCountedOnceAndIsNoRetry)
{
  // Guards against waits that look like claims whose result is not known.
  int tries = 0;
  ClaimKeeper claims;
  claims.claim = [&](const ClaimRequest&) -> ClaimVerdict {
    if (++tries == 3) {
      return ClaimHeld{};
    }
    return ClaimRefused{ fail(ErrorKind::KeyInUse),
                         RunState::Unknown,
                         ClaimProspect::HolderMayEnd };
  };
  Metrics metrics;
  const ClaimVerdict verdict = awaitClaim(
    claims, {}, runtimeNow() + std::chrono::minutes{ 1 }, {}, metrics);
  EXPECT_TRUE(std::holds_alternative<ClaimHeld>(verdict));
  EXPECT_EQ(metrics.counter("claim_waits_total"), 1U);
  EXPECT_EQ(metrics.retries(RetryReason::ClaimUnknown), 0U);
}

} // namespace
} // namespace poplartrack
