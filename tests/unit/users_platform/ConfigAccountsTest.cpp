// What the "Tenants" of a configuration let in: the decoder and the gate
// together, as a relay uses them.

#include <gtest/gtest.h>

#include "platform/ConfigDecoder.h"
#include "poplartrack/relay/RequestGate.h"

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Returns a configuration with a route that needs a key, if any does, and an
 * open one; aTenants is that member with a comma before it. */
RelayConfig
configWith(const std::string& aTenants)
{
  auto config = decodeConfig(R"({"Version":1,"Routes":[
    {"Name":"r","Host":"h","Prefix":"/a/","Kind":"idempotent","Service":"s"},
    {"Name":"o","Host":"h","Prefix":"/open/","Kind":"idempotent",
     "Service":"s","Public":true}]})");
  const std::string text = config.value().text;
  config = decodeConfig(text.substr(0, text.size() - 1) + aTenants + "}");
  EXPECT_TRUE(config) << aTenants;
  return std::move(config).value();
}

/** Returns why the gate refuses a request; nullopt if it admits it. */
std::optional<ErrorKind>
refusalOf(const RelayConfig& aConfig,
          const std::string& aKey,
          const char* aTarget = "/a/x",
          Duration aAge = milliseconds{ 100 },
          bool aStoreFails = false)
{
  const auto decision = admitRequest(&aConfig,
                                     ConfigProof{ aAge, aStoreFails },
                                     GatePolicy{},
                                     { "h", aTarget, aKey, std::nullopt });
  const Error* error = std::get_if<Error>(&decision);
  return error == nullptr ? std::nullopt : std::optional{ error->kind };
}

// Guards against open doors once the last key is revoked.
TEST(ConfigAccounts, WithoutKeysNobodyIsLetIn)
{
  for (const char* tenants : { R"(,"Tenants":[])",
                               R"(,"Tenants":[{"Name":"t"}])",
                               R"(,"Tenants":[{"Name":"t","ApiKeys":[]}])" }) {
    const RelayConfig config = configWith(tenants);
    for (const char* key : { "", "revoked", "unknown" }) {
      EXPECT_EQ(refusalOf(config, key), ErrorKind::Unauthorized)
        << tenants << key;
    }
    EXPECT_EQ(refusalOf(config, "", "/open/x"), std::nullopt) << tenants;
  }
}

// Guards against relays that are cut off and serve on while no key is left.
TEST(ConfigAccounts, WithoutKeysTheAgeOfTheProofIsBounded)
{
  const RelayConfig config = configWith(R"(,"Tenants":[])");
  EXPECT_EQ(refusalOf(config, "revoked", "/a/x", seconds{ 60 }, true),
            ErrorKind::NoConfiguration);
}

// Guards against keys that are asked for where the operator declares no
// accounts.
TEST(ConfigAccounts, WithoutTheMemberNoKeyIsNeeded)
{
  const RelayConfig config = configWith("");
  for (const char* key : { "", "any" }) {
    EXPECT_EQ(refusalOf(config, key), std::nullopt);
    EXPECT_EQ(refusalOf(config, key, "/a/x", seconds{ 60 }, true),
              std::nullopt);
  }
}

// Guards against a request without a key that runs as an account.
TEST(ConfigAccounts, AnEmptyKeyLetsNobodyIn)
{
  const RelayConfig config =
    configWith(R"(,"Tenants":[{"Name":"t","ApiKeys":["","good"]}])");
  EXPECT_EQ(refusalOf(config, ""), ErrorKind::Unauthorized);
  EXPECT_EQ(refusalOf(config, "good"), std::nullopt);
}

// Guards against open doors, and against valid keys that are called wrong,
// where accounts or keys cannot be read.
TEST(ConfigAccounts, WhatCannotBeReadLetsNobodyInAndDeniesNobody)
{
  for (const char* tenants :
       { R"(,"Tenants":null)",
         R"(,"Tenants":{})",
         R"(,"Tenants":"none")",
         R"(,"Tenants":[5])",
         R"(,"Tenants":[{"ApiKeys":["key"]}])",
         R"(,"Tenants":[{"Name":5,"ApiKeys":["key"]}])",
         R"(,"Tenants":[{"Name":"a\r\nb: c","ApiKeys":["key"]}])",
         R"(,"Tenants":[{"Name":"t","ApiKeys":null}])",
         R"(,"Tenants":[{"Name":"t","ApiKeys":"key"}])",
         R"(,"Tenants":[{"Name":"t","ApiKeys":{"key":1}}])",
         R"(,"Tenants":[{"Name":"t","ApiKeys":[5,null,["key"]]}])" }) {
    const RelayConfig config = configWith(tenants);
    for (const char* key : { "", "key", "unknown" }) {
      EXPECT_EQ(refusalOf(config, key), ErrorKind::NoConfiguration)
        << tenants << key;
    }
    EXPECT_EQ(refusalOf(config, "", "/open/x"), std::nullopt) << tenants;
  }
}

// Guards against one odd account that costs the others their access.
TEST(ConfigAccounts, AnOddAccountAffectsNoOther)
{
  const RelayConfig config = configWith(
    R"(,"Tenants":[7,{"Name":"t","ApiKeys":[1,"good"]},{"ApiKeys":["x"]}])");
  EXPECT_EQ(refusalOf(config, "good"), std::nullopt);
  EXPECT_EQ(config.accountFor("good")->name, "t");
  EXPECT_EQ(refusalOf(config, "x"), ErrorKind::NoConfiguration);
}

// Guards against routes and backends that cannot be read and count as none: a
// shorter prefix or another service would take their requests.
TEST(ConfigAccounts, ListsOfAnotherTypeAreNotTakenForNone)
{
  EXPECT_FALSE(decodeConfig(R"({"Version":1,"Routes":{"a":1}})"));
  EXPECT_FALSE(decodeConfig(R"({"Version":1,"Routes":null})"));
  EXPECT_FALSE(decodeConfig(R"({"Version":1,"Routes":[{"Host":"h",
    "Prefix":"/","Kind":"idempotent","Service":"s","Backends":{"a":1}}]})"));
  EXPECT_TRUE(decodeConfig(R"({"Version":1})"));
}

} // namespace
} // namespace poplartrack
