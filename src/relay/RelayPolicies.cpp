#include "RelayPolicies.h"

#include <algorithm>
#include <chrono>

namespace poplartrack {
namespace {

/** Margin between the bound on the use of revoked keys and the age of the
 * configuration at which a relay stops sending. It covers a store whose answers
 * lack recent changes for a second, as happens before it drops its history. */
constexpr Duration kRevokeMargin = std::chrono::milliseconds{ 1'000 };

/** Margin between the deadline for applying a new configuration and the age at
 * which a relay stops using its own. It covers the time that a request takes to
 * reach its replica, and a store whose clock is slightly behind. */
constexpr Duration kConfigMargin = std::chrono::milliseconds{ 300 };

/** Number of heartbeats after which the replica list shows that a replica has
 * crashed: it is removed after three missed ones, and the update of the list
 * takes time to arrive. */
constexpr int kHeartbeatsToReportCrash = 4;

} // namespace

GatePolicy
gatePolicy(const RelaySettings& aSettings)
{
  GatePolicy policy;
  policy.maxKeyAge =
    aSettings.strictRevoke
      ? std::max(Duration{ 0 }, aSettings.revoke - kRevokeMargin)
      : Duration::max();
  policy.maxDenyAge = aSettings.revoke - kRevokeMargin;
  policy.maxConfigAge = aSettings.configDeadline - kConfigMargin;
  return policy;
}

SharedRetryPolicy
retryPolicy(const RelaySettings& aSettings)
{
  SharedRetryPolicy policy;
  policy.ratio = aSettings.retryRatio;
  policy.slack = aSettings.retrySlack;
  policy.window = aSettings.retryWindow;
  return policy;
}

Duration
crashReportTime(const RelaySettings& aSettings)
{
  return aSettings.heartbeat * kHeartbeatsToReportCrash;
}

} // namespace poplartrack
