// Parts of prompts that crash replicas, whatever else a request holds.

#include <atomic>
#include <thread>

#include "CrashingReplicas.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Bounds that the system guarantees: replicas that crash under one part before
 * it is detected, and the number of times that it is sent afterwards. */
constexpr int kMaxCrashes = 5;
constexpr int kMaxSentAfter = 3;
constexpr int kCalls = 20;

/** Sends a request with a content of its own and these shared parts; returns
 * the answer. */
std::string
callWith(const RelayWorld& aWorld, const std::string& aParts, int aNumber)
{
  const std::string number = std::to_string(aNumber);
  const std::string fields =
    "X-Parts: " + aParts + ",own" + number + ":9\r\nConnection: close\r\n";
  return aWorld
    .sendRequest("/again/x", "id-" + number, fields, number + " content")
    .readToEnd();
}

TEST(PromptPartCrash, APartThatCrashesReplicasIsQuarantined)
{
  RelayWorld world;
  CrashingReplicas replicas{ { &world }, "deadly:" };
  world.start();
  replicas.start();
  std::string answer;
  for (int i = 0; i < kCalls; ++i) {
    answer = callWith(world, "first:40,deadly:100", i);
    replicas.publish();
  }
  EXPECT_LE(replicas.sent(), kMaxCrashes + kMaxSentAfter);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
}

TEST(PromptPartCrash, RequestsThatShareOtherPartsAreServed)
{
  RelayWorld world;
  CrashingReplicas replicas{ { &world }, "deadly:" };
  world.start();
  replicas.start();
  for (int i = 0; i < kCalls; ++i) {
    callWith(world, "first:40,rare:7,deadly:100", 2 * i);
    replicas.publish();
    const std::string answer = callWith(world, "first:40,other:100", 2 * i + 1);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  }
  EXPECT_LE(replicas.sent(), kMaxCrashes + kMaxSentAfter);
  const std::string answer = callWith(world, "first:40,rare:7", 2 * kCalls);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

TEST(PromptPartCrash, APartQuarantinedAtOneRelayIsNotSentByAnother)
{
  RelayWorld first;
  RelayWorld second;
  CrashingReplicas replicas{ { &first, &second }, "deadly:" };
  first.start();
  second.start();
  first.setPeers({ second.loop->peersAddress() });
  replicas.start();
  for (int i = 0; i < kMaxCrashes; ++i) {
    callWith(first, "first:40,deadly:100", i);
    replicas.publish();
  }
  replicas.awaitReportAt(second);
  for (int i = 0; i < kCalls; ++i) {
    callWith(second, "first:40,deadly:100", kMaxCrashes + i);
    replicas.publish();
  }
  EXPECT_LE(replicas.sent(), kMaxCrashes + kMaxSentAfter);
}

TEST(PromptPartCrash, APartThatCrashesTheSecondReplicaOfAPathIsQuarantined)
{
  RelayWorld world;
  AcceptLoop first;
  std::atomic<int> sent{ 0 };
  first.start([&sent](RawSocket& aConnection) {
    aConnection.readUntil("\r\n\r\n");
    ++sent;
    // Until the relay gives the attempt up.
    aConnection.readToEnd();
  });
  world.config->routes["shop.example"][2].attempts = 1;
  world.addModelReplica("one", first.address(), LayerRange{ 0, 5 }, "a");
  world.addModelReplica(
    "two", harness::deadAddress(), LayerRange{ 5, 10 }, "a");
  world.start();
  Metrics& metrics = world.shared.metrics;
  const TimePoint waitUntil = runtimeNow() + std::chrono::seconds{ 60 };
  const auto refused = [&] { return metrics.refusals(ErrorKind::Quarantined); };
  for (int i = 0; i < kCalls && refused() == 0; ++i) {
    const int before = sent;
    const std::string number = std::to_string(i);
    RawSocket caller = world.sendRequest(
      "/stream/x",
      "id-" + number,
      "X-Tokens: 5,5\r\nX-Parts: first:40,deadly:100,own" + number + ":9\r\n");
    while (sent == before && refused() == 0 && runtimeNow() < waitUntil) {
      std::this_thread::yield();
    }
    const std::uint64_t restarts = metrics.counter("replica_restarts_total");
    world.restartReplica("two");
    world.replicas.at("two").layers = LayerRange{ 5, 10 };
    world.publishReplicas(static_cast<std::uint64_t>(i) + 2);
    while (metrics.counter("replica_restarts_total") == restarts &&
           refused() == 0 && runtimeNow() < waitUntil) {
      std::this_thread::yield();
    }
    // The run that took over the list has entered the crash.
    world.settle();
  }
  EXPECT_GT(refused(), 0U);
  EXPECT_LE(sent, kMaxCrashes + kMaxSentAfter);
}

TEST(PromptPartCrash, APartQuarantinedInTheStoreIsSentByNoRelayAfterARestart)
{
  RelayWorld world;
  CrashingReplicas replicas{ { &world }, "deadly:" };
  world.shared.storedQuarantine.replace(
    std::make_shared<const std::vector<Suspect>>(
      1, partSuspect(fingerprintOfPart("deadly"))));
  world.start();
  replicas.start();
  ASSERT_TRUE(
    waitFor([&] { return !world.shared.quarantine.read()->empty(); }));
  const std::string refused = callWith(world, "first:40,deadly:100", 1);
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503 ")) << refused;
  EXPECT_EQ(replicas.sent(), 0);
  const std::string served = callWith(world, "first:40,other:100", 2);
  EXPECT_TRUE(served.starts_with("HTTP/1.1 200 ")) << served;
}

TEST(PromptPartCrash, RequestsWithTheSameBodyAndOtherPartsAreServed)
{
  // Guards against a quarantine of all prompts that come with the same body.
  RelayWorld world;
  CrashingReplicas replicas{ { &world }, "deadly:" };
  world.start();
  replicas.start();
  const auto call = [&](const std::string& aParts, int aNumber) {
    const std::string number = std::to_string(aNumber);
    return world
      .sendRequest("/again/x",
                   "id-" + number,
                   "X-Parts: " + aParts + ",own" + number +
                     ":9\r\nConnection: close\r\n",
                   "content")
      .readToEnd();
  };
  for (int i = 0; i < kMaxCrashes; ++i) {
    call("first:40,deadly:100", i);
    replicas.publish();
  }
  const std::string answer = call("other:40", kMaxCrashes);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

} // namespace
} // namespace poplartrack
