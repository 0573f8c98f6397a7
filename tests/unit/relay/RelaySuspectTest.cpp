// How long a replica that was silent stays out of use.

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "FullListener.h"
#include "PeerSocket.h"
#include "RelayFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

using std::chrono::milliseconds;

/** A relay whose replicas answer status queries unless they are silent. Its
 * clock is advanced by the test. */
class RelaySuspectTest : public RelayFixture
{
protected:
  RelaySuspectTest()
  {
    this->world.useManualClock();
    this->world.config->routes["shop.example"][2].attempts = 4;
    this->world.onQuery = [this](const Address& aReplica, const auto& aDone) {
      ReplicaReport report;
      report.reached = !this->silent || aReplica != this->one.address();
      aDone(report);
    };
  }
  /** Starts the relay with one replica of the model. */
  void startOne()
  {
    this->world.addReplica("one", "model", this->one.address());
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
  /** Lets this time pass in rounds of the wait queue. */
  void pass(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kRound) {
      this->world.advance(kRound);
    }
  }
  /** Has the first replica fall silent for this long, or until it is said to
   * answer again. */
  void beginSilence(Duration aTime)
  {
    this->silent = true;
    this->pass(aTime);
  }
  /** Has the only replica fall silent under a stream that its caller leaves. */
  void leaveAtSilentReplica()
  {
    this->startOne();
    this->openStream();
    this->beginSilence(kSilence);
    this->caller->close();
    ASSERT_TRUE(this->world.awaitOpen(0));
  }
  /** Moves a stream from the silent replica to the second one. */
  void moveToSecond()
  {
    this->startTwo();
    this->openStream();
    this->beginSilence(milliseconds{ 600 });
    this->replica.emplace(acceptRequest(this->two, this->head));
    this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(2));
    this->caller->readUntil("id: 2");
    // Its refusal would still restore the first attempt.
    this->pass(milliseconds{ 200 });
  }
  /** Sends the status message of a relay of the zone. */
  void reportFrom(const PeerSocket& aPeer, std::vector<std::string> aLost)
  {
    PeerStatus status;
    status.incarnation = 1;
    status.zone = "a";
    status.sentAt = ++this->sentAt;
    status.unreachable = std::move(aLost);
    aPeer.send(this->world.loop->peersAddress(), status);
    this->world.settle();
  }
  /** Ends the process of the second replica. */
  void loseSecond()
  {
    this->world.replicas.erase("two");
    this->world.publishReplicas(2);
    this->replica->close();
    this->world.settle();
  }
  /** Expects that the stream is resumed after its second event at the first
   * replica. */
  void expectBackAtFirst()
  {
    ASSERT_TRUE(this->awaitSends(3)) << this->world.logText();
    RawSocket third = acceptRequest(this->one, this->head);
    EXPECT_TRUE(has(this->head, "Last-Event-Id: 2\r\n")) << this->head;
    third.send(RelayWorld::streamHead("id-1") + RelayWorld::event(3) +
               RelayWorld::kLastChunk);
    EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 3"));
  }
  /** Waits at most as long as a started stream waits for a path, until the
   * relay has begun this many attempts, the last one at the first replica. */
  bool awaitSends(int aSends)
  {
    const std::string mark = "replica=one sends=" + std::to_string(aSends);
    for (Duration passed{ 0 }; passed < milliseconds{ 1'600 };
         passed += kRound) {
      if (has(this->world.logText(), mark)) {
        return true;
      }
      this->world.advance(kRound);
    }
    return false;
  }
  /** Expects that a request is sent to the first replica and answered. */
  void expectServed(RawSocket& aCaller)
  {
    RawSocket attempt = acceptRequest(this->one, this->head);
    attempt.send(RelayWorld::streamHead("id-2") + RelayWorld::event(1) +
                 RelayWorld::kLastChunk);
    EXPECT_TRUE(has(aCaller.readUntil("0\r\n\r\n"), "id: 1"));
  }

  static constexpr Duration kSilence = milliseconds{ 1'200 };
  std::atomic<bool> silent{ false };
  std::int64_t sentAt = 0;
};

TEST_F(RelaySuspectTest, AReplicaThatAnswersAgainIsUsedWithoutAnEvent)
{
  // Guards against 503 for seconds after a silence that its caller left.
  this->leaveAtSilentReplica();
  this->silent = false;
  this->pass(milliseconds{ 500 });
  RawSocket other = this->world.sendRequest("/stream/x", "id-2");
  ASSERT_TRUE(this->world.awaitOpen(1));
  this->expectServed(other);
}

TEST_F(RelaySuspectTest, AStreamReturnsToAReplicaThatWasSilentBefore)
{
  // Guards against a cut 1.5 s after the second replica closes.
  this->moveToSecond();
  this->silent = false;
  this->pass(milliseconds{ 500 });
  this->loseSecond();
  this->expectBackAtFirst();
}

TEST_F(RelaySuspectTest, AStreamReturnsToAReplicaWhoseSilenceEndsMeanwhile)
{
  // Guards against a cut although the first replica is about to go on.
  this->moveToSecond();
  this->loseSecond();
  this->pass(milliseconds{ 600 });
  this->silent = false;
  this->expectBackAtFirst();
}

TEST_F(RelaySuspectTest, ANewRequestWaitsForAReplicaThatIsSilent)
{
  // Guards against 503 for what the only replica could serve in a second.
  this->leaveAtSilentReplica();
  RawSocket other = this->world.sendRequest("/stream/x", "id-2");
  ASSERT_TRUE(this->world.awaitOpen(1));
  this->silent = false;
  this->pass(milliseconds{ 400 });
  this->expectServed(other);
}

TEST_F(RelaySuspectTest, ASilentReplicaIsAskedUntilItAnswers)
{
  // Guards against a mark that nobody looks at again.
  this->leaveAtSilentReplica();
  const int before = this->world.statusQueries;
  this->pass(milliseconds{ 2'000 });
  EXPECT_GE(this->world.statusQueries - before, 5);
  EXPECT_LE(this->world.statusQueries - before, 11);
}

TEST_F(RelaySuspectTest, ARequestIsRefusedAtOnceWhenTheSilenceIsTooLong)
{
  // Guards against requests that wait for a replica that is truly lost.
  this->leaveAtSilentReplica();
  this->pass(milliseconds{ 1'500 });
  this->caller.emplace(this->world.sendRequest("/stream/x", "id-2"));
  this->expectStatus("503");
}

TEST_F(RelaySuspectTest, AReplicaThatAnotherRelayReachesAgainIsAskedAtOnce)
{
  // Guards against relays that keep a replica out of use until their own turn.
  PeerSocket peer;
  this->world.setPeers({ peer.address() });
  this->leaveAtSilentReplica();
  this->reportFrom(peer, { "one" });
  this->silent = false;
  this->world.manualClock.advance(milliseconds{ 100 });
  this->reportFrom(peer, {});
  RawSocket other = this->world.sendRequest("/stream/x", "id-2");
  this->expectServed(other);
}

TEST_F(RelaySuspectTest, APlainReplicaWithoutReportsIsUsedAgain)
{
  // Guards against a plain replica that is out of use until it leaves the list.
  const FullListener full;
  this->world.onQuery = [](const Address&, const auto& aDone) {
    ReplicaReport report;
    report.replied = true;
    aDone(report);
  };
  this->world.addReplica("one", "plain", full.address());
  this->world.start();
  this->caller.emplace(this->world.sendRequest("/once/x", "id-1"));
  ASSERT_TRUE(this->world.awaitOpen(1));
  this->pass(milliseconds{ 1'000 });
  this->expectStatus("503");
  this->pass(milliseconds{ 400 });
  EXPECT_TRUE(has(this->world.logText(), "by=status_answer out_ms="));
}

TEST_F(RelaySuspectTest, AnAnswerThatIsNoReportNeitherEndsNorProlongsAMark)
{
  // Guards against requests to another service at the address of a replica, and
  // against a mark without end.
  this->leaveAtSilentReplica();
  this->world.onQuery = [](const Address&, const auto& aDone) {
    ReplicaReport report;
    report.replied = true;
    aDone(report);
  };
  this->pass(milliseconds{ 3'000 });
  EXPECT_FALSE(has(this->world.logText(), "event=not_lost"));
  this->pass(milliseconds{ 1'600 });
  EXPECT_TRUE(has(this->world.logText(), "by=expiry out_ms="));
}

TEST_F(RelaySuspectTest, ARelayAsksInItsTurnWhileAnotherReportsInTurn)
{
  // Guards against queries of all relays of a fleet for each change of one.
  std::vector<PeerSocket> peers(20);
  std::vector<Address> addresses;
  addresses.reserve(peers.size());
  for (const PeerSocket& peer : peers) {
    addresses.push_back(peer.address());
  }
  this->world.setPeers(addresses);
  this->leaveAtSilentReplica();
  for (const PeerSocket& peer : peers) {
    this->reportFrom(peer, { "one" });
  }
  const int before = this->world.statusQueries;
  for (int i = 0; i < 10; ++i) {
    this->reportFrom(peers.front(), {});
    this->world.manualClock.advance(milliseconds{ 100 });
    this->reportFrom(peers.front(), { "one" });
    this->world.manualClock.advance(milliseconds{ 100 });
  }
  EXPECT_LE(this->world.statusQueries - before, 2);
}

TEST_F(RelaySuspectTest, TheLogSaysWhyAReplicaIsOutOfUseAndWhatBroughtItBack)
{
  this->leaveAtSilentReplica();
  EXPECT_TRUE(has(this->world.logText(), "evidence=silence for_ms=4000"));
  this->silent = false;
  this->pass(milliseconds{ 500 });
  EXPECT_TRUE(has(this->world.logText(), "by=status_answer out_ms="));
}

} // namespace
} // namespace poplartrack
