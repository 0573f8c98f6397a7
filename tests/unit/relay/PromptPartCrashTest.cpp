// Parts of prompts that crash replicas, whatever else a request holds.

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
  first.shared.peers.replace(std::make_shared<const std::vector<Address>>(
    std::vector<Address>{ second.loop->peersAddress() }));
  replicas.start();
  for (int i = 0; i < kMaxCrashes; ++i) {
    callWith(first, "first:40,deadly:100", i);
    replicas.publish();
  }
  // A status message with the latest list version also reports the quarantine.
  const TimePoint waitUntil = runtimeNow() + std::chrono::seconds{ 60 };
  while (second.shared.peerListVersion < replicas.listVersion() &&
         runtimeNow() < waitUntil) {
    std::this_thread::yield();
  }
  ASSERT_EQ(second.shared.peerListVersion, replicas.listVersion());
  for (int i = 0; i < kCalls; ++i) {
    callWith(second, "first:40,deadly:100", kMaxCrashes + i);
    replicas.publish();
  }
  EXPECT_LE(replicas.sent(), kMaxCrashes + kMaxSentAfter);
}

} // namespace
} // namespace poplartrack
