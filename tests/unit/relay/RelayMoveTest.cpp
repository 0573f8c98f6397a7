// Streams that are moved off a draining replica, before it exits.

#include "AcceptLoop.h"
#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

class RelayMoveTest : public RelayFixture
{
protected:
  /** Starts the relay with two replicas, each with half of the layers. */
  void startHalves()
  {
    this->world.addModelReplica("one", this->one.address(), { 0, 5 }, "a");
    this->world.addModelReplica("two", this->two.address(), { 5, 10 }, "a");
    this->world.replicas["one"].slots = kStreams;
    this->world.start();
  }
  /** Lists a third replica that holds the layers of the second one, and the
   * second one as draining. */
  void drainSecondHalf()
  {
    this->world.addModelReplica("three", this->two.address(), { 5, 10 }, "a");
    this->world.replicas["two"].draining = true;
    this->world.publishReplicas(2);
  }
  /** Lists another replica with all layers, and the first one as draining. */
  void drainFirst()
  {
    this->world.addReplica("two", "model", this->two.address());
    this->world.replicas["one"].draining = true;
    this->world.publishReplicas(2);
  }

  static constexpr std::uint32_t kStreams = 8;
};

TEST_F(RelayMoveTest, AStreamIsMovedOffADrainingReplica)
{
  // The replica starts to drain, and will exit within seconds, while it runs a
  // long stream. The stream must resume at another replica before that, without
  // losing an event.
  this->startWith("model", { "one" });
  this->openStream(kLongStream);
  this->drainFirst();
  this->expectResumed(this->two);
}

TEST_F(RelayMoveTest, AStreamWhosePlannedMoveIsRefusedStaysWhereItIs)
{
  // The second replica of a stream's path starts to drain, and the first one
  // refuses the new path because a part of it has no memory left. Nothing has
  // failed, so the stream must continue on its old path.
  this->startHalves();
  this->openStream(kLongStream);
  this->drainSecondHalf();
  // When the second order arrives, the relay has handled the first refusal.
  ASSERT_TRUE(waitFor([this] { return this->world.repaths >= 2; }));
  this->expectEnd();
}

TEST_F(RelayMoveTest, EachStreamOfADrainingReplicaIsTriedToBeMoved)
{
  // Guards against streams that are never moved, and are broken off when their
  // replica exits, because the refused moves of others take up each round.
  this->startHalves();
  std::vector<RawSocket> connections;
  for (std::size_t i = 0; i < kStreams; ++i) {
    const std::string id = "id-" + std::to_string(i);
    connections.push_back(
      this->world.sendRequest("/stream/x", id, kLongStream));
    connections.push_back(this->nextAttempt());
    connections.back().send(RelayWorld::streamHead(id) + RelayWorld::event(1));
  }
  this->drainSecondHalf();
  EXPECT_TRUE(waitFor([this] {
    const std::scoped_lock lock{ this->world.repathGuard };
    return this->world.repathRequests.size() == kStreams;
  }));
}

TEST_F(RelayMoveTest, AStreamStaysAtADrainingReplicaWithoutRetryBudget)
{
  // The first replica of a long stream drains and still serves. Another replica
  // holds all layers, but resuming there counts as a retry and the retry budget
  // is used up. The stream must continue where it runs.
  this->world.drain = Duration{ 0 };
  this->world.retryRatio = 0;
  this->world.retrySlack = 0;
  this->startWith("model", { "one" });
  this->openStream(kLongStream);
  this->drainFirst();
  ASSERT_GT(this->world.awaitCounter("planned_moves_without_budget_total", 1),
            0U);
  this->expectEnd();
}

/** A draining replica that runs its streams until it exits. */
class RelayRunningMoveTest : public RelayReplacementFixture
{
protected:
  RelayRunningMoveTest()
  {
    this->world.onQuery = [](const Address&, const auto& aDone) {
      ReplicaReport report;
      report.reached = true;
      aDone(report);
    };
  }
  /** Sends further events of the stream from its first replica. */
  void sendEvents(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->replica->send(RelayWorld::event(++this->last));
      this->world.advance(kRound);
    }
  }
  /** Lets a stream begin to move off its replica, which goes on. Returns the
   * connection of the next attempt. */
  RawSocket beginMove()
  {
    this->startTwo(this->two.address());
    this->openStream(kLongStream);
    this->world.replicas["one"].draining = true;
    this->world.publishReplicas(2);
    EXPECT_TRUE(this->world.advanceUntil([this] {
      this->sendEvents(1);
      return this->world.counter("attempts_replaced_total") > 0;
    }));
    return acceptRequest(this->two, this->head);
  }

  /** The last event that the first replica has sent. */
  int last = 1;
};

TEST_F(RelayRunningMoveTest, AStreamThatGoesOnIsMoved)
{
  // Guards against moves that each event of the draining replica undoes, until
  // no attempt is left when it exits.
  RawSocket next = this->beginMove();
  this->sendEvents(4);
  EXPECT_EQ(this->world.counter("attempts_restored_total"), 0U);
  const int first = std::stoi(headerValue(this->head, "Last-Event-Id")) + 1;
  next.send(RelayWorld::streamHead("id-1") + RelayWorld::event(first) +
            RelayWorld::kLastChunk);
  const std::string rest = this->caller->readUntil("0\r\n\r\n");
  EXPECT_TRUE(has(rest, "id: " + std::to_string(first) + "\n")) << rest;
  EXPECT_FALSE(has(rest, "id: " + std::to_string(first + 1) + "\n")) << rest;
}

TEST_F(RelayRunningMoveTest, AStreamWhoseMoveIsRefusedMissesNoEvent)
{
  // Guards against events of the draining replica that are never read.
  RawSocket next = this->beginMove();
  this->sendEvents(4);
  next.send(RelayWorld::answer(
    "id-1", "", "503 Service Unavailable", "X-Not-Run: 1\r\n"));
  const std::string mark = "id: " + std::to_string(this->last) + "\n";
  EXPECT_TRUE(has(this->caller->readUntil(mark), mark));
}

TEST_F(RelayRunningMoveTest, AMoveThatBringsNoEventCostsNoRunningStream)
{
  // Guards against a running attempt that ends before the next one has an
  // event.
  RawSocket next = this->beginMove();
  for (Duration passed{ 0 }; passed < std::chrono::milliseconds{ 2'100 };
       passed += kRound) {
    this->world.advance(kRound);
    if (passed < std::chrono::milliseconds{ 500 }) {
      this->replica->send(RelayWorld::event(++this->last));
    }
  }
  next.close();
  this->world.settle();
  this->replica->send(RelayWorld::event(++this->last) + RelayWorld::kLastChunk);
  const std::string mark = "id: " + std::to_string(this->last) + "\n";
  EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), mark));
}

TEST_F(RelayRunningMoveTest, ACallerThatLeavesEndsBothAttempts)
{
  // Guards against work for a caller that has left, at either replica.
  RawSocket next = this->beginMove();
  this->sendEvents(4);
  this->caller->close();
  EXPECT_TRUE(this->world.awaitOpen(0));
  EXPECT_EQ(next.readToEnd(), "");
  EXPECT_EQ(this->replica->readToEnd(), "");
}

} // namespace
} // namespace poplartrack
