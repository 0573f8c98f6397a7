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
  std::function<Result<Done>(const ClaimEnd&)> end;

  /** Claims through a platform that outlives the keeper. */
  template<PlatformLike Platform>
  static ClaimKeeper through(Platform& aPlatform)
  {
    ClaimKeeper keeper;
    keeper.claim = [&aPlatform](const ClaimRequest& aRequest) {
      return IdempotencyClaim<Platform>{ aPlatform }.claim(aRequest);
    };
    keeper.end = [&aPlatform](const ClaimEnd& aEnd) {
      return IdempotencyClaim<Platform>{ aPlatform }.end(aEnd);
    };
    return keeper;
  }
};

} // namespace poplartrack
