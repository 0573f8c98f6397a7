// An attempt that was replaced, until the one in its place is accepted.

#include "FullListener.h"
#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

class RelayReplacedAttemptTest : public RelayReplacementFixture
{
protected:
  /** Opens a stream of which the caller has nothing yet, and lets it be
   * replaced. Returns the connection of the attempt in its place. */
  RawSocket openReplaced()
  {
    this->startTwo(this->two.address());
    this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
    return this->awaitNext();
  }
  /** Expects that the stream comes whole from this connection. */
  void expectWholeFrom(RawSocket& aReplica)
  {
    aReplica.send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                  RelayWorld::kLastChunk);
    EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 1"));
  }
};

TEST_F(RelayReplacedAttemptTest, ARefusedAttemptCostsNoStream)
{
  // Guards against streams that are cut because a full replica refused the
  // attempt for which a silent one was given up.
  this->startTwo(this->two.address());
  this->openStream();
  for (std::uint64_t refusals = 1; refusals <= 3; ++refusals) {
    RawSocket next = this->awaitNext(refusals);
    next.send(RelayWorld::answer(
      "id-1", "", "503 Service Unavailable", "X-Not-Run: 1\r\n"));
    this->awaitRestored(refusals);
  }
  this->expectEnd();
}

TEST_F(RelayReplacedAttemptTest,
       AnAttemptThatGoesOnBeforeTheNextOneIsAcceptedWins)
{
  // Guards against two runs of which neither is read to its end.
  this->startTwo(this->two.address());
  this->openStream();
  RawSocket next = this->awaitNext();
  this->expectEnd();
  EXPECT_EQ(next.readToEnd(), "");
}

TEST_F(RelayReplacedAttemptTest, AnAttemptThatStaysSilentIsEnded)
{
  // Guards against two replicas that run one stream for longer than needed.
  this->startTwo(this->two.address());
  this->openStream();
  RawSocket next = this->awaitNext();
  this->passSilence();
  this->passSilence();
  EXPECT_EQ(this->replica->readToEnd(), "");
  next.send(RelayWorld::streamHead("id-1") + RelayWorld::event(2) +
            RelayWorld::kLastChunk);
  EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 2"));
}

TEST_F(RelayReplacedAttemptTest, TheFirstEventEndsTheAttemptThatWasReplaced)
{
  // The same where the next attempt brings an event before.
  this->startTwo(this->two.address());
  this->openStream();
  RawSocket next = this->awaitNext();
  next.send(RelayWorld::streamHead("id-1") + RelayWorld::event(2));
  EXPECT_EQ(this->replica->readToEnd(), "");
  next.send(RelayWorld::kLastChunk);
  EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 2"));
}

TEST_F(RelayReplacedAttemptTest, ACallerThatLeavesEndsBothAttempts)
{
  // Guards against a replica that works for a caller that has left.
  this->startTwo(this->two.address());
  this->openStream();
  RawSocket next = this->awaitNext();
  this->caller->close();
  EXPECT_EQ(this->replica->readToEnd(), "");
  EXPECT_EQ(next.readToEnd(), "");
}

TEST_F(RelayReplacedAttemptTest, ANextAttemptThatBreaksOffCostsNoStream)
{
  // The same as with a refusal, where the other replica closes.
  this->startTwo(this->two.address());
  this->openStream();
  this->awaitNext().close();
  this->awaitRestored(1);
  this->expectEnd();
}

TEST_F(RelayReplacedAttemptTest, AFinalErrorOfTheNextAttemptIsForwarded)
{
  // Guards against a timeout where a replica has rejected the request for good.
  RawSocket next = this->openReplaced();
  next.send(RelayWorld::answer("id-1", "no", "400 Bad Request", ""));
  this->expectStatus("400 Bad Request");
}

TEST_F(RelayReplacedAttemptTest, AnAnswerToAnotherRequestIsNoProgress)
{
  // Guards against a running attempt that ends for a late answer elsewhere.
  RawSocket next = this->openReplaced();
  this->replica->send(RelayWorld::answer("id-0", "old"));
  this->world.settle();
  EXPECT_EQ(this->world.counter("attempts_restored_total"), 0U);
  this->expectWholeFrom(next);
}

TEST_F(RelayReplacedAttemptTest, ManyInterimAnswersEndOnlyTheirAttempt)
{
  // Guards against a bound on one replica's answers that ends another's.
  RawSocket next = this->openReplaced();
  std::string interim;
  for (int i = 0; i < 200; ++i) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  this->replica->send(interim);
  this->world.settle();
  this->expectWholeFrom(next);
}

TEST_F(RelayReplacedAttemptTest, AnAnswerThatEndsWithItsConnectionIsWhole)
{
  // Guards against a complete stream that is cut, for it had no length.
  this->startTwo(this->two.address());
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  this->replica->send("HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s\r\n\r\n" +
                      RelayWorld::eventText(1));
  this->caller->readUntil("id: 1");
  RawSocket next = this->awaitNext();
  this->replica->close();
  EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "0\r\n\r\n"));
}

TEST_F(RelayReplacedAttemptTest, ALargePartOfAnEventBesideAHangingConnection)
{
  // Guards against a relay that ends when it counts what it holds.
  const FullListener full;
  this->startTwo(full.address());
  this->openStream();
  this->replica->send(
    RelayWorld::chunk("id: 2\ndata: " + std::string(20'000, 'x')));
  this->world.settle();
  this->passSilence();
  EXPECT_GE(this->world.counter("attempts_doubted_total"), 1U);
  this->replica->send(RelayWorld::chunk("x\n\n") + RelayWorld::kLastChunk);
  EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 2"));
}

TEST_F(RelayReplacedAttemptTest, ADeadlineIsKeptWhileTwoConnectionsHang)
{
  // Guards against a request that no timer wakes.
  const FullListener second;
  const FullListener third;
  for (RelayRoute& route : this->world.config->routes["shop.example"]) {
    route.timeout = std::chrono::seconds{ 3 };
  }
  this->startWith("plain", { "one" });
  this->openRequest("/again/x");
  this->world.addReplica("two", "plain", second.address());
  this->world.addReplica("three", "plain", third.address());
  this->world.publishReplicas(2);
  this->world.advance(std::chrono::milliseconds{ 300 });
  this->replica->close();
  this->world.settle();
  this->passSilence();
  this->passSilence();
  this->passSilence();
  EXPECT_EQ(this->world.loop->openRequests(), 0U);
}

} // namespace
} // namespace poplartrack
