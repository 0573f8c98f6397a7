#include <functional>

#include "PeerSocket.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Test fixture: a relay whose model has no replica. */
class RelayReturnTest : public ::testing::Test
{
protected:
  RelayReturnTest()
  {
    for (RelayWorld* relay : { &this->world, &this->other }) {
      relay->load.returnBookings = true;
      // A relay whose replica list is empty makes requests wait for it.
      relay->addReplica("plain", "plain", { "127.0.0.1", 1 });
    }
  }

  /** Sends a request of a caller with little time, and reads the rejection. */
  static std::string reject(const RelayWorld& aRelay,
                            const std::string& aId,
                            const std::string& aBody)
  {
    return aRelay.sendRequest("/stream/x", aId, "X-Deadline: 300\r\n", aBody)
      .readUntil("\r\n\r\n");
  }

  /** Sends a request that the relay recognizes as a return, and that waits. A
   * return is recognized only for 2 s after it is due. */
  static RawSocket sendReturn(RelayWorld& aRelay,
                              const std::string& aId,
                              const std::string& aMore)
  {
    RawSocket caller = aRelay.sendRequest("/stream/x", aId, aMore, "x");
    EXPECT_EQ(aRelay.awaitCounter("returns_recognized_total", 1), 1U);
    return caller;
  }

  RelayWorld world;
  RelayWorld other;
};

TEST_F(RelayReturnTest, ARejectedCallerIsRecognizedIfTurnedOn)
{
  this->world.useManualClock();
  this->world.start();
  this->other.load.returnBookings = false;
  this->other.start();
  EXPECT_TRUE(has(reject(this->world, "first", "x"), "Retry-After"));
  reject(this->world, "second", "y");
  EXPECT_EQ(this->world.counter("returns_recognized_total"), 0U);
  RawSocket third = sendReturn(this->world, "third", "X-Deadline: 300\r\n");
  this->world.advance(std::chrono::milliseconds{ 300 });
  third.readUntil("\r\n\r\n");
  this->world.settle();
  EXPECT_EQ(this->world.counter("returns_booked_total"), 2U);
  EXPECT_EQ(this->world.counter("returns_recognized_total"), 1U);
  EXPECT_EQ(this->world.counter("returns_refused_again_total"), 1U);
  EXPECT_TRUE(has(reject(this->other, "first", "x"), "Retry-After"));
  reject(this->other, "second", "x");
  this->other.settle();
  EXPECT_EQ(this->other.counter("returns_booked_total"), 0U);
  EXPECT_EQ(this->other.counter("returns_recognized_total"), 0U);
}

/** Guards against a caller that counts as new at another relay, or because the
 * relay that rejected it was stopping and had not looked up its account. */
TEST_F(RelayReturnTest, ACallerOfAStoppingRelayIsRecognizedAtAnotherOne)
{
  const PeerSocket peer;
  PeerStatus status;
  status.incarnation = 1;
  status.zone = "a";
  this->world.shared.refusesRequests = true;
  // A return is reported for a second: the peer is known before, so that the
  // relay sends it at once.
  this->world.setPeers({ peer.address() });
  this->world.start();
  this->other.useManualClock();
  this->other.start();
  reject(this->world, "first", "x");
  ASSERT_TRUE(waitFor([&] {
    if (!status.returns.empty()) {
      return true;
    }
    peer.send(this->world.loop->peersAddress(), status);
    if (const auto message = peer.receive()) {
      status = message->status;
    }
    return false;
  }));
  peer.send(this->other.loop->peersAddress(), status);
  EXPECT_TRUE(
    waitFor([this] { return !this->other.shared.peers.read()->empty(); }));
  sendReturn(this->other, "second", "X-Deadline: 300\r\n");
}

/** Guards against demand that rises with each rejection, because rejected
 * callers return. */
TEST_F(RelayReturnTest, AReturnIsNotCountedAsDemandAgain)
{
  const PeerSocket peer;
  PeerStatus status;
  status.incarnation = 1;
  status.zone = "a";
  this->world.load.demandPlacement = true;
  this->world.start();
  for (const std::string tokens : { "3000", "3000000" }) {
    this->world
      .sendRequest("/stream/x",
                   "id-" + tokens,
                   "X-Deadline: 300\r\nX-Tokens: " + tokens + "\r\n",
                   "x")
      .readUntil("\r\n\r\n");
  }
  EXPECT_EQ(this->world.awaitCounter("returns_recognized_total", 1), 1U);
  EXPECT_TRUE(waitFor([&] {
    peer.send(this->world.loop->peersAddress(), status);
    if (const auto message = peer.receive()) {
      status = message->status;
    }
    return !status.demand.empty();
  }));
  ASSERT_FALSE(status.demand.empty());
  EXPECT_LT(status.demand[0].promptTokens, 10'000U);
}

/** Guards against a return that is rejected at once, although its caller has
 * time left and the missing replica is about to come. */
TEST_F(RelayReturnTest, AReturnWaitsForLayersThatAreMissing)
{
  RawListener replica;
  this->world.useManualClock();
  this->world.start();
  reject(this->world, "first", "x");
  const RawSocket returned =
    sendReturn(this->world, "second", "X-Deadline: 60000\r\n");
  this->world.addReplica("one", "model", replica.address());
  this->world.publishReplicas(2);
  // It waits for 1.9 s; the relay reads its list every 200 ms.
  for (Duration waited{ 0 }; waited < std::chrono::milliseconds{ 300 };
       waited += kRound) {
    this->world.advance(kRound);
  }
  RawSocket attempt = replica.accept();
  EXPECT_TRUE(has(attempt.readUntil("\r\n\r\n"), "second"));
}

/** Guards against callers that are told to return later than necessary, because
 * only complete answers count as capacity that becomes free. */
TEST_F(RelayReturnTest, EachEndOfARequestThatRanCountsOnce)
{
  constexpr auto kDeadline = std::chrono::milliseconds{ 300 };
  this->world.useManualClock();
  for (RelayRoute& route : this->world.config->routes["shop.example"]) {
    route.targets = { { "model", 1 } };
  }
  RawListener replica;
  this->world.addReplica("one", "model", replica.address());
  this->world.start();
  const auto answer = [](RawSocket& aAttempt, const char* aStatus) {
    aAttempt.send(RelayWorld::answer(
      "id", "", aStatus, "X-Stamp: s\r\nConnection: close\r\n"));
  };
  using End = std::function<void(RawSocket & aCaller, RawSocket & aAttempt)>;
  const auto run = [&](const char* aPath, const End& aEnd) {
    RawSocket caller =
      this->world.sendRequest(aPath, "id", "X-Deadline: 300\r\n");
    RawSocket attempt = replica.accept();
    attempt.readUntil("\r\n\r\n");
    aEnd(caller, attempt);
    EXPECT_TRUE(
      waitFor([this] { return this->world.loop->openRequests() == 0; }));
    return this->world.counter("returns_capacity_freed_total");
  };
  EXPECT_EQ(run("/once/complete",
                [&](auto&, auto& aAttempt) { answer(aAttempt, "200 OK"); }),
            1U);
  EXPECT_EQ(run("/once/error",
                [&](auto&, auto& aAttempt) { answer(aAttempt, "400 Bad"); }),
            2U);
  EXPECT_EQ(run("/again/retried",
                [&](auto&, auto& aAttempt) {
                  answer(aAttempt, "500 Failed");
                  RawSocket second = replica.accept();
                  second.readUntil("\r\n\r\n");
                  answer(second, "200 OK");
                }),
            3U);
  EXPECT_EQ(run("/once/left", [](auto& aCaller, auto&) { aCaller.close(); }),
            4U);
  EXPECT_EQ(
    run("/once/late",
        [&](auto&, auto&) { this->world.manualClock.advance(kDeadline); }),
    5U);
  // The replica's backoff lasts longer than the deadline.
  EXPECT_EQ(
    run("/once/not-run",
        [&](auto&, auto& aAttempt) {
          aAttempt.send(RelayWorld::answer(
            "id", "", "503 Full", "X-Not-Run: 1\r\nRetry-After: 1\r\n"));
          EXPECT_EQ(
            this->world.awaitCounter("replica_backoffs_requested_total", 1),
            1U);
          this->world.manualClock.advance(kDeadline);
        }),
    5U);
  this->world.manualClock.advance(std::chrono::seconds{ 1 });
  EXPECT_EQ(
    run("/once/broken", [](auto&, auto& aAttempt) { aAttempt.close(); }), 6U);
}

} // namespace
} // namespace poplartrack
