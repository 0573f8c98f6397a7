#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "poplartrack/retry/SharedRetryBudget.h"

namespace poplartrack {

/**
 * Holds one shared retry budget per service. Each service's retries are bounded
 * by the requests for that service. With one budget for all, the requests for a
 * plain service would earn retries that are spent at the engines, which then
 * exceed their bound. Not thread-safe.
 */
class RetryBudgets
{
public:
  explicit RetryBudgets(const SharedRetryPolicy& aPolicy)
    : policy(aPolicy)
  {
  }

  /** Returns the budget of a service and creates it on first use. */
  SharedRetryBudget& of(const std::string& aService)
  {
    const auto [found, isNew] =
      this->budgets.try_emplace(aService, this->policy);
    if (isNew) {
      found->second.setRelays(this->relays);
    }
    return found->second;
  }
  /** Sets the number of relays that exist, this one included, for all budgets.
   */
  void setRelays(std::size_t aRelays)
  {
    this->relays = aRelays;
    for (auto& [service, budget] : this->budgets) {
      budget.setRelays(aRelays);
    }
  }
  /** Returns the budgets by service. */
  [[nodiscard]] std::map<std::string, SharedRetryBudget>& all()
  {
    return this->budgets;
  }

private:
  SharedRetryPolicy policy;
  std::size_t relays = 1;
  std::map<std::string, SharedRetryBudget> budgets;
};

} // namespace poplartrack
