#pragma once

#include <functional>
#include <string>

#include "poplartrack/entry/IdempotencyClaim.h"

namespace poplartrack {

/** The claims of idempotency keys, bound to the platform that the process was
 * given. Calls block on the platform. */
struct ClaimKeeper
{
  std::function<ClaimVerdict(const ClaimRequest&)> claim;
  std::function<void(const ClaimHeld&, std::uint32_t, const std::string&)>
    record;
  std::function<void(const ClaimHeld&)> recordUnknown;
  std::function<void(const ClaimHeld&)> release;

  /** Claims through a platform that outlives the keeper. */
  template<PlatformLike Platform>
  static ClaimKeeper through(Platform& aPlatform)
  {
    ClaimKeeper keeper;
    keeper.claim = [&aPlatform](const ClaimRequest& aRequest) {
      return IdempotencyClaim<Platform>{ aPlatform }.claim(aRequest);
    };
    // A result that cannot be kept leaves the claim without one. That is safe:
    // repeats are then answered that the outcome is unknown.
    keeper.record = [&aPlatform](const ClaimHeld& aHeld,
                                 std::uint32_t aStatus,
                                 const std::string& aBody) {
      (void)IdempotencyClaim<Platform>{ aPlatform }.record(
        aHeld, aStatus, aBody);
    };
    keeper.recordUnknown = [&aPlatform](const ClaimHeld& aHeld) {
      (void)IdempotencyClaim<Platform>{ aPlatform }.recordUnknown(aHeld);
    };
    keeper.release = [&aPlatform](const ClaimHeld& aHeld) {
      (void)IdempotencyClaim<Platform>{ aPlatform }.release(aHeld);
    };
    return keeper;
  }
};

} // namespace poplartrack
