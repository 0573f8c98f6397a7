#include "poplartrack/fleet/RelayConfig.h"

#include <algorithm>

namespace poplartrack {

const RelayRoute*
RelayConfig::routeFor(std::string_view aHost, std::string_view aPath) const
{
  const auto host = this->routes.find(aHost);
  if (host == this->routes.end()) {
    return nullptr;
  }
  for (const RelayRoute& route : host->second) {
    if (aPath.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const RelayAccount*
RelayConfig::accountFor(const std::string& aKey) const
{
  // A request without a key comes with an empty one.
  if (aKey.empty()) {
    return nullptr;
  }
  const auto found = this->keys.find(aKey);
  return found == this->keys.end() ? nullptr : &this->accounts[found->second];
}

const RelayService*
RelayConfig::service(std::string_view aName) const
{
  const auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : &found->second;
}

void
RelayConfig::sortRoutes()
{
  for (auto& [host, list] : this->routes) {
    std::stable_sort(list.begin(),
                     list.end(),
                     [](const RelayRoute& aLeft, const RelayRoute& aRight) {
                       return aLeft.prefix.size() > aRight.prefix.size();
                     });
  }
}

} // namespace poplartrack
