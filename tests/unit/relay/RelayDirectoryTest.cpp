#include "poplartrack/relay/RelayDirectory.h"

#include <string>

#include <gtest/gtest.h>

#include "poplartrack/store/StoreVersion.h"
#include "unit/relay/FleetStart.h"

namespace poplartrack {
namespace {

using namespace relaytest;

TEST(RelayDirectory, ARelayKnowsAllOthersOfALargeRegion)
{
  // With 370 relays and a limit of 64 listed ones, the relays beyond the limit
  // receive no status messages from each other. Each then uses the whole slack
  // of the retry budget, and together they exceed the bound on attempts. The
  // rows are those of relays of the older format, in a rolling restart.
  RelayRows rows;
  for (int i = 0; i < 370; ++i) {
    rows.addOldRow(1'000 + i);
  }
  DirectoryRelay relay{ rows, 0, "a" };
  relay.directory.refresh(rows.now);
  EXPECT_EQ(relay.shared.peers.read()->size(), 369U);
}

TEST(RelayDirectory, ASmallZoneHasEachOfItsRelaysAsAContact)
{
  RelayRows rows;
  DirectoryRelay first{ rows, 1, "a" };
  DirectoryRelay second{ rows, 2, "a" };
  first.directory.refresh(rows.now);
  rows.now += seconds{ 1 };
  second.directory.refresh(rows.now);
  rows.now += seconds{ 1 };
  first.directory.refresh(rows.now);
  EXPECT_TRUE(first.directory.isContact());
  EXPECT_TRUE(second.directory.isContact());
  EXPECT_EQ(first.directory.contacts(),
            std::vector<Address>{ second.settings.peers });
  EXPECT_EQ(second.directory.contacts(),
            std::vector<Address>{ first.settings.peers });
}

TEST(RelayDirectory, ALargeFleetTakesFewCallsOfTheStoreToStart)
{
  // All relays start at once. If each writes a row and reads those of all, the
  // store serves writes as many as there are relays, and rows as many as their
  // square. Both must not depend on the size of the fleet.
  for (const int size : { 437, 2'000 }) {
    FleetStart fleet{ size };
    fleet.run(seconds{ 4 });
    constexpr std::size_t kMaxContacts = 20;
    EXPECT_LE(fleet.rows.size(), FleetStart::kZones * kMaxContacts);
    EXPECT_GE(fleet.rows.size(), FleetStart::kZones * std::size_t{ 4 });
    const std::size_t maxCalls = std::size_t{ 3 } * fleet.relays.size();
    EXPECT_LE(fleet.rows.reads + fleet.rows.writes, maxCalls);
    EXPECT_LE(fleet.rows.rowsRead,
              maxCalls * FleetStart::kZones * kMaxContacts);
  }
}

TEST(RelayDirectory, ContactsHaveFastLinks)
{
  // A contact sends its state to each relay that starts. On a slow link, those
  // that start with it would wait for each other.
  FleetStart fleet{ 437 };
  fleet.run(seconds{ 4 });
  for (const auto& relay : fleet.relays) {
    if (relay->directory.isContact()) {
      EXPECT_EQ(relay->settings.linkMbps, 1'000);
    }
  }
}

TEST(RelayDirectory, ARestartedContactIsOneWithoutAWrite)
{
  RelayRows rows;
  rows.addRow("r/a/1", "10.0.0.1:1001");
  DirectoryRelay relay{ rows, 1, "a" };
  relay.directory.refresh(rows.now);
  EXPECT_TRUE(relay.directory.isContact());
  EXPECT_EQ(rows.writes, 0U);
}

TEST(RelayDirectory, AContactAtANewAddressReplacesItsRow)
{
  // The instance was replaced and has another address. Under its old row, the
  // others would ask an address that nobody has.
  RelayRows rows;
  rows.addRow("r/a/1", "10.9.9.9:1001");
  DirectoryRelay relay{ rows, 1, "a" };
  relay.directory.refresh(rows.now);
  EXPECT_TRUE(relay.directory.isContact());
  EXPECT_EQ(rows.writes, 1U);
  EXPECT_EQ(rows.size(), 1U);
}

TEST(RelayDirectory, SilentContactsAreReplaced)
{
  // All contacts of the zone were removed for good. Without a new one, each
  // relay that starts would wait for them first.
  RelayRows rows;
  for (const char* name : { "3", "4", "5", "6" }) {
    rows.addRow(std::string{ "r/a/" } + name,
                std::string{ "10.9.9.9:100" } + name);
  }
  DirectoryRelay relay{ rows, 1, "a" };
  relay.directory.refresh(rows.now);
  EXPECT_FALSE(relay.directory.isContact());
  relay.directory.replaceContacts();
  relay.directory.refresh(rows.now);
  EXPECT_TRUE(relay.directory.isContact());
}

TEST(RelayDirectory, AnUnavailableStoreIsNotCalledInEachRound)
{
  RelayRows rows;
  rows.fails = true;
  DirectoryRelay relay{ rows, 1, "a" };
  for (int i = 0; i < 8; ++i) {
    relay.directory.refresh(rows.now);
    rows.now += milliseconds{ 250 };
  }
  EXPECT_EQ(rows.reads, 2U);
}

TEST(RelayDirectory, AContactWritesItsRowAgainWhenARestoredStoreLacksIt)
{
  RelayRows rows;
  DirectoryRelay relay{ rows, 1, "a" };
  relay.shared.listVersion = storeVersion(0, 9);
  relay.directory.refresh(rows.now);
  rows.now += seconds{ 2 };
  relay.directory.refresh(rows.now);
  ASSERT_EQ(rows.size(), 1U);
  rows.clear();
  relay.shared.listVersion = storeVersion(1, 5);
  rows.now += milliseconds{ 250 };
  relay.directory.refresh(rows.now);
  EXPECT_EQ(rows.size(), 1U);
}

} // namespace
} // namespace poplartrack
