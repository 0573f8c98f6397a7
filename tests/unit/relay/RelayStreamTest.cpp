// Streams that lose a replica or their caller.

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

using RelayStreamTest = RelayFixture;

TEST_F(RelayStreamTest, AStreamResumesElsewhereAfterItsLastCompleteEvent)
{
  // The first replica crashes in the middle of event 3. The caller must receive
  // each event once, in order and complete.
  this->startWith("model", { "one", "two" });
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  EXPECT_TRUE(has(this->head, "X-Path: "));
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                      RelayWorld::event(2) + "e\r\nid: 3\ndata");
  this->caller->readUntil("id: 2");
  this->replica->close();
  RawSocket second = this->nextAttempt();
  EXPECT_TRUE(has(this->head, "Last-Event-Id: 2\r\n"));
  second.send(RelayWorld::streamHead("id-1") + RelayWorld::event(2) +
              RelayWorld::event(3) + RelayWorld::kLastChunk);
  const std::string rest = this->caller->readUntil("0\r\n\r\n");
  EXPECT_TRUE(has(rest, "id: 3\ndata: x\n\n"));
  EXPECT_FALSE(has(rest, "id: 2"));
}

TEST_F(RelayStreamTest, ThePauseOfAResumedStreamIncludesTheTimeBeforeTheRetry)
{
  // A stream is silent for longer than its stall timeout, then its replica
  // crashes. The reported pause left out the time before the next attempt.
  this->startWith("model", { "one", "two" });
  this->openStream();
  const TimePoint silentFrom = runtimeNow();
  // The relay asks for a report when the stall timeout has passed.
  EXPECT_TRUE(waitFor([this] { return this->world.statusQueries > 0; }));
  const Duration silent = runtimeNow() - silentFrom;
  this->replica->close();
  this->expectResumed(this->one);
  std::string sum = this->world.shared.metrics.render();
  sum.erase(0, sum.find("loss_pause_seconds_sum ") + 23);
  EXPECT_GE(std::stod(sum), std::chrono::duration<double>(silent).count());
}

TEST_F(RelayStreamTest, AStreamResumesElsewhereWhenItsReplicaHasRestarted)
{
  // The replica of a stream crashes without closing its connection and restarts
  // under its name; the list shows the new incarnation, which has no layers. No
  // relay or replica reports the old one as lost. The stream must resume at
  // another replica after the last event that the caller has.
  this->startWith("model", { "one" });
  this->openStream();
  this->world.addReplica("two", "model", this->two.address());
  this->world.restartReplica("one");
  this->world.publishReplicas(2);
  this->expectResumed(this->two);
}

TEST_F(RelayStreamTest, AStreamThatCannotResumeIsCutNotCompleted)
{
  this->world.config->routes["shop.example"][2].resumable = false;
  this->startWith("model", { "one" });
  this->openStream();
  this->replica->close();
  EXPECT_FALSE(has(this->caller->readToEnd(), "0\r\n\r\n"));
}

TEST_F(RelayStreamTest, ACallerThatDisconnectsStopsTheReplicasWork)
{
  this->startWith("model", { "one" });
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  this->caller->close();
  // This returns only when the relay closes its side.
  EXPECT_EQ(this->replica->readToEnd(), "");
}

TEST_F(RelayStreamTest, AStoppingRelayClosesConnectionsAfterTheirAnswers)
{
  // The relay is stopped during a stream. The stream must complete, then its
  // connection closes; later requests are refused as not run.
  this->startWith("model", { "one" });
  RawSocket other = this->world.caller();
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  this->world.shared.draining = true;
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1));
  EXPECT_TRUE(has(this->caller->readUntil("id: 1"), "Connection: close\r\n"));
  this->replica->send(RelayWorld::event(2) + RelayWorld::kLastChunk);
  EXPECT_TRUE(has(this->caller->readToEnd(), "0\r\n\r\n"));
  this->world.shared.refusesRequests = true;
  other.send(RelayWorld::request("/once/x", "id-2"));
  EXPECT_TRUE(has(other.readToEnd(), "503 Service Unavailable"));
}

} // namespace
} // namespace poplartrack
