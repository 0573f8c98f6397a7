// Which requests of callers the relay rejects, and when it gives them up.

#include <future>

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Longest time for which a relay that is cut off accepts a revoked key. */
constexpr Duration kRevoke = std::chrono::seconds{ 5 };

class RelayCallerTest : public RelayFixture
{
protected:
  /** Starts the relay with a configuration whose last proof is this old. */
  void startCutOff(Duration aProofAge)
  {
    this->world.revoke = kRevoke;
    this->world.addReplica("one", "plain", this->one.address());
    this->world.start(aProofAge);
  }
};

TEST_F(RelayCallerTest, ARefusalAdvisesWhenToRetry)
{
  // The configuration is too old to trust the key, and no other relay is known.
  // The caller has 9 s, so the advised delay is up to a third of that.
  this->startCutOff(std::chrono::seconds{ 60 });
  this->caller.emplace(
    this->world.sendRequest("/once/x", "id-1", "X-Deadline: 9000\r\n"));
  const std::string answer = this->expectStatus("503 ");
  const std::size_t at = answer.find("Retry-After: ");
  ASSERT_NE(at, std::string::npos);
  const double seconds = std::stod(answer.substr(at + 13));
  EXPECT_GT(seconds, 1.0);
  EXPECT_LE(seconds, 3.0);
}

TEST_F(RelayCallerTest, AKeyIsNotTrustedOnceTheConfigurationMayHaveChanged)
{
  // The relay has been cut off from the store for longer than a revoked key may
  // be accepted. The error must advise a retry, not call the key wrong.
  this->startCutOff(2 * kRevoke);
  this->caller.emplace(this->world.sendRequest("/once/x", "id-1"));
  EXPECT_TRUE(
    has(this->expectStatus("503 Service Unavailable"), "Retry-After: "));
}

TEST_F(RelayCallerTest, WithoutAConfigurationNothingIsDenied)
{
  this->world.start();
  this->world.shared.config.replace(nullptr);
  this->caller.emplace(this->world.sendRequest("/unknown/", "id-1"));
  this->expectStatus("503 Service Unavailable");
}

TEST_F(RelayCallerTest, DeniesWhatTheConfigurationDoesNotAllow)
{
  this->world.start();
  RawSocket denied = this->world.sendRequest("/unknown/", "id-1");
  EXPECT_TRUE(has(denied.readUntil("}\n"), "404 Not Found"));
  denied.send("GET /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-2\r\n"
              "X-Key: wrong\r\n\r\n");
  EXPECT_TRUE(has(denied.readUntil("}\n"), "401 Unauthorized"));
}

TEST_F(RelayCallerTest, ASmuggledRequestIsRejected)
{
  // Request smuggling: with both Content-Length and chunked encoding, one
  // parser takes for the body what another takes for a second request.
  this->startWith("plain", { "one" });
  RawSocket smuggler = this->world.caller();
  smuggler.send("POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-1\r\n"
                "X-Key: secret\r\nContent-Length: 4\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_TRUE(has(smuggler.readToEnd(), "400 Bad Request"));
}

TEST_F(RelayCallerTest, ReportsWhichLimitARequestExceeds)
{
  this->world.config->limits.headerBytes = 1'024;
  this->world.config->limits.bodyBytes = 8;
  this->world.start();
  RawSocket large = this->world.sendRequest(
    "/once/", "id-1", "X-Long: " + std::string(4'000, 'h') + "\r\n");
  EXPECT_TRUE(has(large.readToEnd(), "431 "));
  RawSocket body = this->world.sendRequest("/once/", "id-1", "", "123456789");
  EXPECT_TRUE(has(body.readToEnd(), "413 "));
  RawSocket nonsense = this->world.caller();
  nonsense.send("nonsense\r\n\r\n");
  EXPECT_TRUE(has(nonsense.readToEnd(), "400 "));
}

TEST_F(RelayCallerTest, AnIncompleteHeadTimesOut)
{
  // The relay must have the first bytes before the time limit, or it closes the
  // connection as an unused one.
  constexpr Duration kHeaderTimeout = std::chrono::milliseconds{ 50 };
  this->world.useManualClock();
  this->world.config->limits.headerTimeout = kHeaderTimeout;
  this->world.start();
  RawSocket slow = this->world.caller();
  slow.send("POST /once/ HTTP/1.1\r\nHost:");
  // One time to accept the connection, one to read from it.
  this->world.settle();
  this->world.settle();
  this->world.advance(kHeaderTimeout);
  EXPECT_TRUE(has(slow.readToEnd(), "408 Request Timeout"));
}

TEST_F(RelayCallerTest, ATimeoutBeforeTheAnswerIsReportedAtOnce)
{
  // The deadline passes when the replica has the request, however slowly the
  // relay runs.
  this->world.useManualClock();
  this->startWith("plain", { "one" });
  this->openRequest("/once/x", "X-Deadline: 60\r\n");
  this->world.advance(std::chrono::milliseconds{ 60 });
  this->expectStatus("504 Gateway Timeout");
  EXPECT_EQ(this->replica->readToEnd(), "");
}

TEST_F(RelayCallerTest,
       ARequestWhoseCallerDisconnectedWhileTheRelayLaggedIsNotSent)
{
  this->startWith("plain", { "one" });
  std::promise<void> blocked;
  std::promise<void> resume;
  this->world.loop->post([&blocked, &resume] {
    blocked.set_value();
    resume.get_future().wait();
  });
  blocked.get_future().wait();
  this->world.sendRequest("/once/x", "id-1").close();
  resume.set_value();
  this->openRequest("/once/x", {}, "id-2");
  EXPECT_TRUE(has(this->head, "X-Id: id-2\r\n"));
}

TEST_F(RelayCallerTest, ARequestThatWaitsInAQueueDoesNotRunAfterItsCallerLeft)
{
  // Its bytes are in the queue of a slow link, here that of the socket.
  this->startWith("plain", { "one" });
  constexpr std::size_t kBodyBytes = 900'000;
  this->caller.emplace(this->world.sendRequest(
    "/again/x", "id-1", {}, std::string(kBodyBytes, 'x')));
  this->replica.emplace(this->nextAttempt());
  this->caller->close();
  EXPECT_TRUE(this->replica->readToReset());
}

} // namespace
} // namespace poplartrack
