#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "poplartrack/retry/SharedRetryBudget.h"

namespace poplartrack {

/**
 * A shared retry budget for each service. The bound holds for the attempts that
 * reach one service, by the requests for it: counted together, the calls of a
 * plain service paid for retries at the engines, which passed their bound.
 * Not thread-safe.
 */
class RetryBudgets
{
public:
  explicit RetryBudgets(const SharedRetryPolicy& aPolicy)
    : policy(aPolicy)
  {
  }

  /** The budget of a service; made at the first question. */
  SharedRetryBudget& of(const std::string& aService)
  {
    const auto [found, isNew] =
      this->budgets.try_emplace(aService, this->policy);
    if (isNew) {
      found->second.setRelays(this->relays);
    }
    return found->second;
  }
  /** Relays that exist, this one included. */
  void setRelays(std::size_t aRelays)
  {
    this->relays = aRelays;
    for (auto& [service, budget] : this->budgets) {
      budget.setRelays(aRelays);
    }
  }
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
