#include "poplartrack/relay/RelayShared.h"

#include <algorithm>

namespace poplartrack {

bool
RelayShared::addPeers(const std::vector<Address>& aRelays, const Address& aOwn)
{
  const std::scoped_lock lock{ this->peersGuard };
  const auto before = this->peers.read();
  std::vector<Address> merged = *before;
  merged.insert(merged.end(), aRelays.begin(), aRelays.end());
  std::erase(merged, aOwn);
  std::sort(merged.begin(), merged.end());
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  if (merged == *before) {
    return false;
  }
  this->peers.replace(
    std::make_shared<const std::vector<Address>>(std::move(merged)));
  return true;
}

} // namespace poplartrack
