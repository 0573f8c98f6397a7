#include "Exchange.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace poplartrack {

int
urgencyOf(const Exchange& aExchange)
{
  constexpr int kLeastUrgent = 9;
  const bool hasOwn =
    aExchange.account != nullptr && aExchange.account->priority.has_value();
  const int urgency =
    hasOwn ? *aExchange.account->priority : aExchange.route->priority;
  return std::clamp(urgency, 0, kLeastUrgent);
}

RetryPriority
retryNeedOf(const Exchange& aExchange)
{
  return aExchange.answering ? RetryPriority::Started
                             : RetryPriority::Unanswered;
}

const RelayService*
pickService(const Exchange& aExchange)
{
  const RelayRoute& route = *aExchange.route;
  std::uint64_t totalWeight = 0;
  for (const RouteTarget& target : route.targets) {
    totalWeight += target.weight;
  }
  if (totalWeight == 0) {
    return nullptr;
  }
  std::uint64_t position =
    std::hash<std::string_view>{}(aExchange.requestId) % totalWeight;
  for (const RouteTarget& target : route.targets) {
    if (position < target.weight) {
      return aExchange.config->service(target.service);
    }
    position -= target.weight;
  }
  return nullptr;
}

} // namespace poplartrack
