// Admission by pace in the relay's loop. The replicas prefill a million tokens
// a second; a prompt is in prefill until its first event.

#include <atomic>
#include <chrono>
#include <functional>
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
    // Requests wait no longer than the test says.
    this->world.useManualClock();
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
  /** Runs work on the relay's thread and waits until it is done. */
  void runInLoop(const std::function<void()>& aWork)
  {
    std::atomic<bool> done{ false };
    this->world.loop->post([&] {
      aWork();
      done = true;
    });
    ASSERT_TRUE(waitFor([&] { return done.load(); }));
  }
  void acceptAtNear()
  {
    this->atNear.emplace(this->near.accept());
    this->atNear->readUntil("\r\n\r\n");
  }
  void sendEventFromNear()
  {
    this->atNear->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1));
  }
  /** Sends id-2, which is on time at near unless near takes longer than
   * forecast, once the first caller has an event. Returns its head as the
   * replica receives it. */
  std::string nextHeadAt(RawListener& aReplica)
  {
    this->callers.front().readUntil("data: x");
    this->callers.push_back(this->send("id-2", "320000"));
    return aReplica.accept().readUntil("\r\n\r\n");
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
  this->world.settle();
  EXPECT_EQ(this->world.counter("pace_other_paths_total"), 1U);
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
  this->callers.front().readUntil("id: 1");
  this->world.settle();
  this->world.advance(kRound);
  RawSocket again = this->near.accept();
  EXPECT_TRUE(has(again.readUntil("\r\n\r\n"), "X-Id: id-3"));
  EXPECT_EQ(this->world.awaitCounter("pace_waits_total", 1), 1U);
}

/** Guards against streams that are refused for the prompts of whole answers
 * that have long been in generation. */
TEST_F(RelayPaceTest, APromptOfAWholeAnswerIsInPrefillForItsExpectedTime)
{
  for (RelayRoute& route : this->world.config->routes["shop.example"]) {
    route.targets = { { "model", 1 } };
  }
  this->start(milliseconds{ 600 });
  const std::string tokens = "X-Tokens: 1000000,5\r\n";
  RawSocket one = this->world.sendRequest("/once/x", "id-1", tokens);
  RawSocket two = this->world.sendRequest("/once/x", "id-2", tokens);
  this->atNear.emplace(this->near.accept());
  this->atFar.emplace(this->far.accept());
  // The prefill begins when the relay has sent the request.
  this->atNear->readUntil("\r\n\r\n");
  this->atFar->readUntil("\r\n\r\n");
  this->world.advance(milliseconds{ 1'100 });
  RawSocket third = this->send("id-3", "10");
  ASSERT_TRUE(this->world.awaitOpen(3));
  this->world.advance(milliseconds{ 50 });
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

/** Guards against a relay that avoids its replicas because its own loop was
 * busy when their events arrived. */
TEST_F(RelayPaceTest, AnEventThatIsReadLateDoesNotCountAsLate)
{
  this->start(milliseconds{ 500 });
  this->callers.push_back(this->send("id-1", "10"));
  this->acceptAtNear();
  this->runInLoop([this] {
    this->sendEventFromNear();
    this->world.manualClock.advance(milliseconds{ 150 });
  });
  EXPECT_TRUE(has(this->nextHeadAt(this->near), "X-Id: id-2"));
  EXPECT_EQ(this->world.counter("pace_other_paths_total"), 0U);
}

/** The same for a loop that was busy before it sent the request. */
TEST_F(RelayPaceTest, AnEventOfARequestThatIsSentLateDoesNotCountAsLate)
{
  this->start(milliseconds{ 500 });
  this->callers.push_back(this->world.sendRequest("/unknown/", "id-0"));
  this->callers.front().readUntil("}\n");
  // The second work runs in the iteration that reads the request, before that.
  this->runInLoop([this] {
    this->callers.front().send(
      RelayWorld::request("/stream/x", "id-1", "X-Tokens: 10,5\r\n"));
    this->world.loop->post(
      [this] { this->world.manualClock.advance(milliseconds{ 150 }); });
  });
  this->acceptAtNear();
  this->world.settle();
  this->sendEventFromNear();
  EXPECT_TRUE(has(this->nextHeadAt(this->near), "X-Id: id-2"));
  EXPECT_EQ(this->world.counter("pace_other_paths_total"), 0U);
}

/** Guards against a relay that learns nothing from events that it reads on
 * time after it was busy. */
TEST_F(RelayPaceTest, AnEventThatIsReadOnTimeCountsAlsoAfterABusyIteration)
{
  this->start(milliseconds{ 500 });
  this->callers.push_back(this->send("id-1", "10"));
  this->acceptAtNear();
  this->runInLoop(
    [this] { this->world.manualClock.advance(milliseconds{ 150 }); });
  this->world.settle();
  this->sendEventFromNear();
  EXPECT_TRUE(has(this->nextHeadAt(this->far), "X-Id: id-2"));
  EXPECT_EQ(this->world.awaitCounter("pace_other_paths_total", 1), 1U);
}

/** Guards against a limit of the wait queue that ignores how fast requests are
 * started which replicas refused once: they wait and count in its length. */
TEST_F(RelayPaceTest, AStartAfterARefusalAndAWaitCounts)
{
  this->world.useManualClock();
  this->world.load.paceAdmission = true;
  this->world.addReplica("near", "model", this->near.address());
  this->world.replicas.at("near").slots = 1;
  this->world.start();
  const RawSocket first = this->send("id-1", "10");
  this->atNear.emplace(this->near.accept());
  this->atNear->readUntil("\r\n\r\n");
  const RawSocket second = this->send("id-2", "10");
  ASSERT_TRUE(this->world.awaitOpen(2));
  // The search for the second one has failed in this round, so the first one
  // waits behind it.
  this->atNear->send(RelayWorld::answer(
    "id-1", "", "503 Service Unavailable", "X-Not-Run: 1\r\n"));
  ASSERT_TRUE(waitFor(
    [this] { return this->world.counter("path_searches_saved_total") == 1; }));
  // A replica that has refused a request is left alone for 400 ms.
  this->world.advance(milliseconds{ 425 });
  RawSocket again = this->near.accept();
  EXPECT_TRUE(has(again.readUntil("\r\n\r\n"), "X-Id: id-2"));
  again.send(RelayWorld::answer("id-2",
                                "id: 1\ndata: x\n\n",
                                "200 OK",
                                "X-Stamp: s\r\nConnection: close\r\n"));
  ASSERT_TRUE(this->world.awaitOpen(1));
  this->world.advance(kRound);
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
  this->world.settle();
  EXPECT_EQ(this->world.counter("queue_starts_total"), 0U);
}

} // namespace
} // namespace poplartrack
