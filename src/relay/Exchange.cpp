#include "Exchange.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace poplartrack {
namespace {

/** The maximum number of attempts for a stream that the caller has received in
 * part. When a zone is lost, several copies of the model are short of memory at
 * once, and each refuses the stream. */
constexpr int kMaxStreamSends = 8;

} // namespace

bool
maySendAgain(const Exchange& aExchange)
{
  return aExchange.sends < (aExchange.answering ? kMaxStreamSends : kMaxSends);
}

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
