#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/entry/PlainRun.h"
#include "poplartrack/entry/RunAction.h"

namespace poplartrack {

/** Returns the endpoints to avoid in each choice of a retry's route, in the
 * order in which the choices are tried.
 *
 * An endpoint that failed the request earlier may work again, so it is chosen
 * before those that failed last. Otherwise a retry could be sent to an endpoint
 * that has just died until no time is left, while the other one is available.
 *
 * @param aMayRepeat whether endpoints that failed the request may be chosen */
[[nodiscard]] inline std::vector<std::set<std::string>>
avoidInOrder(const NeedRoute& aNeed, bool aMayRepeat)
{
  std::vector<std::set<std::string>> order{ aNeed.avoid };
  if (aMayRepeat) {
    order.push_back(aNeed.failedLast);
  }
  if (aMayRepeat && !aNeed.keepsAttempt) {
    order.emplace_back();
  }
  return order;
}

/** The same for a plain call's endpoint. */
[[nodiscard]] inline std::vector<std::set<std::string>>
avoidInOrder(const NeedEndpoint& aNeed)
{
  std::vector<std::set<std::string>> order{ aNeed.avoid };
  if (!aNeed.lastResort.empty()) {
    std::set<std::string> failed = aNeed.avoid;
    for (const std::string& endpoint : aNeed.lastResort) {
      failed.erase(endpoint);
    }
    order.push_back(std::move(failed));
  }
  return order;
}

} // namespace poplartrack
