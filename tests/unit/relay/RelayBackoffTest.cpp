// Replicas that reject a request and ask the relay for a pause.

#include <chrono>
#include <future>
#include <optional>

#include "AnsweringReplica.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Fields of a rejection that asks for a longer pause than any test takes. */
constexpr const char* kAskForPause =
  "X-Not-Run: 1\r\nRetry-After: 600\r\nConnection: close\r\n";
constexpr const char* kRejected = "503 Service Unavailable";

/** Longer than a relay avoids a replica that has rejected a request and asks
 * for no pause. */
constexpr Duration kAfterOwnBackoff = std::chrono::milliseconds{ 600 };

/** Sends requests one after the other, for at least kAfterOwnBackoff. */
void
sendForAWhile(const RelayWorld& aWorld, const std::string& aPath)
{
  const TimePoint end = runtimeNow() + kAfterOwnBackoff;
  for (int i = 0; runtimeNow() < end; ++i) {
    RawSocket caller = aWorld.sendRequest(
      aPath, "later-" + std::to_string(i), "X-Deadline: 400\r\n");
    caller.readUntil("\r\n\r\n");
  }
}

std::string
rejectAndAskForPause(const std::string& aId)
{
  return RelayWorld::answer(aId, "", kRejected, kAskForPause);
}

TEST(RelayBackoff, AReplicaGetsNoRequestDuringThePauseThatItAsksFor)
{
  AnsweringReplica replica{ [](const std::string& aHead) {
    return rejectAndAskForPause(headerValue(aHead, "X-Id"));
  } };
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  sendForAWhile(world, "/again/x");
  EXPECT_EQ(replica.heads().size(), 1U);
}

TEST(RelayBackoff, NoPathLeadsThroughAReplicaThatAsksForAPause)
{
  RawListener second;
  AnsweringReplica first{ [&second](const std::string& aHead) {
    return RelayWorld::answer(headerValue(aHead, "X-Id"),
                              "",
                              kRejected,
                              "X-Faulty: " + toText(second.address()) + "\r\n" +
                                kAskForPause);
  } };
  AnsweringReplica farFirst{ [](const std::string& aHead) {
    return RelayWorld::answer(headerValue(aHead, "X-Id"),
                              "id: 1\ndata: x\n\n",
                              "200 OK",
                              "X-Stamp: s\r\nConnection: close\r\n");
  } };
  RelayWorld world;
  world.addModelReplica("one", first.address(), { 0, 5 }, "a");
  world.addModelReplica("two", second.address(), { 5, 10 }, "a");
  world.start();
  world.sendRequest("/stream/x", "first").readUntil("\r\n\r\n");
  world.addModelReplica("three", farFirst.address(), { 0, 5 }, "b");
  world.addModelReplica("four", { "127.0.0.1", 1 }, { 5, 10 }, "b");
  world.publishReplicas(2);
  sendForAWhile(world, "/stream/x");
  EXPECT_EQ(first.heads().size(), 1U);
  for (const std::string& head : farFirst.heads()) {
    EXPECT_EQ(headerValue(head, "X-Path"), "three;four;");
  }
}

/** Test fixture: a model replica at which a stream runs and that has rejected a
 * later request. */
class RelayBackoffBesideAStream : public ::testing::Test
{
protected:
  RelayBackoffBesideAStream()
  {
    this->world.addReplica("one", "model", this->replica.address());
    this->world.replicas.at("one").slots = 8;
    this->world.start();
    this->earlier.emplace(this->world.sendRequest("/stream/x", "earlier"));
    this->streaming.emplace(this->replica.accept());
    this->streaming->readUntil("\r\n\r\n");
    this->streaming->send(RelayWorld::streamHead("earlier") +
                          RelayWorld::event(1));
    this->earlier->readUntil("id: 1");
    // Without a deadline, which could pass before the replica has rejected it.
    RawSocket rejected = this->world.sendRequest("/stream/x", "rejected");
    RawSocket rejecting = this->replica.accept();
    rejecting.readUntil("\r\n\r\n");
    rejecting.send(rejectAndAskForPause("rejected"));
    rejected.readUntil("\r\n\r\n");
  }

  RawListener replica;
  RelayWorld world;
  /** Connections of the stream: from its caller and to the replica. */
  std::optional<RawSocket> earlier;
  std::optional<RawSocket> streaming;
};

TEST_F(RelayBackoffBesideAStream, TheSuccessOfTheStreamDoesNotEndThePause)
{
  this->streaming->send(RelayWorld::kLastChunk);
  this->earlier->readUntil("0\r\n\r\n");
  RawSocket later =
    this->world.sendRequest("/stream/x", "later", "X-Deadline: 1000\r\n");
  EXPECT_TRUE(later.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
}

TEST_F(RelayBackoffBesideAStream, AStallCausesNoStatusQueryDuringThePause)
{
  const int before = this->world.statusQueries;
  sendForAWhile(this->world, "/stream/x");
  EXPECT_EQ(this->world.statusQueries, before);
}

TEST(RelayBackoff, ARequestWhoseConnectionIsOpeningIsNotSentIntoAPause)
{
  RawListener replica;
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  RawSocket rejected = world.sendRequest("/again/x", "rejected");
  RawSocket rejecting = replica.accept();
  rejecting.readUntil("\r\n\r\n");
  RawSocket opening = world.caller();
  // While the loop is held, the later request arrives, then the rejection.
  std::promise<void> held;
  std::promise<void> release;
  world.loop->post([&held, released = release.get_future().share()] {
    held.set_value();
    released.wait();
  });
  held.get_future().wait();
  opening.send(
    RelayWorld::request("/again/x", "later", "X-Deadline: 2000\r\n"));
  rejecting.send(rejectAndAskForPause("rejected"));
  release.set_value();
  EXPECT_TRUE(opening.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
  EXPECT_TRUE(rejected.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
}

TEST(RelayBackoff, ARejectedStatusQueryOrOrderAsksForAPauseToo)
{
  AnsweringReplica replica{ [](const std::string& aHead) {
    return rejectAndAskForPause(headerValue(aHead, "X-Id"));
  } };
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  // The list is taken over with the first request, which no replica serves.
  world.sendRequest("/stream/x", "first").readUntil("\r\n\r\n");
  world.shared.onReplicaSignals(replica.address(),
                                parseSignals({ 503, "600", {}, {} }));
  sendForAWhile(world, "/again/x");
  EXPECT_TRUE(replica.heads().empty());
}

} // namespace
} // namespace poplartrack
