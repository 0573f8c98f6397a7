#include "poplartrack/fleet/StoreReaders.h"

#include <vector>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

StoreReader
relay(std::uint16_t aPort, const std::string& aZone)
{
  return StoreReader{ { "10.0.0.1", aPort }, aZone, true, false };
}

/** Returns whether one of some relays polls when it knows all the others. */
bool
pollsAmong(std::vector<StoreReader> aRelays, std::size_t aOwn)
{
  const StoreReader own = aRelays[aOwn];
  aRelays.erase(aRelays.begin() + static_cast<std::ptrdiff_t>(aOwn));
  return shouldPoll(own, aRelays);
}

TEST(StoreReaders, TwoRelaysOfEachZonePoll)
{
  std::vector<StoreReader> relays;
  for (std::uint16_t i = 0; i < 20; ++i) {
    relays.push_back(relay(i, i % 2 == 0 ? "a" : "b"));
  }
  for (std::size_t i = 0; i < relays.size(); ++i) {
    EXPECT_EQ(pollsAmong(relays, i), i < 4) << i;
  }
}

TEST(StoreReaders, TheRelaysWithTheFastestLinksPoll)
{
  // A store reader sends each change of the replica list to all relays of its
  // zone. On a slow link most of that is dropped, and each relay then reads the
  // whole list. The link rates decide, whatever the addresses.
  std::vector<StoreReader> relays;
  for (std::uint16_t i = 0; i < 90; ++i) {
    relays.push_back(relay(i, "a"));
    relays.back().linkMbps = i % 30 == 7 ? 1'000 : 20;
  }
  for (std::size_t i = 0; i < relays.size(); ++i) {
    EXPECT_EQ(pollsAmong(relays, i), i == 7 || i == 37) << i;
  }
}

TEST(StoreReaders, ARelayWithoutPeersPolls)
{
  EXPECT_TRUE(shouldPoll(relay(9, "a"), {}));
}

TEST(StoreReaders, ARelayThatTheStoreRejectsIsReplaced)
{
  // The store rejects the first relay of a zone and serves the others. The
  // third relay polls in its place, and the first does not poll again.
  std::vector<StoreReader> relays{ relay(1, "a"),
                                   relay(2, "a"),
                                   relay(3, "a") };
  relays[0].pollsFail = true;
  EXPECT_FALSE(pollsAmong(relays, 0));
  EXPECT_TRUE(pollsAmong(relays, 1));
  EXPECT_TRUE(pollsAmong(relays, 2));
  EXPECT_FALSE(storeIsUnavailable(relays));
}

TEST(StoreReaders, TheFirstRelaysOfAZoneKeepPollingWhileTheStoreIsUnavailable)
{
  // Some relays must notice when the store is available again, but not all need
  // to poll for it.
  std::vector<StoreReader> relays;
  for (std::uint16_t i = 0; i < 5; ++i) {
    relays.push_back(relay(i, "a"));
    relays.back().pollsFail = i < 2;
    relays.back().polls = i < 2;
  }
  EXPECT_TRUE(storeIsUnavailable(relays));
  EXPECT_TRUE(pollsAmong(relays, 0));
  EXPECT_TRUE(pollsAmong(relays, 1));
  EXPECT_FALSE(pollsAmong(relays, 2));
  EXPECT_FALSE(storeIsUnavailable({}));
}

RC_GTEST_PROP(StoreReaders,
              SomeRelayPollsWhateverFails,
              (const std::vector<std::uint8_t>& aRandoms))
{
  // Relays decide one after the other, each by the latest status of the others.
  RC_PRE(!aRandoms.empty());
  std::vector<StoreReader> relays;
  for (const std::uint8_t random : aRandoms) {
    relays.push_back(relay(static_cast<std::uint16_t>(relays.size()),
                           random % 2 == 0 ? "a" : "b"));
    relays.back().pollsFail = random % 3 == 0;
    relays.back().polls = random % 5 != 0;
  }
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < relays.size(); ++i) {
      relays[i].polls = pollsAmong(relays, i);
    }
  }
  RC_ASSERT(std::any_of(relays.begin(),
                        relays.end(),
                        [](const StoreReader& aOne) { return aOne.polls; }));
}

} // namespace
} // namespace poplartrack
