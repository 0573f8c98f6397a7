// Admission by pace in the relay's loop. The replicas prefill a million tokens
// a second; a prompt is in prefill until its first event.

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;
using std::chrono::milliseconds;

class RelayPaceTest : public ::testing::Test
{
protected:
  void start(Duration aObjective)
  {
    for (RelayRoute& route : this->world.config->routes["shop.example"]) {
      route.objective = aObjective;
    }
    this->world.load.paceAdmission = true;
    this->world.addModelReplica("near", this->near.address(), { 0, 10 }, "a");
    this->world.addModelReplica("far", this->far.address(), { 0, 10 }, "b");
    for (const char* replica : { "near", "far" }) {
      this->world.replicas.at(replica).slots = 8;
    }
    this->world.start();
  }
  RawSocket send(const char* aId, const char* aTokens)
  {
    return this->world.sendRequest(
      "/stream/x", aId, "X-Tokens: " + std::string{ aTokens } + ",5\r\n");
  }
  static void answerFirst(RawSocket& aReplica, const char* aId)
  {
    aReplica.readUntil("\r\n\r\n");
    aReplica.send(RelayWorld::streamHead(aId) + RelayWorld::event(1));
  }
  /** Starts a prefill of so many tokens at each replica: of id-1 at near, and
   * of id-2 at far. */
  void fillBoth(const char* aTokens)
  {
    this->callers.push_back(this->send("id-1", aTokens));
    this->callers.push_back(this->send("id-2", aTokens));
    this->atNear.emplace(this->near.accept());
    this->atFar.emplace(this->far.accept());
  }

  RawListener near;
  RawListener far;
  RelayWorld world;
  std::vector<RawSocket> callers;
  std::optional<RawSocket> atNear;
  std::optional<RawSocket> atFar;
};

TEST_F(RelayPaceTest, TakesAPathOnTimeRatherThanTheCheapestOne)
{
  // The search prefers the own zone, also where a prompt in prefill makes the
  // first event late.
  this->start(milliseconds{ 50 });
  RawSocket first = this->send("id-1", "32000");
  this->atNear.emplace(this->near.accept());
  RawSocket second = this->send("id-2", "20000");
  this->atFar.emplace(this->far.accept());
  EXPECT_TRUE(has(this->atFar->readUntil("\r\n\r\n"), "X-Id: id-2"));
  EXPECT_EQ(this->world.awaitCounter("pace_other_paths_total", 1), 1U);
  EXPECT_EQ(this->world.counter("pace_waits_total"), 0U);
}

TEST_F(RelayPaceTest, RefusesAtOnceWhatCannotBeServedInItsWait)
{
  // Its caller would wait for a second and be refused all the same.
  this->start(milliseconds{ 500 });
  this->fillBoth("3000000");
  RawSocket third = this->send("id-3", "10");
  const std::string refusal = third.readUntil("\r\n\r\n");
  EXPECT_TRUE(has(refusal, " 503 ")) << refusal;
  EXPECT_EQ(this->world.awaitCounter("pace_refusals_total", 1), 1U);
  EXPECT_EQ(this->world.counter("pace_waits_total"), 0U);
}

TEST_F(RelayPaceTest, SendsAWaitingRequestOnceThePrefillIsOver)
{
  this->start(milliseconds{ 600 });
  this->fillBoth("1000000");
  RawSocket third = this->send("id-3", "10");
  EXPECT_TRUE(waitFor([this] {
    return this->world.counter("pace_waits_total") > 0 ||
           this->world.counter("pace_refusals_total") > 0;
  }));
  answerFirst(*this->atNear, "id-1");
  RawSocket again = this->near.accept();
  EXPECT_TRUE(has(again.readUntil("\r\n\r\n"), "X-Id: id-3"));
  EXPECT_EQ(this->world.awaitCounter("pace_waits_total", 1), 1U);
}

/** Guards against streams that are refused for the prompts of whole answers
 * that have long been in generation. */
TEST_F(RelayPaceTest, APromptOfAWholeAnswerIsInPrefillForItsExpectedTime)
{
  ManualClock clock;
  clock.advance(std::chrono::hours{ 1 });
  this->world.clock = [&clock] { return clock.now(); };
  for (RelayRoute& route : this->world.config->routes["shop.example"]) {
    route.targets = { { "model", 1 } };
  }
  this->start(milliseconds{ 600 });
  const std::string tokens = "X-Tokens: 1000000,5\r\n";
  RawSocket one = this->world.sendRequest("/once/x", "id-1", tokens);
  RawSocket two = this->world.sendRequest("/once/x", "id-2", tokens);
  this->atNear.emplace(this->near.accept());
  this->atFar.emplace(this->far.accept());
  clock.advance(milliseconds{ 1'100 });
  RawSocket third = this->send("id-3", "10");
  EXPECT_TRUE(
    waitFor([this] { return this->world.loop->openRequests() == 3; }));
  clock.advance(milliseconds{ 50 });
  RawSocket sent = this->near.accept();
  EXPECT_TRUE(has(sent.readUntil("\r\n\r\n"), "X-Id: id-3"));
}

TEST_F(RelayPaceTest, DoesNotHoldBackAStreamThatResumes)
{
  // Its caller has a part of the answer and would lose most.
  this->start(milliseconds{ 500 });
  this->fillBoth("3000000");
  RawSocket third = this->world.sendRequest(
    "/stream/x", "id-3", "X-Tokens: 3000000,5\r\nLast-Event-Id: 7\r\n");
  RawSocket resumed = this->near.accept();
  EXPECT_TRUE(has(resumed.readUntil("\r\n\r\n"), "X-Id: id-3"));
  EXPECT_EQ(this->world.counter("pace_waits_total"), 0U);
}

/** Guards against a limit of the wait queue that ignores how fast requests are
 * started which replicas refused once: they wait and count in its length. */
TEST_F(RelayPaceTest, AStartAfterARefusalAndAWaitCounts)
{
  ManualClock clock;
  clock.advance(std::chrono::hours{ 1 });
  this->world.clock = [&clock] { return clock.now(); };
  this->world.load.paceAdmission = true;
  this->world.addReplica("near", "model", this->near.address());
  this->world.replicas.at("near").slots = 1;
  this->world.start();
  const RawSocket first = this->send("id-1", "10");
  this->atNear.emplace(this->near.accept());
  this->atNear->readUntil("\r\n\r\n");
  const RawSocket second = this->send("id-2", "10");
  ASSERT_TRUE(
    waitFor([this] { return this->world.loop->openRequests() == 2; }));
  // The search for the second one has failed in this round, so the first one
  // waits behind it.
  this->atNear->send(RelayWorld::answer(
    "id-1", "", "503 Service Unavailable", "X-Not-Run: 1\r\n"));
  ASSERT_TRUE(waitFor(
    [this] { return this->world.counter("path_searches_saved_total") == 1; }));
  // A replica that has refused a request is left alone for 400 ms.
  clock.advance(milliseconds{ 425 });
  RawSocket again = this->near.accept();
  EXPECT_TRUE(has(again.readUntil("\r\n\r\n"), "X-Id: id-2"));
  again.send(RelayWorld::answer("id-2",
                                "id: 1\ndata: x\n\n",
                                "200 OK",
                                "X-Stamp: s\r\nConnection: close\r\n"));
  ASSERT_TRUE(
    waitFor([this] { return this->world.loop->openRequests() == 1; }));
  clock.advance(milliseconds{ 25 });
  again = this->near.accept();
  EXPECT_TRUE(has(again.readUntil("\r\n\r\n"), "X-Id: id-1"));
  EXPECT_EQ(this->world.awaitCounter("queue_starts_total", 3), 3U);
}

/** Guards against a rate of starts that counts requests which reached no
 * replica. */
TEST_F(RelayPaceTest, ARequestThatReachesNoReplicaIsNotStarted)
{
  this->world.load.paceAdmission = true;
  this->world.addReplica("near", "model", { "127.0.0.1", 1 });
  this->world.start();
  RawSocket caller = this->send("id-1", "10");
  EXPECT_TRUE(has(caller.readUntil("\r\n\r\n"), " 503 "));
  EXPECT_EQ(this->world.counter("queue_starts_total"), 0U);
}

} // namespace
} // namespace poplartrack
