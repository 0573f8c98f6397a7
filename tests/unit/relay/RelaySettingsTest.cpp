#include "poplartrack/relay/RelaySettings.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

const std::string kText = R"([process]
name = "edge-1"
zone = "a"
region = "r"
[listen]
callers = "127.0.0.1:1"
health = "127.0.0.1:2"
peers = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[load]
account_shares = true
[bounds]
grace_s = 7.5
revoke_ms = 4000
strict_revoke = false
)";

TEST(RelaySettings, ParsesASettingsFile)
{
  const auto settings = parseRelaySettings("relay.toml", kText);
  ASSERT_TRUE(settings.ok()) << toText(settings.problems);
  EXPECT_EQ(settings.value.name, "edge-1");
  EXPECT_EQ(settings.value.peers.port, 3);
  EXPECT_EQ(settings.value.grace, std::chrono::milliseconds{ 7'500 });
  EXPECT_EQ(settings.value.revoke, std::chrono::seconds{ 4 });
  EXPECT_FALSE(settings.value.strictRevoke);
  EXPECT_TRUE(settings.value.load.accountShares);
  EXPECT_FALSE(settings.value.load.paceAdmission);
}

TEST(RelaySettings, ReportsEveryMistakeWithFileLineAndKey)
{
  std::string text = kText;
  text.replace(text.find("127.0.0.1:4"), 11, "nowhere");
  text += "retry_ratio = -1\nunknown = 5\n";
  const auto settings = parseRelaySettings("relay.toml", text);
  ASSERT_FALSE(settings.ok());
  const std::string problems = toText(settings.problems);
  EXPECT_NE(problems.find("relay.toml:10: store.address"), std::string::npos)
    << problems;
  EXPECT_NE(problems.find("bounds.retry_ratio"), std::string::npos);
  EXPECT_NE(problems.find("bounds.unknown"), std::string::npos);
}

} // namespace
} // namespace poplartrack
