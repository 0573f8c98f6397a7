// Replicas that fail every request that begins there.

#include "AnsweringReplica.h"
#include "PeerSocket.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

std::string
failing(const std::string& aHead)
{
  return RelayWorld::answer(headerValue(aHead, "X-Id"),
                            "",
                            "500 Internal Server Error",
                            "X-Stamp: s\r\nConnection: close\r\n");
}

std::string
streaming(const std::string& aHead)
{
  return RelayWorld::answer(headerValue(aHead, "X-Id"),
                            "id: 1\ndata: x\n\n",
                            "200 OK",
                            "X-Stamp: s\r\nConnection: close\r\n");
}

/** A relay whose model has a replica that fails every request and may have one
 * that serves them. */
class RelayOutlier : public ::testing::Test
{
protected:
  void addGood()
  {
    this->world.addModelReplica("good", this->good.address(), { 0, 10 }, "b");
  }
  void start(bool aEjection)
  {
    // No ejection ends while a test runs.
    this->world.useManualClock();
    this->world.load.outlierEjection = aEjection;
    this->world.addModelReplica("bad", this->bad.address(), { 0, 10 }, "a");
    this->world.start();
  }
  /** Routes the requests for whole answers to the model. */
  void useWholeAnswers()
  {
    for (RelayRoute& route : this->world.config->routes["shop.example"]) {
      route.targets = { { "model", 1 } };
    }
  }
  RawSocket send(int aNumber)
  {
    return this->world.sendRequest("/stream/x",
                                   "id-" + std::to_string(aNumber));
  }

  /** Adds a second replica, which the test plays, and takes all its slots. */
  void fillBusy(int aSlots)
  {
    this->world.addModelReplica("busy", this->busy.address(), { 0, 10 }, "b");
    this->world.replicas.at("busy").slots = static_cast<std::uint32_t>(aSlots);
    this->start(true);
    for (int i = 0; i < aSlots; ++i) {
      this->connections.push_back(this->send(i));
      this->connections.push_back(this->busy.accept());
      this->connections.back().readUntil("\r\n\r\n");
    }
  }
  /** Ends the latest request at that replica, and expects that the one that
   * waits is sent there next. */
  void expectNextAtBusy(int aSlots)
  {
    const std::string last = std::to_string(aSlots - 1);
    this->connections.back().send(streaming("X-Id: id-" + last + "\r\n"));
    ASSERT_TRUE(this->world.awaitOpen(static_cast<std::size_t>(aSlots)));
    this->world.advance(2 * kRound);
    RawSocket served = this->busy.accept();
    EXPECT_TRUE(has(served.readUntil("\r\n\r\n"),
                    "X-Id: id-" + std::to_string(aSlots) + "\r\n"));
    EXPECT_EQ(this->bad.heads().size(), 3U);
  }

  AnsweringReplica bad{ failing };
  AnsweringReplica good{ streaming };
  RawListener busy;
  RelayWorld world;
  std::vector<RawSocket> connections;
};

/** Guards against callers that receive the errors of a replica that is never
 * busy because it fails at once. */
TEST_F(RelayOutlier, StreamsThatAReplicaFailsRunElsewhere)
{
  this->addGood();
  this->start(true);
  for (int i = 0; i < 8; ++i) {
    RawSocket caller = this->send(i);
    EXPECT_TRUE(has(caller.readUntil("id: 1"), "200 OK")) << i;
  }
  EXPECT_EQ(this->bad.heads().size(), 3U);
  EXPECT_EQ(this->world.awaitCounter("replica_ejections_total", 1), 1U);
}

/** Guards against a service that is out of use because its only replica was
 * ejected. */
TEST_F(RelayOutlier, TheOnlyReplicaStaysInUse)
{
  this->start(true);
  for (int i = 0; i < 6; ++i) {
    RawSocket caller = this->send(i);
    EXPECT_TRUE(has(caller.readUntil("\r\n\r\n"), " 500 ")) << i;
  }
  EXPECT_GE(this->bad.heads().size(), 6U);
}

/** Guards against callers that receive the errors of an ejected replica while
 * the healthy one is busy for a moment. */
TEST_F(RelayOutlier, ARequestWaitsWhileTheHealthyReplicaIsBusy)
{
  constexpr int kSlots = 8;
  this->fillBusy(kSlots);
  EXPECT_EQ(this->bad.heads().size(), 3U);
  const RawSocket caller = this->send(kSlots);
  ASSERT_TRUE(this->world.awaitOpen(kSlots + 1));
  this->expectNextAtBusy(kSlots);
}

/** Guards against a service that rejects requests because its only healthy
 * replica releases its layers while the other one is ejected. */
TEST_F(RelayOutlier, ARequestUsesAnnouncedLayersRatherThanAnEjectedReplica)
{
  this->world.load.demandPlacement = true;
  this->addGood();
  this->start(true);
  for (int i = 0; i < 4; ++i) {
    this->send(i).readUntil("id: 1");
  }
  const PeerSocket peer;
  PeerStatus status;
  status.incarnation = 1;
  status.zone = "a";
  status.holdsLease = true;
  status.releases.push_back(ReleaseRow{ "good", 0, 10 });
  EXPECT_TRUE(waitFor([&] {
    ++status.sentAt;
    peer.send(this->world.loop->peersAddress(), status);
    return this->world.shared.peerHoldsLease.load();
  }));
  RawSocket caller = this->send(4);
  EXPECT_TRUE(has(caller.readUntil("id: 1"), "200 OK"));
  EXPECT_EQ(this->bad.heads().size(), 3U);
}

/** Guards against the ejection of a sound replica whose answers are no streams:
 * single failures among many whole answers. */
TEST_F(RelayOutlier, WholeAnswersAreSuccesses)
{
  this->useWholeAnswers();
  AnsweringReplica flaky{ [](const std::string& aHead) {
    return has(aHead, "X-Id: fails-") ? failing(aHead) : streaming(aHead);
  } };
  this->world.addModelReplica("flaky", flaky.address(), { 0, 10 }, "a");
  this->world.load.outlierEjection = true;
  this->world.start();
  for (int i = 0; i < 4; ++i) {
    const std::string id = std::to_string(i);
    RawSocket served = this->world.sendRequest("/once/x", "works-" + id);
    EXPECT_TRUE(has(served.readUntil("\r\n\r\n"), " 200 ")) << i;
    RawSocket failed = this->world.sendRequest("/once/x", "fails-" + id);
    EXPECT_TRUE(has(failed.readUntil("\r\n\r\n"), " 500 ")) << i;
  }
  this->world.settle();
  EXPECT_EQ(this->world.counter("replica_ejections_total"), 0U);
}

/** Guards against the ejection of a sound replica that is overloaded, so that
 * deadlines end there. */
TEST_F(RelayOutlier, DeadlinesThatEndAtAReplicaAreNoFailures)
{
  AnsweringReplica slow{ [](const std::string& aHead) {
    return RelayWorld::answer(headerValue(aHead, "X-Id"),
                              "",
                              "504 Gateway Timeout",
                              "X-Stamp: s\r\nConnection: close\r\n");
  } };
  this->world.addModelReplica("slow", slow.address(), { 0, 10 }, "a");
  this->world.load.outlierEjection = true;
  this->world.start();
  for (int i = 0; i < 4; ++i) {
    RawSocket caller = this->send(i);
    EXPECT_TRUE(has(caller.readUntil("\r\n\r\n"), " 504 ")) << i;
  }
  this->world.settle();
  EXPECT_EQ(this->world.counter("replica_ejections_total"), 0U);
}

/** Guards against a second error for a caller whose request failed once, while
 * a healthy replica is only busy for a moment. */
TEST_F(RelayOutlier, ARequestThatFailedWaitsWhileTheHealthyReplicaIsBusy)
{
  constexpr int kSlots = 2;
  this->fillBusy(kSlots);
  const RawSocket caller = this->send(kSlots);
  // Its failure is the third one. If the relay handled the end of another
  // request before, there would be nothing to wait for.
  EXPECT_EQ(this->world.awaitCounter("replica_ejections_total", 1), 1U);
  this->expectNextAtBusy(kSlots);
}

/** Guards against a change for deployments that do not ask for it. */
TEST_F(RelayOutlier, WithoutTheSettingAnErrorIsPassedOn)
{
  this->addGood();
  this->start(false);
  RawSocket caller = this->send(1);
  EXPECT_TRUE(has(caller.readUntil("\r\n\r\n"), " 500 "));
  EXPECT_TRUE(this->good.heads().empty());
}

/** Guards against requests that wait for a free replica behind one that avoids
 * it, because the failed search of that one counts for them as well. */
TEST_F(RelayOutlier, ARequestThatAvoidsAReplicaDoesNotKeepOthersFromIt)
{
  RawListener near;
  RawListener far;
  this->world.load.outlierEjection = true;
  this->world.addModelReplica("near", near.address(), { 0, 10 }, "a");
  this->world.addModelReplica("far", far.address(), { 0, 10 }, "b");
  for (const char* replica : { "near", "far" }) {
    this->world.replicas.at(replica).slots = 1;
  }
  // Requests wait for longer than the backoff that is requested below.
  for (RelayRoute& route : this->world.config->routes["shop.example"]) {
    route.objective = std::chrono::seconds{ 1 };
  }
  this->world.useManualClock();
  this->world.start();
  const RawSocket running = this->send(0);
  const RawSocket atNear = near.accept();
  const RawSocket avoiding = this->send(1);
  RawSocket refusing = far.accept();
  refusing.readUntil("\r\n\r\n");
  refusing.send(RelayWorld::answer(
    "id-1", "", "503 Full", "X-Not-Run: 1\r\nRetry-After: 1\r\n"));
  EXPECT_EQ(this->world.awaitCounter("replica_backoffs_requested_total", 1),
            1U);
  const RawSocket other = this->send(2);
  ASSERT_TRUE(this->world.awaitOpen(3));
  // The backoff has ended, and the request that avoids the replica is tried
  // first.
  this->world.advance(std::chrono::milliseconds{ 1'025 });
  RawSocket served = far.accept();
  EXPECT_TRUE(has(served.readUntil("\r\n\r\n"), "X-Id: id-2"));
}

} // namespace
} // namespace poplartrack
