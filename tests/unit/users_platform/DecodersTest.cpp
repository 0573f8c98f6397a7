#include <limits>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "platform/Base64.h"
#include "platform/ConfigDecoder.h"
#include "platform/PathText.h"
#include "platform/ReplicaDecoder.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;

TEST(ConfigDecoder, ReadsRoutesServicesAndAccounts)
{
  const auto config = decodeConfig(R"({"Version":3,
    "Routes":[
      {"Name":"r1","Host":"Shop.example","Prefix":"/a/","Kind":"streaming",
       "TimeoutMs":20000,"SloMs":500,"GapAimMs":200,"Priority":1,
       "Service":"llm","Attempts":2,"Resumable":true},
      {"Name":"r2","Host":"shop.example","Prefix":"/a/b/",
       "Kind":"non_idempotent","TimeoutMs":1500,"Public":true,
       "Backends":[{"Service":"x","Weight":90},{"Service":"y","Weight":10}]}],
    "Services":[{"Name":"llm","MaxConns":9,"Engine":{"Slots":4,"Layers":80,
      "LayerMb":1750,"KvTokenBytes":459000,"step_ms":0.85,"read_per_s":252000,
      "Models":[{"Name":"m","LoadS":14.0}],
      "Kinds":[{"Name":"t4","Mb":14400,"pace":15,"ReadX":15}],
      "delays":[{"From":"b","Target":"a","delay_ms":0.25}]}}],
    "Limits":{"MaxHeaderBytes":100,"HeaderTimeoutMs":3000},
    "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":2}]})");
  ASSERT_TRUE(config) << describe(config.error());
  const RelayRoute* stream = config.value().routeFor("shop.example", "/a/x");
  ASSERT_NE(stream, nullptr);
  EXPECT_EQ(stream->rule, RetryRule::Stream);
  EXPECT_EQ(stream->maxPause, milliseconds{ 200 });
  EXPECT_TRUE(stream->resumable);
  const RelayRoute* longer = config.value().routeFor("shop.example", "/a/b/");
  ASSERT_NE(longer, nullptr);
  EXPECT_TRUE(longer->open);
  EXPECT_EQ(longer->targets.size(), 2U);
  EXPECT_EQ(longer->targets[0].weight, 90U);
  const EngineProfile& engine = *config.value().service("llm")->engine;
  EXPECT_EQ(engine.layers, 80U);
  EXPECT_EQ(engine.loadTime, std::chrono::seconds{ 14 });
  EXPECT_EQ(engine.kinds.at("t4").stepFactor, 15);
  EXPECT_EQ(engine.delays.count({ "a", "b" }), 1U);
  EXPECT_EQ(config.value().limits.headerBytes, 100U);
  const RelayAccount* account = config.value().accountFor("k2");
  ASSERT_NE(account, nullptr);
  EXPECT_EQ(account->priority, 2);
}

TEST(ConfigDecoder, TheErrorNamesWhatCannotBeUsed)
{
  EXPECT_EQ(decodeConfig("[]").error().kind, ErrorKind::Malformed);
  const auto unknown = decodeConfig(
    R"({"Version":1,"Routes":[{"Host":"h","Prefix":"/","Kind":"odd"}]})");
  ASSERT_FALSE(unknown);
  EXPECT_NE(unknown.error().detail.find("odd"), std::string::npos);
}

/** Guards against conversions of numbers that do not fit, whose results differ
 * between processors. */
TEST(ConfigDecoder, NumbersOutOfRangeAreCut)
{
  const auto config = decodeConfig(R"({"Version":1,
    "Routes":[{"Host":"h","Prefix":"/","Kind":"streaming","TimeoutMs":1e300,
      "SloMs":-1e300,"GapAimMs":1e18,"Priority":1e300,"Attempts":1e300,
      "Backends":[{"Service":"s","Weight":4294967297}]}],
    "Services":[{"Name":"s","Engine":{"Slots":4294967296,"Layers":4294967296,
      "Models":[{"LoadS":1e300}],
      "delays":[{"From":"a","Target":"b","delay_ms":1e300}]}}],
    "Limits":{"HeaderTimeoutMs":1e300,"IdleTimeoutMs":1e300},
    "Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":-1e300}]})");
  ASSERT_TRUE(config);
  const RelayRoute& route = *config.value().routeFor("h", "/");
  const EngineProfile& engine = *config.value().service("s")->engine;
  const Duration longest = std::chrono::hours{ 24 * 366 };
  for (const Duration duration : { route.timeout,
                                   route.objective,
                                   route.maxPause,
                                   engine.loadTime,
                                   engine.delays.begin()->second,
                                   config.value().limits.headerTimeout,
                                   config.value().limits.idleTimeout }) {
    EXPECT_GE(duration, Duration::zero());
    EXPECT_LE(duration, longest);
  }
  EXPECT_EQ(route.priority, std::numeric_limits<int>::max());
  EXPECT_GT(route.attempts, 1);
  EXPECT_EQ(route.targets[0].weight, std::numeric_limits<std::uint32_t>::max());
  EXPECT_EQ(engine.slots, std::numeric_limits<std::uint32_t>::max());
  EXPECT_EQ(engine.layers, 10'000U);
}

TEST(ReplicaDecoder, ReadsLayersFromAnObjectOrAnArray)
{
  const auto listed = decodeReplica(
    "i-1",
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a","Slots":4,
        "State":"draining","Kind":"t4","Sequence":3,
        "Layers":[{"From":5,"Target":9,"Version":2}]})");
  ASSERT_TRUE(listed);
  EXPECT_TRUE(listed.value().draining);
  EXPECT_EQ(listed.value().layers, (LayerRange{ 5, 9 }));
  EXPECT_EQ(listed.value().weights, 2);
  const auto plain =
    decodeReplica("i-1",
                  R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a",
        "Slots":4,"State":"ready",
        "Layers":{"From":5,"Target":9,"Version":2}})");
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain.value().layers, (LayerRange{ 5, 9 }));
  EXPECT_FALSE(plain.value().draining);
  const auto empty =
    decodeReplica("i-1",
                  R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a",
        "Slots":4,"State":"ready","Layers":null})");
  ASSERT_TRUE(empty);
  EXPECT_FALSE(empty.value().layers);
}

TEST(ReplicaDecoder, DistinguishesIncarnationsOfAnEndpoint)
{
  const auto at = [](const std::string& aStartedAtMs) {
    return decodeReplica("i-1",
                         R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a",
        "Slots":4,"State":"ready","born":)" +
                           aStartedAtMs + "}");
  };
  const auto before = at("1764734942123");
  const auto after = at("1764734950456");
  ASSERT_TRUE(before && after);
  EXPECT_NE(before.value().id, after.value().id);
  EXPECT_EQ(before.value().registeredAs, "i-1");
  EXPECT_EQ(after.value().registeredAs, "i-1");
  EXPECT_EQ(before.value().startedAtMs, 1'764'734'942'123U);
}

TEST(ReplicaDecoder, RejectsMalformedEntries)
{
  // Other processes write to the platform's list too. Guards against entries
  // with missing or wrong fields that are taken for ready replicas with default
  // values.
  const nlohmann::json good = nlohmann::json::parse(
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a","Slots":4,
        "State":"ready","Kind":"t4","Sequence":3,"born":1764734942123,
        "Layers":{"From":5,"Target":9,"Version":2}})");
  ASSERT_TRUE(decodeReplica("i-1", good.dump()));
  for (const char* name : { "Service", "Address", "Zone", "Slots", "State" }) {
    nlohmann::json lacking = good;
    lacking.erase(name);
    EXPECT_FALSE(decodeReplica("i-1", lacking.dump())) << name;
    for (const char* other : { "null", "[]", "{}", "true", "\"\"", "-1" }) {
      nlohmann::json odd = good;
      odd[name] = nlohmann::json::parse(other);
      EXPECT_FALSE(decodeReplica("i-1", odd.dump())) << name << " " << other;
    }
  }
  for (const char* change :
       { R"({"State":"retired"})",
         R"({"Address":"10.0.0.1:0"})",
         R"({"Slots":0})",
         R"({"Slots":1.5})",
         R"({"Slots":"4"})",
         R"({"born":"1764734942123"})",
         R"({"born":1764734942123.5})",
         R"({"born":-1})",
         R"({"born":true})",
         R"({"born":9223372036854775807})",
         R"({"born":18446744073709551615})",
         R"({"Layers":{"From":5,"Target":9,"Version":18446744073709551615}})",
         R"({"Layers":7})",
         R"({"Layers":"5-9"})",
         R"({"Layers":{"From":9,"Target":5,"Version":1}})",
         R"({"Layers":{"From":-1,"Target":5,"Version":1}})",
         R"({"Layers":{"From":0,"Target":1e300,"Version":1}})",
         R"({"Layers":{"From":0,"Target":4294967300,"Version":1}})",
         R"({"Kind":7})" }) {
    nlohmann::json odd = good;
    odd.merge_patch(nlohmann::json::parse(change));
    EXPECT_FALSE(decodeReplica("i-1", odd.dump())) << change;
  }
  for (const char* bytes : { "", "null", "[]", "\xff\xfe", "{\"Service\":" }) {
    EXPECT_FALSE(decodeReplica("i-1", bytes)) << bytes;
  }
}

/** Guards against requests whose head ends within the name of a replica. */
TEST(ReplicaDecoder, RejectsNamesThatNoHeaderCanCarry)
{
  constexpr std::string_view kEntry =
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a","Slots":4,
        "State":"ready"})";
  EXPECT_TRUE(decodeReplica("i-\xc3\xa9 \"\\", kEntry));
  for (const std::string_view name :
       { "", "i\r\n\r\nGET / HTTP/1.1", "i\n", "\ti", "i\x7f" }) {
    EXPECT_FALSE(decodeReplica(std::string{ name }, kEntry)) << name;
  }
  EXPECT_FALSE(decodeReplica(std::string(1, '\0'), kEntry));
}

// Guards against names that cannot be written as JSON.
TEST(ReplicaDecoder, RejectsNamesThatAreNoUtf8)
{
  constexpr std::string_view kEntry =
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a","Slots":4,
        "State":"ready"})";
  for (const std::string_view name : { "i\xFF", "\xC3(", "\xED\xA0\x80" }) {
    EXPECT_FALSE(decodeReplica(std::string{ name }, kEntry));
  }
}

TEST(ReplicaDecoder, RejectsAnEntryWithoutAnAddress)
{
  EXPECT_FALSE(decodeReplica("i-1", R"({"Service":"s"})"));
  EXPECT_FALSE(decodeReplica("i-1", "no JSON"));
}

TEST(ReplicaDecoder, ReadsWhatStalledRequestsAreBlockedOn)
{
  const auto report = decodeReport(
    R"({"pace":2.5,"Stalled":[{"Id":"r1","Address":"10.0.0.2:80"},
                              {"Id":"r2","Address":"nonsense"}]})");
  ASSERT_TRUE(report);
  EXPECT_EQ(report.value().slowdown, 2.5);
  ASSERT_EQ(report.value().stalled.size(), 1U);
  EXPECT_EQ(report.value().stalled[0].requestId, "r1");
}

/** Guards against a status report that makes a running replica look restarted,
 * or its work endless. */
TEST(ReplicaDecoder, OddNumbersOfAReportAreIgnored)
{
  const auto report =
    decodeReport(R"({"pace":1e308,"born":9223372036854775807})");
  ASSERT_TRUE(report);
  EXPECT_LE(report.value().slowdown, 1'000);
  EXPECT_EQ(report.value().startedAtMs, 0U);
  EXPECT_FALSE(decodeReport(R"({"pace":1e999})"));
}

TEST(PathText, FormatsEachPartWithItsLayers)
{
  LayerPath path;
  path.parts = { { "a", { "10.0.0.1", 80 }, { 0, 20 } },
                 { "b", { "10.0.0.2", 81 }, { 20, 80 } } };
  EXPECT_EQ(pathText(path), "10.0.0.1:80=0-20,10.0.0.2:81=20-80");
}

TEST(Base64, DecodesWhatItEncoded)
{
  for (const std::string text : { "", "a", "ab", "abc", "abcd" }) {
    EXPECT_EQ(fromBase64(toBase64(text)), text);
  }
  EXPECT_FALSE(fromBase64("abc"));
  EXPECT_FALSE(fromBase64("a?c="));
}

} // namespace
} // namespace poplartrack
