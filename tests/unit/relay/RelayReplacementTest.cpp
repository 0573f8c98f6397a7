// When a running attempt gives way to another one, and to which.

#include <future>

#include "PeerSocket.h"
#include "RelayReplacementFixture.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Addresses of parts of a path that the relay does not connect to. */
const Address kSecondPart{ "127.0.0.1", 2 };
const Address kThirdPart{ "127.0.0.1", 3 };

class RelayReplacementTest : public RelayReplacementFixture
{
protected:
  /** Starts the relay with two replicas, each with half of the layers. */
  void startHalves()
  {
    this->world.addModelReplica("one", this->one.address(), { 0, 5 }, "a");
    this->world.addModelReplica("two", kSecondPart, { 5, 10 }, "a");
    this->world.replicas["one"].slots = 4;
    this->world.start();
  }
  /** Returns a report, by which the request of the test waits for the second
   * part if it is that of the first replica. */
  ReplicaReport reportOf(const Address& aReplica) const
  {
    ReplicaReport report;
    report.reached = true;
    if (aReplica == this->one.address()) {
      report.stalled.push_back({ "id-1", kSecondPart });
    }
    return report;
  }
};

TEST_F(RelayReplacementTest, AnAttemptGoesOnWhileTheNextOneIsNotConnected)
{
  // Guards against an attempt that is given up for one that cannot begin.
  this->startTwo(harness::deadAddress());
  this->openRequest("/stream/x", "X-Tokens: 5,5\r\n");
  this->passSilence();
  ASSERT_EQ(this->world.loop->openRequests(), 1U);
  this->replica->send(RelayWorld::streamHead("id-1") + RelayWorld::event(1) +
                      RelayWorld::kLastChunk);
  const std::string answer = this->caller->readUntil("0\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

TEST_F(RelayReplacementTest, ARequestThatMayRunOnceStaysAtItsSilentReplica)
{
  // Guards against a second run of a request that must not run twice.
  this->world.config->routes["shop.example"][0].targets = { { "model", 1 } };
  this->startTwo(this->two.address());
  this->openRequest("/once/x", "X-Tokens: 5,5\r\n");
  this->passSilence();
  this->replica->send(RelayWorld::answer("id-1", "whole"));
  EXPECT_TRUE(this->caller->readUntil("whole").starts_with("HTTP/1.1 200 OK"));
}

TEST_F(RelayReplacementTest, AnAttemptWhoseEventHasArrivedIsNotReplaced)
{
  // Guards against a slow relay that takes its own delay for a silence.
  std::mutex guard;
  std::vector<std::function<void(ReplicaReport)>> queries;
  this->world.onQuery = [&](const Address&, const auto& aDone) {
    const std::scoped_lock lock{ guard };
    queries.push_back(aDone);
  };
  this->startTwo(this->two.address());
  this->openStream();
  ASSERT_TRUE(this->world.advanceUntil([&] {
    const std::scoped_lock lock{ guard };
    return !queries.empty();
  }));
  std::promise<void> blocked;
  std::promise<void> sent;
  this->world.loop->post([&] {
    blocked.set_value();
    sent.get_future().wait();
  });
  blocked.get_future().wait();
  this->replica->send(RelayWorld::event(2));
  queries.front()(ReplicaReport{});
  sent.set_value();
  this->expectEnd();
}

TEST_F(RelayReplacementTest, ALateOutcomeOfAMoveConcernsNoLaterAttempt)
{
  // Guards against a path of an earlier attempt on the one that replaced it.
  RawListener four;
  std::atomic<bool> reports{ true };
  std::function<void(RepathOutcome)> outcome;
  this->world.onRepath = [&](const auto& aDone) { outcome = aDone; };
  this->world.onQuery = [&](const Address& aReplica, const auto& aDone) {
    aDone(reports ? this->reportOf(aReplica) : ReplicaReport{});
  };
  this->startHalves();
  this->openStream("X-Tokens: 5,50\r\n");
  this->world.addModelReplica("three", kThirdPart, { 5, 10 }, "a");
  this->world.publishReplicas(2);
  ASSERT_TRUE(
    this->world.advanceUntil([this] { return this->world.repaths > 0; }));
  reports = false;
  this->world.addModelReplica("four", four.address(), { 0, 10 }, "b");
  this->world.publishReplicas(3);
  ASSERT_TRUE(this->world.advanceUntil(
    [this] { return this->world.counter("attempts_doubted_total") > 0; }));
  RawSocket next = acceptRequest(four, this->head);
  next.send(RelayWorld::streamHead("id-1") + RelayWorld::event(2));
  this->caller->readUntil("id: 2");
  const std::uint64_t before = this->world.counter("attempts_doubted_total");
  outcome(RepathOutcome::Failed);
  this->world.settle();
  EXPECT_EQ(this->world.counter("attempts_doubted_total"), before);
}

TEST_F(RelayReplacementTest, AnAttemptIsNotReplacedByOneAtTheSameReplica)
{
  // Guards against a second prefill where the attempt runs already.
  std::atomic<bool> blocked{ false };
  this->world.repathOutcome = RepathOutcome::Moved;
  this->world.onQuery = [&](const Address& aReplica, const auto& aDone) {
    ReplicaReport report;
    report.reached = true;
    aDone(blocked ? this->reportOf(aReplica) : report);
  };
  this->startHalves();
  this->openStream("X-Tokens: 5,50\r\n");
  this->world.addModelReplica("three", kThirdPart, { 5, 10 }, "b");
  this->world.publishReplicas(2);
  blocked = true;
  EXPECT_TRUE(
    this->world.advanceUntil([this] { return this->world.repaths > 0; }));
  this->expectEnd();
}

TEST_F(RelayReplacementTest, ASilentPartOfAPathIsNotTakenForCrashed)
{
  // Guards against a quarantine of requests whose replicas were only silent.
  PeerSocket peer;
  this->world.onQuery = [this](const Address& aReplica, const auto& aDone) {
    aDone(this->reportOf(aReplica));
  };
  this->world.setPeers({ peer.address() });
  this->startHalves();
  this->openRequest("/stream/x", "X-Tokens: 5,50\r\nX-Parts: aa:5,bb:5\r\n");
  PeerStatus status;
  status.incarnation = 1;
  status.zone = "a";
  status.unreachable = { "two" };
  for (int i = 0; i < 48; ++i) {
    ++status.sentAt;
    peer.send(this->world.loop->peersAddress(), status);
    this->world.advance(kRound);
  }
  EXPECT_EQ(this->world.counter("requests_at_ended_replicas_total"), 0U);
}

TEST_F(RelayReplacementTest, APlainRequestOutlivesAnUnansweredOutageProbe)
{
  // Guards against 502 for a request whose replica only gave no report.
  RawListener model;
  this->world.load.outagePlacement = true;
  this->world.shared.holdsLease = true;
  this->world.shared.leadsOutage = true;
  this->world.onQuery = [this](const Address& aReplica, const auto& aDone) {
    ReplicaReport report;
    report.refused = aReplica == this->one.address();
    report.reached = !report.refused;
    aDone(report);
  };
  this->world.addReplica("model", "model", model.address());
  this->startWith("plain", { "one" });
  this->openRequest("/once/x");
  this->passSilence();
  this->passSilence();
  this->replica->send(RelayWorld::answer("id-1", "whole"));
  EXPECT_TRUE(this->caller->readUntil("whole").starts_with("HTTP/1.1 200 OK"));
}

} // namespace
} // namespace poplartrack
