#include "poplartrack/fleet/StatusTargets.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

Address
addressOf(std::size_t aNumber)
{
  constexpr std::size_t kHosts = 250;
  return { "10.0." + std::to_string(aNumber / kHosts) + "." +
             std::to_string(aNumber % kHosts),
           7'000 };
}

/** Returns this many relays of a zone, which all forward. */
std::vector<RemoteRelay>
zoneOf(std::size_t aRelays, const std::string& aZone, std::size_t aFirst = 1)
{
  std::vector<RemoteRelay> relays;
  for (std::size_t i = 0; i < aRelays; ++i) {
    relays.push_back(RemoteRelay{ addressOf(aFirst + i), aZone, true });
  }
  return relays;
}

const Address kOwn{ "10.9.9.9", 7'000 };

TEST(StatusTargets, ASmallZoneIsSentToDirectly)
{
  const StatusTargets targets =
    chooseStatusTargets(kOwn, zoneOf(kMaxDirectPerZone, "b"));
  EXPECT_EQ(targets.direct.size(), kMaxDirectPerZone);
  EXPECT_TRUE(targets.forwarders.empty());
}

TEST(StatusTargets, ARelayThatDoesNotForwardIsSentToDirectly)
{
  // During a rolling restart some relays run a version that does not forward
  // and that no forwarder may be taken for.
  std::vector<RemoteRelay> relays = zoneOf(40, "b");
  for (std::size_t i = 0; i < relays.size(); i += 2) {
    relays[i].forwards = false;
  }
  const StatusTargets targets = chooseStatusTargets(kOwn, relays);
  EXPECT_EQ(targets.direct.size(), 20U);
  for (const Address& forwarder : targets.forwarders) {
    EXPECT_EQ(
      std::count(targets.direct.begin(), targets.direct.end(), forwarder), 0);
  }
}

RC_GTEST_PROP(StatusTargets, TheyDoNotGrowWithTheZones, ())
{
  const auto first = *rc::gen::inRange<std::size_t>(0, 2'000);
  const auto second = *rc::gen::inRange<std::size_t>(0, 2'000);
  std::vector<RemoteRelay> relays = zoneOf(first, "b");
  for (RemoteRelay& relay : zoneOf(second, "c", 10'000)) {
    relays.push_back(std::move(relay));
  }
  const StatusTargets targets = chooseStatusTargets(kOwn, relays);
  RC_ASSERT(targets.direct.size() + targets.forwarders.size() <=
            2 * kMaxDirectPerZone);
  // No zone is left out.
  std::set<Address> reached{ targets.direct.begin(), targets.direct.end() };
  reached.insert(targets.forwarders.begin(), targets.forwarders.end());
  const auto reaches = [&](const std::string& aZone) {
    return std::any_of(
      relays.begin(), relays.end(), [&](const RemoteRelay& aRelay) {
        return aRelay.zone == aZone && reached.contains(aRelay.address);
      });
  };
  RC_ASSERT(first == 0 || reaches("b"));
  RC_ASSERT(second == 0 || reaches("c"));
}

RC_GTEST_PROP(StatusTargets, OnlyTheLossOfAForwarderChangesTheChoice, ())
{
  const auto size = *rc::gen::inRange<std::size_t>(kMaxDirectPerZone + 2, 300);
  std::vector<RemoteRelay> relays = zoneOf(size, "b");
  const auto before = chooseStatusTargets(kOwn, relays).forwarders;
  RC_ASSERT(before.size() == kForwardersPerZone);
  const auto lost = *rc::gen::inRange<std::size_t>(0, size);
  const Address lostAddress = relays[lost].address;
  relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(lost));
  const auto after = chooseStatusTargets(kOwn, relays).forwarders;
  const std::set<Address> kept{ after.begin(), after.end() };
  for (const Address& forwarder : before) {
    RC_ASSERT(forwarder == lostAddress || kept.contains(forwarder));
  }
}

TEST(StatusTargets, TheRelaysOfAZoneForwardForAboutAsManySenders)
{
  const std::vector<RemoteRelay> relays = zoneOf(90, "b");
  std::map<Address, int> senders;
  constexpr std::size_t kSenders = 900;
  for (std::size_t i = 0; i < kSenders; ++i) {
    const Address sender = addressOf(20'000 + i);
    for (const Address& chosen :
         chooseStatusTargets(sender, relays).forwarders) {
      ++senders[chosen];
    }
  }
  // Twenty each in the mean.
  for (const auto& [relay, count] : senders) {
    EXPECT_LE(count, 40) << toText(relay);
  }
}

} // namespace
} // namespace poplartrack
