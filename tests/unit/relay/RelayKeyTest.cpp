// Which keys a relay accepts while the operator takes them away and puts them
// back.

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

class RelayKeyTest : public RelayFixture
{
protected:
  /** Puts a configuration in force that differs as told from the last one. */
  void changeConfig(const std::function<void(RelayConfig&)>& aChange)
  {
    auto next = std::make_shared<RelayConfig>(*this->world.config);
    ++next->version;
    aChange(*next);
    this->world.config = next;
    this->world.publishConfig();
  }
  void takeKeysAway()
  {
    this->changeConfig([](RelayConfig& aConfig) { aConfig.keys.clear(); });
  }
  void putKeysBack()
  {
    this->changeConfig(
      [](RelayConfig& aConfig) { aConfig.keys.emplace("secret", 0); });
  }
  /** Returns a request with this key, or without one if it is empty. */
  static std::string requestWith(const std::string& aKey)
  {
    return "POST /again/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\n" +
           (aKey.empty() ? "" : "X-Key: " + aKey + "\r\n") +
           "Content-Length: 0\r\n\r\n";
  }
  /** Sends a request whose answer ends its head with a body. */
  static std::string statusOf(RawSocket& aCaller, const std::string& aKey)
  {
    aCaller.send(requestWith(aKey));
    const std::string answer = aCaller.readUntil("}\n");
    return answer.substr(0, answer.find("\r\n"));
  }
  /** Expects that a request on this connection is served. */
  void expectServed(RawSocket& aCaller)
  {
    aCaller.send(requestWith("secret"));
    RawSocket attempt = this->nextAttempt();
    attempt.send(RelayWorld::answer(
      "id-1", "whole", "200 OK", "X-Stamp: s\r\nConnection: close\r\n"));
    EXPECT_TRUE(has(aCaller.readUntil("whole"), "200 OK"));
  }
};

// Guards against requests that run, on kept and on new connections, once the
// last key is revoked.
TEST_F(RelayKeyTest, NothingRunsOnceTheLastKeyIsTakenAway)
{
  this->startWith("plain", { "one" });
  RawSocket kept = this->world.caller();
  this->expectServed(kept);
  this->takeKeysAway();
  for (const char* key : { "secret", "unknown", "" }) {
    RawSocket fresh = this->world.caller();
    EXPECT_EQ(statusOf(kept, key), "HTTP/1.1 401 Unauthorized") << key;
    EXPECT_EQ(statusOf(fresh, key), "HTTP/1.1 401 Unauthorized") << key;
  }
  this->putKeysBack();
  RawSocket fresh = this->world.caller();
  this->expectServed(kept);
  this->expectServed(fresh);
}

// Guards against a relay that is cut off while no key is left, and serves on.
TEST_F(RelayKeyTest, ARelayThatIsCutOffWithoutAKeyStopsServing)
{
  this->world.revoke = std::chrono::seconds{ 5 };
  this->world.config->keys.clear();
  this->world.addReplica("one", "plain", this->one.address());
  this->world.shared.configPollFailed = true;
  this->world.start(std::chrono::seconds{ 60 });
  RawSocket asking = this->world.caller();
  EXPECT_EQ(statusOf(asking, "secret"), "HTTP/1.1 503 Service Unavailable");
}

// Guards against a key with no characters that stands for a missing one.
TEST_F(RelayKeyTest, ARequestWithoutAKeyIsNoAccounts)
{
  this->world.config->keys.emplace("", 0);
  this->startWith("plain", { "one" });
  RawSocket asking = this->world.caller();
  EXPECT_EQ(statusOf(asking, ""), "HTTP/1.1 401 Unauthorized");
}

} // namespace
} // namespace poplartrack
