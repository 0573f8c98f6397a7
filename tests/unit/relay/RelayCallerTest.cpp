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

/** Callers that keep their connections, each with an answer of the relay. */
class RelayKeptCallerTest : public RelayFixture
{
protected:
  static constexpr Duration kIdleTimeout = std::chrono::seconds{ 5 };
  /** Longer than the log waits until it is written. */
  static constexpr Duration kFlushInterval = std::chrono::seconds{ 1 };

  /** Starts the relay with a limit on idle connections. */
  void startWithIdleTimeout()
  {
    this->world.useManualClock();
    this->world.config->limits.idleTimeout = kIdleTimeout;
    this->startWith("plain", { "one" });
  }
  /** Sends a request that the relay answers itself, and reads the answer. */
  static void expectAnswer(RawSocket& aCaller)
  {
    aCaller.send(RelayWorld::request("/unknown/", "id-1"));
    expectNotFound(aCaller);
  }
  static void expectNotFound(RawSocket& aCaller)
  {
    const std::string answer = aCaller.readUntil("}\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 404")) << answer;
  }
};

TEST_F(RelayKeptCallerTest, RequestsThatWaitAtTheEndOfTheIdleTimeAreRead)
{
  // Guards against connections that are closed while a request waits in them:
  // more arrive at once than the relay takes from the poller.
  constexpr std::size_t kCallers = 400;
  this->startWithIdleTimeout();
  std::vector<RawSocket> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(this->world.caller());
    expectAnswer(callers.back());
  }
  std::promise<void> blocked;
  std::promise<void> sent;
  this->world.loop->post([&] {
    blocked.set_value();
    sent.get_future().wait();
  });
  blocked.get_future().wait();
  for (RawSocket& each : callers) {
    each.send(RelayWorld::request("/unknown/", "id-2"));
  }
  this->world.manualClock.advance(2 * kIdleTimeout);
  sent.set_value();
  for (RawSocket& each : callers) {
    expectNotFound(each);
  }
}

TEST_F(RelayKeptCallerTest, RequestsWhoseRestWaitsAtTheEndOfTheHeadTimeAreRead)
{
  // Guards against 408 for requests that have arrived whole.
  constexpr std::size_t kCallers = 400;
  constexpr std::size_t kFirstBytes = 20;
  this->world.config->limits.headerTimeout = kIdleTimeout;
  this->startWithIdleTimeout();
  const std::string text = RelayWorld::request("/unknown/", "id-1");
  std::vector<RawSocket> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(this->world.caller());
    callers.back().send(text.substr(0, kFirstBytes));
  }
  this->world.settle();
  this->world.settle();
  std::promise<void> blocked;
  std::promise<void> sent;
  this->world.loop->post([&] {
    blocked.set_value();
    sent.get_future().wait();
  });
  blocked.get_future().wait();
  for (RawSocket& each : callers) {
    each.send(text.substr(kFirstBytes));
  }
  this->world.manualClock.advance(2 * kIdleTimeout);
  sent.set_value();
  for (RawSocket& each : callers) {
    expectNotFound(each);
  }
}

TEST_F(RelayKeptCallerTest, AnIdleConnectionStaysOpenWhenTheLimitGrows)
{
  // Guards against a close that crosses a request sent within the new limit.
  this->startWithIdleTimeout();
  RawSocket kept = this->world.caller();
  expectAnswer(kept);
  auto longer = std::make_shared<RelayConfig>(*this->world.config);
  longer->limits.idleTimeout = 4 * kIdleTimeout;
  this->world.shared.config.replace(longer);
  this->world.advance(2 * kIdleTimeout);
  expectAnswer(kept);
}

TEST_F(RelayKeptCallerTest, AnIdleConnectionIsClosedAtItsLimit)
{
  // Guards against descriptors that are held by callers that are gone.
  this->startWithIdleTimeout();
  RawSocket kept = this->world.caller();
  expectAnswer(kept);
  this->world.advance(2 * kIdleTimeout);
  EXPECT_EQ(kept.readToEnd(), "");
  this->world.advance(kFlushInterval);
  EXPECT_TRUE(has(this->world.logText(), "event=channel_closed"));
  EXPECT_TRUE(has(this->world.logText(), "cause=idle"));
}

TEST_F(RelayCallerTest, ARequestThatIsOpenWhenTheProcessEndsIsAnswered)
{
  // Guards against a connection that ends without answer or error.
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->world.loop->stop();
  this->expectStatus("502 Bad Gateway");
}

TEST_F(RelayCallerTest, ARequestThatWaitsWhenTheProcessEndsHasNotRun)
{
  // Guards against the same for a request that was not passed on.
  this->world.useManualClock();
  this->world.startLoop();
  RawSocket waiting = this->world.sendRequest("/once/x", "id-1");
  ASSERT_TRUE(this->world.awaitOpen(1));
  this->world.loop->stop();
  EXPECT_TRUE(has(waiting.readUntil("}"), "503 Service Unavailable"));
}

TEST_F(RelayCallerTest, ALateRequestOnAKeptConnectionIsRefusedAsNotRun)
{
  // Guards against a request that is taken late in a planned stop, and is cut
  // at its end.
  this->startWith("plain", { "one" });
  RawSocket kept = this->world.caller();
  this->world.settle();
  this->world.shared.draining = true;
  this->world.shared.refusesRequests = true;
  kept.send(RelayWorld::request("/once/x", "id-1"));
  const std::string answer = kept.readToEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_TRUE(has(answer, "Connection: close\r\n")) << answer;
  EXPECT_TRUE(has(answer, "\"draining\"")) << answer;
  EXPECT_EQ(this->world.counter("replica_connects_total"), 0U);
}

TEST_F(RelayCallerTest, ARequestThatArrivesWhileTheProcessEndsIsNotRead)
{
  // Guards against a request that is read and then lost with the process.
  this->world.start();
  RawSocket kept = this->world.caller();
  this->world.settle();
  this->world.loop->stop();
  kept.send(RelayWorld::request("/once/x", "id-1"));
  EXPECT_EQ(this->world.loop->openRequests(), 0U);
  this->world.loop.reset();
  EXPECT_TRUE(kept.readToReset());
}

} // namespace
} // namespace poplartrack
