// A sound replica that falls silent for a second and goes on.

#include <future>

#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** A relay whose status queries end without an answer while a replica is
 * silent. Its clock is advanced by the test. */
class RelaySilenceTest : public RelayFixture
{
protected:
  RelaySilenceTest()
  {
    this->world.useManualClock();
    this->world.onQuery = [](const Address&, const auto& aDone) {
      aDone(ReplicaReport{});
    };
  }
  /** Starts the relay with one replica of the model. */
  void startOne()
  {
    this->world.addReplica("one", "model", this->one.address());
    this->world.replicas["one"].slots = 2;
    this->world.start();
  }
  /** Starts the relay with a replica of the model at each listener. */
  void startTwo()
  {
    this->world.addReplica("one", "model", this->one.address());
    this->world.addReplica("two", "model", this->two.address());
    // The stream begins at the one in the relay's own zone.
    this->world.replicas["two"].zone = "b";
    this->world.start();
  }
  /** Lists a second replica of the model. */
  void listSecond()
  {
    this->world.addReplica("two", "model", this->two.address());
    this->world.publishReplicas(2);
  }
  /** Lets as much time pass as a silence takes. */
  void passSilence()
  {
    for (Duration passed{ 0 }; passed < kSilence; passed += kRound) {
      this->world.advance(kRound);
    }
  }
  /** Accepts the second attempt of the stream, which brings its second event.
   */
  void resumeAtSecond()
  {
    this->replica.emplace(acceptRequest(this->two, this->head));
    EXPECT_TRUE(has(this->head, "Last-Event-Id: 1\r\n")) << this->head;
    this->replica->send(RelayWorld::streamHead("id-1"));
    this->expectEvent(2);
  }
  /** Reads from the caller until the mark or the end of its connection, which
   * may come only when time has passed. */
  std::string readUntil(const std::string& aMark)
  {
    std::future<std::string> text = std::async(
      std::launch::async, [&] { return this->caller->readUntil(aMark); });
    const auto isRead = [&text] {
      return text.wait_for(Duration{ 0 }) == std::future_status::ready;
    };
    EXPECT_TRUE(waitFor(isRead) || this->world.advanceUntil(isRead));
    return text.get();
  }
  /** Expects that the stream ends where it runs, with this event. */
  void expectEndFrom(int aNext)
  {
    this->replica->send(RelayWorld::event(aNext) + RelayWorld::kLastChunk);
    EXPECT_TRUE(
      has(this->readUntil("0\r\n\r\n"), "id: " + std::to_string(aNext)));
  }
  /** Expects that the stream brings this event where it runs. */
  void expectEvent(int aNumber)
  {
    this->replica->send(RelayWorld::event(aNumber));
    const std::string mark = "id: " + std::to_string(aNumber);
    EXPECT_TRUE(has(this->readUntil(mark), mark));
  }

  static constexpr Duration kSilence = std::chrono::milliseconds{ 1'200 };
};

/** The same with loss probes. */
class RelaySilenceProbeTest : public RelaySilenceTest
{
protected:
  RelaySilenceProbeTest() { this->world.load.lossProbes = true; }
};

TEST_F(RelaySilenceTest, AStreamGoesOnAtItsOnlyReplica)
{
  // Guards against streams that are cut because their replica was silent.
  this->startOne();
  this->openStream();
  this->passSilence();
  this->expectEndFrom(2);
}

TEST_F(RelaySilenceProbeTest, AStreamGoesOnAtItsOnlyReplica)
{
  // The same where replicas are asked as soon as a stream is late.
  this->startOne();
  this->openStream();
  this->passSilence();
  this->expectEndFrom(2);
}

TEST_F(RelaySilenceTest, AStreamWithoutAnEventBeginsAfterTheSilence)
{
  // Guards against 502 for a stream whose replica was about to begin it.
  this->startOne();
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  this->passSilence();
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                      RelayWorld::kLastChunk);
  const std::string answer = this->readUntil("0\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK")) << answer;
  EXPECT_TRUE(has(answer, "id: 1")) << answer;
}

TEST_F(RelaySilenceTest, AStreamWhoseReplicasAreSilentInTurnIsComplete)
{
  // Guards against a cut in the middle while the last attempt still runs.
  this->startTwo();
  this->openStream();
  this->passSilence();
  this->resumeAtSecond();
  this->passSilence();
  this->expectEndFrom(3);
}

TEST_F(RelaySilenceTest, AStreamThatMayNotBeResumedGoesOn)
{
  // Guards against a cut although no other replica may run the stream.
  this->world.config->routes["shop.example"][2].resumable = false;
  this->startTwo();
  this->openStream();
  this->passSilence();
  this->expectEndFrom(2);
}

TEST_F(RelaySilenceTest, AStreamWithoutRetryBudgetGoesOn)
{
  // Guards against an attempt that ends before its replacement is allowed.
  this->world.retryRatio = 0;
  this->world.retrySlack = 0;
  this->startTwo();
  this->openStream();
  this->passSilence();
  this->expectEndFrom(2);
}

TEST_F(RelaySilenceTest, AStreamThatGoesOnLooksForNoOtherReplica)
{
  // Guards against the replacement of an attempt that is running again.
  this->startOne();
  this->openStream();
  this->passSilence();
  this->expectEvent(2);
  this->listSecond();
  this->world.advance(kRound);
  this->expectEndFrom(3);
}

TEST_F(RelaySilenceTest, AReplicaThatGoesOnIsUsedAgainAtOnce)
{
  // Guards against 503 for seconds after the silence of the only replica.
  this->startOne();
  this->openStream();
  this->passSilence();
  // The event is sent after the replica was last taken for lost.
  this->world.manualClock.advance(std::chrono::milliseconds{ 1 });
  this->expectEvent(2);
  RawSocket other = this->world.sendRequest("/stream/x", "id-2");
  RawSocket second = this->nextAttempt();
  second.send(RelayWorld::streamHead("id-2") + RelayWorld::event(1) +
              RelayWorld::kLastChunk);
  EXPECT_TRUE(has(other.readUntil("0\r\n\r\n"), "id: 1"));
}

TEST_F(RelaySilenceTest, ASilentReplicaThatClosesEndsTheAttempt)
{
  // Guards against streams that wait for a replica that has crashed.
  this->startOne();
  this->openStream();
  this->passSilence();
  this->replica->close();
  this->world.settle();
  this->listSecond();
  this->world.advance(kRound);
  this->resumeAtSecond();
  this->expectEndFrom(3);
}

TEST_F(RelaySilenceTest, ACallerThatLeavesASilentReplicaStopsTheWork)
{
  // Guards against work that nobody waits for, at a replica that is silent.
  this->startOne();
  this->openStream();
  this->passSilence();
  this->caller->close();
  EXPECT_TRUE(this->world.awaitOpen(0));
  EXPECT_TRUE(this->replica->readToReset());
}

TEST_F(RelaySilenceTest, AStreamAtASilentReplicaEndsAtItsDeadline)
{
  // Guards against streams that wait without end for a replica that is lost.
  this->startOne();
  this->openStream("X-Tokens: 5,5\r\nX-Deadline: 3000\r\n");
  EXPECT_TRUE(this->world.advanceUntil(
    [this] { return this->world.loop->openRequests() == 0; }));
  EXPECT_FALSE(has(this->caller->readToEnd(), RelayWorld::kLastChunk));
}

TEST_F(RelaySilenceTest, SilenceIsNotPassedOnAsTheRequestsFault)
{
  // Guards against a quarantine of requests whose replicas were only silent.
  this->startTwo();
  this->openStream();
  this->passSilence();
  this->resumeAtSecond();
  this->passSilence();
  this->expectEndFrom(3);
  EXPECT_EQ(this->world.counter("requests_at_ended_replicas_total"), 0U);
}

} // namespace
} // namespace poplartrack
