// Requests that crash replicas, and their quarantine.

#include "CrashingReplicas.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** Bounds that the system guarantees: replicas that one request crashes before
 * it is detected, and the number of times that it is sent afterwards. */
constexpr int kMaxCrashes = 3;
constexpr int kMaxSentAfter = 3;

/** Sends the same content under another id and returns the answer. */
std::string
callOnce(const RelayWorld& aWorld, int aNumber)
{
  RawSocket caller = aWorld.sendRequest(
    "/again/x", "id-" + std::to_string(aNumber), "", "content");
  return caller.readUntil("}\n");
}

TEST(RelayCrash, ARequestThatCrashesReplicasIsQuarantined)
{
  RelayWorld world;
  CrashingReplicas replicas{ { &world } };
  world.start();
  replicas.start();
  std::string answer;
  constexpr int kCalls = 10;
  for (int i = 0; i < kCalls; ++i) {
    answer = callOnce(world, i);
    replicas.publish();
  }
  EXPECT_LE(replicas.sent(), kMaxCrashes + kMaxSentAfter);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
}

TEST(RelayCrash, ARequestQuarantinedAtOneRelayIsNotSentByAnother)
{
  RelayWorld first;
  RelayWorld second;
  CrashingReplicas replicas{ { &first, &second } };
  first.start();
  second.start();
  first.setPeers({ second.loop->peersAddress() });
  replicas.start();
  for (int i = 0; i < kMaxCrashes; ++i) {
    callOnce(first, i);
    replicas.publish();
  }
  replicas.awaitReportAt(second);
  constexpr int kCalls = 10;
  for (int i = 0; i < kCalls; ++i) {
    callOnce(second, kMaxCrashes + i);
    replicas.publish();
  }
  EXPECT_LE(replicas.sent(), kMaxCrashes + kMaxSentAfter);
}

TEST(RelayCrash, ABrokenAnswerOfALiveReplicaIsNoCrash)
{
  RelayWorld world;
  RawListener listener;
  world.addReplica("one", "plain", listener.address());
  world.addReplica("two", "plain", listener.address());
  world.start();
  for (int i = 0; i < 2; ++i) {
    RawSocket caller =
      world.sendRequest("/again/x", "id-" + std::to_string(i), "", "content");
    for (int attempt = 0; attempt < 2; ++attempt) {
      RawSocket replica = listener.accept();
      replica.readUntil("content");
    }
    EXPECT_TRUE(caller.readUntil("}\n").starts_with("HTTP/1.1 502 "));
    world.publishReplicas(static_cast<std::uint64_t>(i) + 2);
  }
  RawSocket caller = world.sendRequest("/again/x", "id-9", "", "content");
  RawSocket replica = listener.accept();
  replica.readUntil("content");
  replica.send(RelayWorld::answer("id-9", "whole"));
  EXPECT_TRUE(caller.readUntil("whole").starts_with("HTTP/1.1 200 "));
}

TEST(RelayCrash, ARequestQuarantinedInTheStoreIsRejectedAtOnce)
{
  RelayWorld world;
  RawListener listener;
  world.addReplica("one", "plain", listener.address());
  const Fingerprint content =
    fingerprintOf({ "shop", "shop.example", "POST", "/again/x", "content" });
  world.shared.storedQuarantine.replace(
    std::make_shared<const std::vector<Suspect>>(1, contentSuspect(content)));
  world.start();
  ASSERT_TRUE(
    waitFor([&] { return !world.shared.quarantine.read()->empty(); }));
  const std::string refused = callOnce(world, 1);
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503 ")) << refused;
  EXPECT_NE(refused.find("quarantined"), std::string::npos) << refused;
  EXPECT_EQ(world.shared.metrics.refusals(ErrorKind::Quarantined), 1U);
  RawSocket caller = world.sendRequest("/again/x", "id-2", "", "other");
  RawSocket replica = listener.accept();
  replica.readUntil("other");
  replica.send(RelayWorld::answer("id-2", "whole"));
  EXPECT_TRUE(caller.readUntil("whole").starts_with("HTTP/1.1 200 "));
}

TEST(RelayCrash, ExitsOfDrainingReplicasAreNoCrashes)
{
  // Guards against a quarantine of a request whose connections broke off
  // because its two replicas were drained and exited as planned in a release.
  RelayWorld world;
  RawListener leaving;
  RawListener staying;
  for (const char* name : { "one", "two" }) {
    world.addReplica(name, "plain", leaving.address());
  }
  world.start();
  std::vector<RawSocket> callers;
  std::vector<RawSocket> replicas;
  for (int i = 0; i < 2; ++i) {
    callers.push_back(world.caller());
    callers.back().send(RelayWorld::request(
      "/again/x", "id-" + std::to_string(i), "", "content"));
    replicas.push_back(leaving.accept());
    replicas.back().readUntil("content");
  }
  world.replicas["one"].draining = true;
  world.replicas["two"].draining = true;
  world.publishReplicas(2);
  // Any request makes the relay take over the latest list.
  RawSocket other = world.sendRequest("/unknown/", "id-8");
  EXPECT_NE(other.readUntil("}\n").find("404"), std::string::npos);
  for (int i = 0; i < 2; ++i) {
    replicas[static_cast<std::size_t>(i)].close();
    callers[static_cast<std::size_t>(i)].readUntil("}\n");
  }
  world.replicas.clear();
  world.addReplica("three", "plain", staying.address());
  world.publishReplicas(3);
  RawSocket caller = world.sendRequest("/again/x", "id-9", "", "content");
  RawSocket replica = staying.accept();
  replica.readUntil("content");
  replica.send(RelayWorld::answer("id-9", "whole"));
  EXPECT_TRUE(caller.readUntil("whole").starts_with("HTTP/1.1 200 "));
}

TEST(RelayCrash, ARequestServedElsewhereMeanwhileIsNotQuarantined)
{
  // Guards against a quarantine of a frequent request that was in flight at two
  // of three replicas when these crashed for another reason.
  RelayWorld world;
  RawListener crashing;
  RawListener staying;
  world.addReplica("one", "plain", crashing.address());
  world.addReplica("two", "plain", crashing.address());
  world.addReplica("three", "plain", staying.address());
  world.replicas["three"].zone = "b";
  // The replicas that failed are avoided only for a while.
  world.useManualClock();
  world.start();
  RawSocket failedCaller = world.sendRequest("/again/x", "id-0", "", "content");
  for (int attempt = 0; attempt < 2; ++attempt) {
    RawSocket replica = crashing.accept();
    replica.readUntil("content");
  }
  EXPECT_TRUE(failedCaller.readUntil("}\n").starts_with("HTTP/1.1 502 "));
  for (int i = 1; i < 3; ++i) {
    const std::string id = "id-" + std::to_string(i);
    RawSocket caller = world.sendRequest("/again/x", id, "", "content");
    RawSocket replica = staying.accept();
    replica.readUntil("content");
    replica.send(RelayWorld::answer(
      id, "whole", "200 OK", "X-Stamp: s\r\nConnection: close\r\n"));
    EXPECT_TRUE(caller.readUntil("whole").starts_with("HTTP/1.1 200 "));
    world.replicas.erase("one");
    world.replicas.erase("two");
    world.publishReplicas(2);
  }
}

} // namespace
} // namespace poplartrack
