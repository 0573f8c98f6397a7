#include <map>

#include "PeerSocket.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** A stream through three replicas, of which only the first one is connected to
 * the relay. A fourth one holds the same layers as the second. */
class RelayLossProbeTest : public ::testing::Test
{
protected:
  /** Starts a stream that has had three events. aReaches: which status queries
   * end, by the port of the replica, and whether with a report. */
  void startStream(const std::map<std::uint16_t, bool>& aReaches)
  {
    // The stream is late, and replicas are asked, only when the test says so.
    this->world.useManualClock();
    this->world.setPeers({ this->peer.address() });
    this->world.onQuery = [this, aReaches](const Address& aTo, auto aDone) {
      this->lastAsked += aTo.port == 3 ? 1 : 0;
      // The answer comes later than the question.
      this->world.manualClock.advance(std::chrono::milliseconds{ 1 });
      const auto found = aReaches.find(aTo.port);
      if (found != aReaches.end()) {
        ReplicaReport report;
        report.reached = found->second;
        aDone(report);
      }
    };
    this->world.addThreeParts(this->first.address());
    this->world.start();
    this->caller.emplace(this->world.sendRequest(
      "/stream/x", "id-1", "X-Tokens: 5,50\r\nX-Hint: 50\r\n"));
    this->replica.emplace(this->first.accept());
    this->replica->readUntil("\r\n\r\n");
    this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                        RelayWorld::event(2) + RelayWorld::event(3));
    this->caller->readUntil("id: 3");
    this->world.addModelReplica("four", { "127.0.0.1", 4 }, { 3, 6 }, "a");
    this->world.publishReplicas(2);
  }
  void expectEnd()
  {
    this->replica->send(RelayWorld::event(4) + RelayWorld::kLastChunk);
    EXPECT_TRUE(has(this->caller->readUntil("0\r\n\r\n"), "id: 4"));
  }

  RawListener first;
  PeerSocket peer;
  /** How often the last replica of the path was asked. */
  std::atomic<int> lastAsked{ 0 };
  RelayWorld world;
  std::optional<RawSocket> caller;
  std::optional<RawSocket> replica;
};

TEST_F(RelayLossProbeTest, AStreamLeavesALostPartBeforeItsFirstReplicaReports)
{
  // The first replica was asked alone, at the stall timeout, and the others
  // only after its report. Here it never reports.
  this->startStream({ { 2, false }, { 3, true } });
  EXPECT_TRUE(this->world.advanceUntil(
    [this] { return this->world.lastRepath() == "one;four;three;"; }));
  // Only the new part prefills, and it reads the answer so far as well. Other
  // moved streams would avoid the parts that keep their cache.
  std::map<std::string, std::uint32_t> prefill;
  EXPECT_TRUE(this->world.advanceUntil([&] {
    if (const auto message = this->peer.receive()) {
      prefill.clear();
      for (const LoadRow& row : message->status.loads) {
        prefill[row.replica] = row.prefillTokens;
      }
    }
    return prefill.contains("four");
  }));
  EXPECT_EQ(prefill,
            (std::map<std::string, std::uint32_t>{
              { "one", 0 }, { "four", 5 + 3 * 2 }, { "three", 0 } }));
  this->expectEnd();
}

TEST_F(RelayLossProbeTest, NoReplicaCountsAsLostWhilePacketsWaitAtTheOwnLink)
{
  // The questions and their answers are in the queue of this relay's own link.
  this->startStream({ { 2, false }, { 3, true } });
  PeerEcho echo;
  EXPECT_TRUE(this->world.advanceUntil([&] {
    if (const auto message = this->peer.receive()) {
      echo.incarnation = message->status.incarnation;
    }
    return echo.incarnation != 0;
  }));
  PeerStatus status;
  status.incarnation = 1;
  status.zone = "a";
  const auto sendLateEcho = [&] {
    ++status.sentAt;
    echo.sentAt = (this->world.shared.clock.now() - std::chrono::seconds{ 1 })
                    .time_since_epoch()
                    .count();
    echo.heldFor = 0;
    this->peer.send(this->world.loop->peersAddress(), status, {}, echo);
  };
  for (int round = 0; round < 80; ++round) {
    sendLateEcho();
    this->world.advance(kRound);
  }
  EXPECT_TRUE(this->world.shared.lostReplicas.read()->empty());
  EXPECT_EQ(this->world.repaths, 0);
  this->expectEnd();
}

TEST_F(RelayLossProbeTest, AStreamStaysWhenTheRelayIsCutOffFromAllReplicas)
{
  // If the relay took every replica for lost, it would have no path for
  // seconds after it is connected again.
  this->startStream(
    { { this->first.address().port, false }, { 2, false }, { 3, false } });
  EXPECT_TRUE(this->world.advanceUntil([this] { return this->lastAsked > 2; }));
  EXPECT_TRUE(this->world.shared.lostReplicas.read()->empty());
  EXPECT_EQ(this->world.repaths, 0);
  this->expectEnd();
}

} // namespace
} // namespace poplartrack
