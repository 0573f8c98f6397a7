#include "StatusSpread.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplartrack {
namespace {

using relaytest::SpreadOptions;
using relaytest::StatusSpread;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSettled = seconds{ 4 };

/** Expects that each relay hears each other one and knows its count. */
void
expectAllKnown(const StatusSpread& aFleet, std::size_t aRelays)
{
  for (std::size_t i = 0; i < aRelays; ++i) {
    for (std::size_t j = 0; j < aRelays; ++j) {
      if (i != j) {
        EXPECT_TRUE(aFleet.hears(i, j)) << i << ' ' << j;
        EXPECT_EQ(aFleet.known(i, j), aFleet.actual(j));
      }
    }
  }
}

RC_GTEST_PROP(StatusSpread, NoRequestIsCountedTwiceAndAllAreKnownInTheEnd, ())
{
  SpreadOptions options;
  options.relays = 36;
  options.zones = 3;
  options.loss = 0.15;
  options.duplicates = 0.2;
  options.maxDelay = milliseconds{ 300 };
  options.seed = *rc::gen::arbitrary<std::uint32_t>();
  StatusSpread fleet{ options };
  const auto relay = rc::gen::inRange<std::size_t>(0, options.relays);
  const auto faults = *rc::gen::inRange(1, 6);
  for (int fault = 0; fault < faults; ++fault) {
    const std::size_t down = *relay;
    const std::size_t cut = down % options.zones;
    fleet.setDown(down, true);
    fleet.setCut(cut, *rc::gen::arbitrary<bool>());
    for (int round = 0; round < 5; ++round) {
      fleet.change(*relay);
      fleet.run(milliseconds{ 200 });
      for (std::size_t i = 0; i < options.relays; ++i) {
        for (std::size_t j = 0; j < options.relays; ++j) {
          RC_ASSERT(fleet.known(i, j) <= fleet.actual(j));
        }
      }
    }
    fleet.setDown(down, false);
    fleet.setCut(cut, false);
  }
  // Long enough that no status is lost each time that it is repeated.
  fleet.run(3 * kSettled);
  for (std::size_t i = 0; i < options.relays; ++i) {
    for (std::size_t j = 0; j < options.relays; ++j) {
      RC_ASSERT(i == j || fleet.known(i, j) == fleet.actual(j));
    }
  }
}

TEST(StatusSpread, ALostForwarderDoesNotHideTheSendersOfItsZone)
{
  // A relay goes down that forwards for some senders. Its zone must hear of
  // them all the same, by their second forwarders.
  SpreadOptions options;
  options.relays = 60;
  options.zones = 3;
  StatusSpread fleet{ options };
  fleet.run(kSettled);
  expectAllKnown(fleet, options.relays);
  fleet.setDown(4, true);
  for (int i = 0; i < 20; ++i) {
    fleet.run(milliseconds{ 200 });
    for (std::size_t j = 0; j < options.relays; ++j) {
      EXPECT_TRUE(j == 4 || j == 1 || fleet.hears(1, j)) << j;
    }
  }
}

TEST(StatusSpread, MessagesBetweenZonesDoNotGrowWithTheFleet)
{
  std::vector<double> perRelay;
  for (const std::size_t relays : { 100U, 400U }) {
    SpreadOptions options;
    options.relays = relays;
    StatusSpread fleet{ options };
    fleet.run(kSettled);
    fleet.traffic = {};
    fleet.run(kSettled);
    perRelay.push_back(static_cast<double>(fleet.traffic.zoneMessages) /
                       static_cast<double>(relays));
  }
  EXPECT_DOUBLE_EQ(perRelay[0], perRelay[1]);
}

} // namespace
} // namespace poplartrack
