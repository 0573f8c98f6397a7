#include "poplartrack/config/ProcessSettings.h"

#include <gtest/gtest.h>

#include "poplartrack/config/SecretHash.h"

namespace poplartrack {
namespace {

constexpr std::string_view kCommon = R"([process]
name = "entry-1"
zone = "oslo-a"
region = "oslo"
[platform]
address = "127.0.0.1:9000"
)";

TEST(ProcessSettings, anEntryReadsItsZonePeersAndTuning)
{
  const auto loaded = parseProcessSettings(
    "entry.toml",
    std::string{ kCommon } +
      "[peers]\nentries = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"
      "[tuning]\nconfig_poll_ms = 500\n",
    ProcessRole::Entry);
  ASSERT_TRUE(loaded.ok()) << toText(loaded.problems);
  EXPECT_EQ(loaded.value.zone, "oslo-a");
  EXPECT_EQ(loaded.value.peerEntries.size(), 2U);
  EXPECT_EQ(loaded.value.tuning.configPoll, std::chrono::milliseconds{ 500 });
  EXPECT_EQ(toText(loaded.value.callers), "127.0.0.1:0");
}

TEST(ProcessSettings, aSideNeedsItsEndpoint)
{
  const auto loaded = parseProcessSettings(
    "side.toml",
    std::string{ kCommon } + "[endpoint]\nkind = \"robot\"\n[listen]\n"
                             "callers = \"127.0.0.1:80\"\n",
    ProcessRole::Side);
  EXPECT_EQ(toText(loaded.problems),
            "side.toml:7: endpoint.address: is missing; write an address "
            "\"A.B.C.D:PORT\"\n"
            "side.toml:7: endpoint.name: is missing; write a name (letters, "
            "digits, '-', '_', '.', at most 64)\n"
            "side.toml:8: endpoint.kind: impossible value \"robot\"; write "
            "one of engine, service\n"
            "side.toml:10: listen.callers: unknown key; known here: metrics, "
            "wire\n");
}

TEST(ProcessSettings, aMissingFileIsAProblem)
{
  EXPECT_FALSE(loadProcessSettings("no-such.toml", ProcessRole::Side).ok());
}

TEST(SecretHash, isLowerCaseHexSha256)
{
  const std::string hash =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  EXPECT_EQ(sha256Hex("abc"), hash);
  EXPECT_TRUE(secretMatches("abc", hash));
  EXPECT_FALSE(secretMatches("abd", hash));
  EXPECT_FALSE(secretMatches("abc", hash.substr(1)));
}

} // namespace
} // namespace poplartrack
