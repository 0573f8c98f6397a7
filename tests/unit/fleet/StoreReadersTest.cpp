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

/** Whether one of some relays looks, when it hears all others. */
bool
pollersAmong(std::vector<StoreReader> aRelays, std::size_t aOwn)
{
  const StoreReader own = aRelays[aOwn];
  aRelays.erase(aRelays.begin() + static_cast<std::ptrdiff_t>(aOwn));
  return shouldPoll(own, aRelays);
}

TEST(StoreReaders, TwoOfEachZoneLook)
{
  std::vector<StoreReader> relays;
  for (std::uint16_t i = 0; i < 20; ++i) {
    relays.push_back(relay(i, i % 2 == 0 ? "a" : "b"));
  }
  for (std::size_t i = 0; i < relays.size(); ++i) {
    EXPECT_EQ(pollersAmong(relays, i), i < 4) << i;
  }
}

TEST(StoreReaders, ARelayThatHearsNobodyLooks)
{
  EXPECT_TRUE(shouldPoll(relay(9, "a"), {}));
}

TEST(StoreReaders, OneThatTheStoreTurnsAwayIsReplaced)
{
  // The store turns the first relay of a zone away and serves the others. The
  // third looks in its place, and the first does not ask again.
  std::vector<StoreReader> relays{ relay(1, "a"),
                                   relay(2, "a"),
                                   relay(3, "a") };
  relays[0].pollsFail = true;
  EXPECT_FALSE(pollersAmong(relays, 0));
  EXPECT_TRUE(pollersAmong(relays, 1));
  EXPECT_TRUE(pollersAmong(relays, 2));
  EXPECT_FALSE(storeIsUnavailable(relays));
}

TEST(StoreReaders, WhileTheStoreIsAwayForAllTheFirstOfAZoneGoOn)
{
  // Its return has to be noticed, but not by each relay.
  std::vector<StoreReader> relays;
  for (std::uint16_t i = 0; i < 5; ++i) {
    relays.push_back(relay(i, "a"));
    relays.back().pollsFail = i < 2;
    relays.back().polls = i < 2;
  }
  EXPECT_TRUE(storeIsUnavailable(relays));
  EXPECT_TRUE(pollersAmong(relays, 0));
  EXPECT_TRUE(pollersAmong(relays, 1));
  EXPECT_FALSE(pollersAmong(relays, 2));
  EXPECT_FALSE(storeIsUnavailable({}));
}

RC_GTEST_PROP(StoreReaders,
              SomebodyLooksWhateverFails,
              (const std::vector<std::uint8_t>& aDraws))
{
  // Relays decide one after the other, each by the others' last word.
  RC_PRE(!aDraws.empty());
  std::vector<StoreReader> relays;
  for (const std::uint8_t draw : aDraws) {
    relays.push_back(relay(static_cast<std::uint16_t>(relays.size()),
                           draw % 2 == 0 ? "a" : "b"));
    relays.back().pollsFail = draw % 3 == 0;
    relays.back().polls = draw % 5 != 0;
  }
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < relays.size(); ++i) {
      relays[i].polls = pollersAmong(relays, i);
    }
  }
  RC_ASSERT(std::any_of(relays.begin(),
                        relays.end(),
                        [](const StoreReader& aOne) { return aOne.polls; }));
}

} // namespace
} // namespace poplartrack
