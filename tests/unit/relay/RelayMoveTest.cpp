// Streams that are moved off a draining replica, before it exits.

#include "RelayFixture.h"

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

} // namespace
} // namespace poplartrack
