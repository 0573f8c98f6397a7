// What reaches an attempt, or ends the next one, while it is set aside.

#include <mutex>

#include "PeerSocket.h"
#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Addresses of parts of a path that the relay does not connect to. */
const Address kSecondPart{ "127.0.0.1", 2 };
const Address kThirdPart{ "127.0.0.1", 3 };

/** A stream that is ordered to move within its path, and is set aside before
 * the outcome is known. */
class RelaySetAsideMoveTest : public RelayReplacementFixture
{
protected:
  RelaySetAsideMoveTest()
  {
    this->world.onRepath = [this](const auto& aDone) { this->outcome = aDone; };
    this->world.onQuery = [this](const Address& aReplica, const auto& aDone) {
      ReplicaReport report;
      report.reached = !this->firstIsSilent;
      if (aReplica == this->one.address()) {
        report.stalled.push_back({ "id-1", kSecondPart });
      }
      aDone(report);
    };
  }
  /** Returns the connection of the attempt in the stream's place. */
  RawSocket setAsideDuringMove()
  {
    this->world.setPeers({ this->peer.address() });
    this->world.addModelReplica("one", this->one.address(), { 0, 5 }, "a");
    this->world.addModelReplica("two", kSecondPart, { 5, 10 }, "a");
    this->world.replicas["one"].slots = 4;
    this->world.start();
    this->openStream("X-Tokens: 5,50\r\n");
    this->world.addModelReplica("three", kThirdPart, { 5, 10 }, "a");
    this->world.publishReplicas(2);
    EXPECT_TRUE(
      this->world.advanceUntil([this] { return this->world.repaths > 0; }));
    this->firstIsSilent = true;
    this->world.addModelReplica("four", this->two.address(), { 0, 10 }, "b");
    this->world.publishReplicas(3);
    return this->awaitNext();
  }
  /** Ends the move, and then refuses the next attempt. */
  void endMoveAndRefuse(RawSocket& aNext, RepathOutcome aOutcome)
  {
    this->outcome(aOutcome);
    this->world.settle();
    aNext.send(RelayWorld::answer(
      "id-1", "", "503 Service Unavailable", "X-Not-Run: 1\r\n"));
    this->awaitRestored(1);
  }
  /** Returns the replicas that have work of the relay, as it tells others. */
  std::set<std::string> loadedReplicas()
  {
    while (this->peer.receive()) {
    }
    std::optional<PeerMessage> message;
    EXPECT_TRUE(this->world.advanceUntil([&] {
      message = this->peer.receive();
      return message && message->status.format == kPeerStatusFormat;
    }));
    std::set<std::string> loaded;
    for (const LoadRow& row : message->status.loads) {
      loaded.insert(row.replica);
    }
    return loaded;
  }

  PeerSocket peer;
  std::atomic<bool> firstIsSilent{ false };
  std::function<void(RepathOutcome)> outcome;
};

TEST_F(RelaySetAsideMoveTest, ARefusedMoveLeavesItOnTheOldPath)
{
  // Guards against load and stall decisions for a path that it did not get.
  RawSocket next = this->setAsideDuringMove();
  this->endMoveAndRefuse(next, RepathOutcome::Failed);
  EXPECT_EQ(this->loadedReplicas(), (std::set<std::string>{ "one", "two" }));
}

TEST_F(RelaySetAsideMoveTest, AMovedAttemptIsNotReplacedOnceMore)
{
  // Guards against a second prefill of a stream that was moved.
  RawListener five;
  RawSocket next = this->setAsideDuringMove();
  this->world.addModelReplica("five", five.address(), { 0, 10 }, "b");
  this->world.publishReplicas(4);
  this->endMoveAndRefuse(next, RepathOutcome::Moved);
  this->world.advance(kRound);
  EXPECT_EQ(this->world.counter("attempts_replaced_total"), 1U);
  this->expectEnd();
}

class RelaySetAsideTest : public RelayReplacementFixture
{};

TEST_F(RelaySetAsideTest, AnOldConfigurationBeforeTheFirstByteCostsNoStream)
{
  // Guards against a cut because the next attempt may not be sent any more.
  constexpr Duration kOld = std::chrono::minutes{ 11 };
  this->world.revoke = std::chrono::minutes{ 60 };
  this->world.shared.configPollFailed = true;
  std::atomic<bool> ages{ false };
  this->world.onRequestHead = [&] {
    if (ages) {
      this->world.shared.configPollFailed = false;
    }
  };
  this->world.addReplica("one", "model", this->one.address());
  this->world.addReplica("two", "model", this->two.address());
  this->world.replicas["two"].zone = "b";
  this->world.start(kOld);
  this->openStream();
  ages = true;
  ASSERT_TRUE(this->world.advanceUntil(
    [this] { return this->world.counter("attempts_replaced_total") > 0; }));
  RawSocket next = this->two.accept();
  EXPECT_EQ(next.readToEnd(), "");
  this->expectEnd();
}

TEST_F(RelaySetAsideTest, AThirdAttemptDoesNotWaitForTheFirst)
{
  // Guards against a pause of seconds where two replicas are lost in turn.
  constexpr Duration kMostWait = std::chrono::milliseconds{ 500 };
  RawListener three;
  this->world.config->routes["shop.example"][2].attempts = 3;
  this->startTwo(this->two.address());
  this->openStream();
  RawSocket next = this->awaitNext();
  this->world.addReplica("three", "model", three.address());
  this->world.publishReplicas(2);
  const TimePoint begun = this->world.manualClock.now();
  ASSERT_TRUE(this->world.advanceUntil(
    [this] { return this->world.counter("attempts_replaced_total") >= 2; }));
  EXPECT_LE(this->world.manualClock.now() - begun, kMostWait);
}

/** The time in ms after which the replica of the next attempt fails. */
class RelayLateFailureTest
  : public RelayReplacementFixture
  , public ::testing::WithParamInterface<int>
{
protected:
  /** Opens a stream whose replica falls silent, and lets the time pass after
   * the next attempt has begun. Returns the connection of that one. */
  RawSocket openUntilFailure()
  {
    this->startTwo(this->two.address());
    this->openStream();
    RawSocket next = this->awaitNext();
    const Duration time = std::chrono::milliseconds{ GetParam() };
    for (Duration passed{ 0 }; passed < time; passed += kRound) {
      this->world.advance(kRound);
    }
    return next;
  }
  /** Expects that the stream ends at its first replica, after the next attempt
   * has failed. */
  void expectReturn()
  {
    EXPECT_TRUE(this->world.advanceUntil([this] {
      return this->world.counter("attempts_restored_total") > 0 ||
             this->world.counter("answers_cut_total") > 0;
    }));
    this->expectEnd();
  }
};

TEST_P(RelayLateFailureTest, ALateRefusalCostsNoStream)
{
  // Guards against a cut because a full replica refused an attempt late.
  RawSocket next = this->openUntilFailure();
  next.send(RelayWorld::answer(
    "id-1", "", "503 Service Unavailable", "X-Not-Run: 1\r\n"));
  this->expectReturn();
}

TEST_P(RelayLateFailureTest, AReplicaThatBreaksOffLateCostsNoStream)
{
  // The same where the other replica closes before its answer.
  this->openUntilFailure().close();
  this->expectReturn();
}

TEST_P(RelayLateFailureTest, AReplicaThatBreaksOffAfterItsHeadCostsNoStream)
{
  // The same where the other replica closes before its first event.
  RawSocket next = this->openUntilFailure();
  next.send(RelayWorld::streamHead("id-1"));
  this->world.settle();
  next.close();
  this->expectReturn();
}

TEST_P(RelayLateFailureTest, TheFirstEventOfTheNextAttemptEndsTheOneSetAside)
{
  // Guards against joined pieces of two runs, and against a late resumption.
  RawSocket next = this->openUntilFailure();
  next.send(RelayWorld::streamHead("id-1") + RelayWorld::event(2));
  EXPECT_TRUE(has(this->caller->readUntil("id: 2"), "id: 2"));
  EXPECT_EQ(this->replica->readToEnd(), "");
  next.send(RelayWorld::event(3) + RelayWorld::kLastChunk);
  EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 3"));
}

INSTANTIATE_TEST_SUITE_P(RelaySetAside,
                         RelayLateFailureTest,
                         ::testing::Values(100, 200, 500, 1'000));

} // namespace
} // namespace poplartrack
