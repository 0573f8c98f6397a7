#include "poplartrack/fleet/VersionHolders.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

const Address kFirst{ "10.0.0.1", 1 };
const Address kSecond{ "10.0.0.2", 1 };

TEST(VersionHolders, NamesTheRelaysThatHaveTheNewestVersion)
{
  VersionHolders holders;
  holders.report(3, kFirst);
  holders.report(5, kSecond);
  holders.report(5, kSecond);
  holders.report(4, kFirst);
  EXPECT_EQ(holders.newerThan(4), std::vector<Address>{ kSecond });
  EXPECT_TRUE(holders.newerThan(5).empty());
}

TEST(VersionHolders, ForgetsARelayThatDoesNotAnswer)
{
  VersionHolders holders;
  holders.report(5, kFirst);
  holders.report(5, kSecond);
  holders.forget(kFirst);
  EXPECT_EQ(holders.newerThan(0), std::vector<Address>{ kSecond });
}

TEST(VersionHolders, KeepsFewOfALargeFleet)
{
  VersionHolders holders;
  for (std::uint16_t port = 1; port <= 1'000; ++port) {
    holders.report(5, Address{ "10.0.0.1", port });
  }
  EXPECT_LE(holders.newerThan(0).size(), 8U);
}

} // namespace
} // namespace poplartrack
