#include "poplartrack/fleet/StatusTargets.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include <xxhash.h>

namespace poplartrack {
namespace {

/** Returns the weight of a relay as a forwarder for the sender that the seed
 * stands for. */
std::uint64_t
weightOf(const Address& aRelay, std::uint64_t aSenderSeed)
{
  return XXH3_64bits_withSeed(
    aRelay.host.data(), aRelay.host.size(), aSenderSeed + aRelay.port);
}

/** Returns the number that stands for a sender in weightOf. */
std::uint64_t
seedOf(const Address& aSender)
{
  return XXH3_64bits_withSeed(
    aSender.host.data(), aSender.host.size(), aSender.port);
}

} // namespace

StatusTargets
chooseStatusTargets(const Address& aOwn, std::span<const RemoteRelay> aRelays)
{
  StatusTargets targets;
  std::map<std::string_view, std::vector<const Address*>> forwarding;
  for (const RemoteRelay& relay : aRelays) {
    if (relay.forwards) {
      forwarding[relay.zone].push_back(&relay.address);
    } else {
      targets.direct.push_back(relay.address);
    }
  }
  const std::uint64_t seed = seedOf(aOwn);
  for (const auto& [zone, relays] : forwarding) {
    if (relays.size() <= kMaxDirectPerZone) {
      for (const Address* relay : relays) {
        targets.direct.push_back(*relay);
      }
      continue;
    }
    std::vector<std::pair<std::uint64_t, const Address*>> byWeight;
    byWeight.reserve(relays.size());
    for (const Address* relay : relays) {
      byWeight.emplace_back(weightOf(*relay, seed), relay);
    }
    const auto end = byWeight.begin() + kForwardersPerZone;
    std::partial_sort(byWeight.begin(),
                      end,
                      byWeight.end(),
                      [](const auto& aOne, const auto& aOther) {
                        return aOne.first != aOther.first
                                 ? aOne.first > aOther.first
                                 : *aOne.second < *aOther.second;
                      });
    for (auto chosen = byWeight.begin(); chosen != end; ++chosen) {
      targets.forwarders.push_back(*chosen->second);
    }
  }
  return targets;
}

} // namespace poplartrack
