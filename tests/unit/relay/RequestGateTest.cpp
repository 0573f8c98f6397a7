#include "poplartrack/relay/RequestGate.h"

#include <gtest/gtest.h>

namespace poplartrack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RelayRoute
routeTo(const std::string& aPrefix, const std::string& aName)
{
  RelayRoute route;
  route.name = aName;
  route.host = "shop.example";
  route.prefix = aPrefix;
  route.timeout = seconds{ 20 };
  return route;
}

class RequestGateTest : public ::testing::Test
{
protected:
  RequestGateTest()
  {
    auto& routes = this->config.routes["shop.example"];
    routes.push_back(routeTo("/a/", "short"));
    routes.push_back(routeTo("/a/b/", "long"));
    routes.push_back(routeTo("/open/", "open"));
    routes.back().open = true;
    this->config.accounts.push_back(RelayAccount{ "shop", std::nullopt });
    this->config.keys.emplace("secret", 0);
    this->config.sortRoutes();
  }

  std::variant<AdmittedRequest, Error> decide(std::string_view aTarget,
                                              const std::string& aKey,
                                              Duration aAge = milliseconds{
                                                100 })
  {
    // The latest poll of the store failed.
    return admitRequest(&this->config,
                        ConfigProof{ aAge, true },
                        GatePolicy{},
                        { "Shop.Example:80", aTarget, aKey, std::nullopt });
  }
  ErrorKind errorOf(std::variant<AdmittedRequest, Error> aVerdict)
  {
    const Error* error = std::get_if<Error>(&aVerdict);
    return error == nullptr ? ErrorKind::Internal : error->kind;
  }

  RelayConfig config;
};

TEST_F(RequestGateTest, TheLongestPrefixWinsRegardlessOfTheQuery)
{
  const auto verdict = this->decide("/a/b/c?x=/a/", "secret");
  ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(verdict));
  EXPECT_EQ(std::get<AdmittedRequest>(verdict).route->name, "long");
  EXPECT_EQ(std::get<AdmittedRequest>(verdict).account->name, "shop");
}

TEST_F(RequestGateTest, OpenRoutesNeedNeitherKeyNorFreshConfiguration)
{
  EXPECT_TRUE(std::holds_alternative<AdmittedRequest>(
    this->decide("/open/x", "", seconds{ 60 })));
}

TEST_F(RequestGateTest, RoutesThatRequireAKeyNeedAFreshConfiguration)
{
  EXPECT_EQ(this->errorOf(this->decide("/a/x", "secret", seconds{ 5 })),
            ErrorKind::NoConfiguration);
}

TEST_F(RequestGateTest, DeniesOnlyUnderAFreshConfiguration)
{
  EXPECT_EQ(this->errorOf(this->decide("/none/", "secret")),
            ErrorKind::NotFound);
  EXPECT_EQ(this->errorOf(this->decide("/a/", "wrong")),
            ErrorKind::Unauthorized);
  EXPECT_EQ(this->errorOf(this->decide("/none/", "secret", seconds{ 9 })),
            ErrorKind::NoConfiguration);
  EXPECT_EQ(this->errorOf(this->decide("/a/", "wrong", seconds{ 9 })),
            ErrorKind::NoConfiguration);
}

TEST_F(RequestGateTest, AHangingPollDoesNotExtendTheUseOfAnOldConfiguration)
{
  // A relay's connection to the store falls silent, and its poll hangs without
  // an error while the operator revokes a key. A request with this key that
  // comes 2.5 s later must be rejected, since a new configuration has to be in
  // force within 2 s. When the poll fails instead, the longer bound on revoked
  // keys applies.
  const ConfigProof hangs{ milliseconds{ 2'500 }, false };
  const ConfigProof fails{ milliseconds{ 2'500 }, true };
  for (const char* target : { "/a/x", "/open/x" }) {
    const GateRequest asked{ "shop.example", target, "secret", std::nullopt };
    EXPECT_EQ(
      this->errorOf(admitRequest(&this->config, hangs, GatePolicy{}, asked)),
      ErrorKind::NoConfiguration);
    EXPECT_TRUE(std::holds_alternative<AdmittedRequest>(
      admitRequest(&this->config, fails, GatePolicy{}, asked)));
  }
}

// Guards against bodies over the limit that a relay receives before it knows
// the configuration.
TEST_F(RequestGateTest, ABodyThatNoLimitHeldForIsHeldAgainstTheConfiguration)
{
  this->config.limits.bodyBytes = 8;
  GateRequest asked{ "shop.example", "/a/", "secret", std::nullopt, 8 };
  const ConfigProof proof{ milliseconds{ 1 }, false };
  EXPECT_TRUE(std::holds_alternative<AdmittedRequest>(
    admitRequest(&this->config, proof, GatePolicy{}, asked)));
  asked.unlimitedBody = 9;
  EXPECT_EQ(
    this->errorOf(admitRequest(&this->config, proof, GatePolicy{}, asked)),
    ErrorKind::TooLarge);
}

TEST_F(RequestGateTest, TheCallersDeadlineBoundsTheTimeout)
{
  const auto verdict =
    admitRequest(&this->config,
                 ConfigProof{ milliseconds{ 1 }, false },
                 GatePolicy{},
                 { "shop.example", "/a/", "secret", seconds{ 3 } });
  EXPECT_EQ(std::get<AdmittedRequest>(verdict).timeout, seconds{ 3 });
}

} // namespace
} // namespace poplartrack
