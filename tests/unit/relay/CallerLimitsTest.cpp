// Which limits hold for a request while the operator changes them.

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

constexpr std::size_t kSmall = 8;
constexpr std::size_t kLarge = 64;

class CallerLimitsTest : public RelayFixture
{
protected:
  /** Puts a configuration with this limit on bodies in force. */
  void limitBodies(std::size_t aBytes)
  {
    auto next = std::make_shared<RelayConfig>(*this->world.config);
    ++next->version;
    next->limits.bodyBytes = aBytes;
    this->world.config = next;
    this->world.publishConfig();
  }
  /** Expects that a request with a body of this size is served. */
  void expectServed(RawSocket& aCaller, std::size_t aBodyBytes)
  {
    aCaller.send(RelayWorld::request(
      "/again/x", "id-1", {}, std::string(aBodyBytes, 'b')));
    this->serveNext(aCaller);
  }
  /** Answers the request that comes next, for this caller. */
  void serveNext(RawSocket& aCaller)
  {
    RawSocket attempt = this->nextAttempt();
    attempt.send(RelayWorld::answer(
      "id-1", "whole", "200 OK", "X-Stamp: s\r\nConnection: close\r\n"));
    EXPECT_TRUE(has(aCaller.readUntil("whole"), "200 OK"));
  }
  /** Expects that a request with a body of this size is refused for it. */
  static void expectTooLarge(RawSocket& aCaller, std::size_t aBodyBytes)
  {
    aCaller.send(RelayWorld::request(
      "/again/x", "id-1", {}, std::string(aBodyBytes, 'b')));
    EXPECT_TRUE(aCaller.readToEnd().starts_with("HTTP/1.1 413 "));
  }
};

// Guards against 413 on kept connections for what the operator has allowed.
TEST_F(CallerLimitsTest, ARaisedLimitHoldsOnKeptConnections)
{
  this->world.config->limits.bodyBytes = kSmall;
  this->startWith("plain", { "one" });
  RawSocket served = this->world.caller();
  RawSocket unused = this->world.caller();
  this->expectServed(served, kSmall);
  this->limitBodies(kLarge);
  this->expectServed(served, kLarge);
  this->expectServed(unused, kLarge);
}

// Guards against bodies on kept connections that the operator no longer allows.
TEST_F(CallerLimitsTest, ALoweredLimitHoldsOnKeptConnections)
{
  this->world.config->limits.bodyBytes = kLarge;
  this->startWith("plain", { "one" });
  RawSocket served = this->world.caller();
  RawSocket unused = this->world.caller();
  this->expectServed(served, kLarge);
  this->limitBodies(kSmall);
  expectTooLarge(served, kLarge);
  expectTooLarge(unused, kLarge);
}

// Guards against a request whose limits change while it comes.
TEST_F(CallerLimitsTest, TheLimitsOfARequestAreThoseOfItsFirstByte)
{
  this->world.config->limits.bodyBytes = kLarge;
  this->startWith("plain", { "one" });
  const std::string text =
    RelayWorld::request("/again/x", "id-1", {}, std::string(kLarge, 'b'));
  RawSocket asking = this->world.caller();
  asking.send(text.substr(0, 1));
  // One time to accept the connection, one to read from it.
  this->world.settle();
  this->world.settle();
  this->limitBodies(kSmall);
  asking.send(text.substr(1));
  this->serveNext(asking);
  expectTooLarge(asking, kLarge);
}

// Guards against an empty limit that lets every body pass.
TEST_F(CallerLimitsTest, ALimitOfNoBytesLetsNoBodyPass)
{
  this->world.config->limits.bodyBytes = 0;
  this->startWith("plain", { "one" });
  RawSocket asking = this->world.caller();
  this->expectServed(asking, 0);
  expectTooLarge(asking, 1);
}

// Guards against 413, after which callers don't return, from a relay that does
// not know the limits.
TEST_F(CallerLimitsTest, WithoutAConfigurationNoSizeIsDenied)
{
  this->world.addReplica("one", "plain", this->one.address());
  this->world.publishReplicas(1);
  this->world.startLoop();
  const std::size_t large = 2 * CallerLimits{}.bodyBytes;
  RawSocket unused = this->world.caller();
  this->world.settle();
  RawSocket late = this->world.caller();
  late.send("POST /again/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\n"
            "Content-Length: " +
            std::to_string(large) + "\r\n\r\n");
  const std::string answer = late.readToEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_TRUE(has(answer, "Retry-After: ")) << answer;
  this->world.config->limits.bodyBytes = 2 * large;
  this->world.publishConfig();
  this->expectServed(unused, large);
}

// Guards against bodies over the limit that come before the configuration.
TEST_F(CallerLimitsTest, ARequestFromBeforeTheConfigurationIsHeldAgainstIt)
{
  this->world.config->limits.bodyBytes = kSmall;
  this->world.useManualClock();
  this->world.addReplica("one", "plain", this->one.address());
  this->world.publishReplicas(1);
  this->world.startLoop();
  RawSocket asking =
    this->world.sendRequest("/again/x", "id-1", {}, std::string(kLarge, 'b'));
  ASSERT_TRUE(this->world.awaitOpen(1));
  this->world.publishConfig();
  this->world.advance(std::chrono::milliseconds{ 100 });
  EXPECT_TRUE(asking.readUntil("}\n").starts_with("HTTP/1.1 413 "));
}

// Guards against the same from a relay that is cut off from the store.
TEST_F(CallerLimitsTest, WithAnOldProofNoSizeIsDenied)
{
  this->world.config->limits.bodyBytes = kSmall;
  this->world.revoke = std::chrono::seconds{ 5 };
  this->world.addReplica("one", "plain", this->one.address());
  this->world.start(std::chrono::seconds{ 60 });
  RawSocket asking = this->world.caller();
  asking.send(
    RelayWorld::request("/again/x", "id-1", {}, std::string(kLarge, 'b')));
  EXPECT_TRUE(asking.readToEnd().starts_with("HTTP/1.1 503 "));
}

} // namespace
} // namespace poplartrack
