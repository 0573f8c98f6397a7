// Rate limits that replicas state for the requests of all relays together.

#include <atomic>
#include <cmath>

#include "AcceptLoop.h"
#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** The window of the bound on requests: in any four seconds, a replica receives
 * at most 1.5 times what its rate limit allows, plus five. */
constexpr int kWindowSeconds = 4;

/** Returns the maximum number of requests in this time under a rate limit. */
double
maxRequestsIn(Duration aTime, double aLimit)
{
  const double seconds = std::chrono::duration<double>(aTime).count();
  const double windows = std::floor(seconds / kWindowSeconds) + 1;
  return windows * (1.5 * kWindowSeconds * aLimit + 5);
}

/** A replica that answers each request and states its rate limit. */
class LimitingReplica
{
public:
  explicit LimitingReplica(const std::string& aLimit)
  {
    this->loop.start([this, aLimit](RawSocket& aConnection) {
      const std::string head = aConnection.readUntil("\r\n\r\n");
      ++this->count;
      aConnection.send(RelayWorld::answer(
        headerValue(head, "X-Id"),
        "{}\n",
        "200 OK",
        "X-Stamp: s\r\nConnection: close\r\nX-Limit: " + aLimit + "\r\n"));
    });
  }

  [[nodiscard]] Address address() const { return this->loop.address(); }
  [[nodiscard]] int requests() const { return this->count; }

private:
  std::atomic<int> count{ 0 };
  // Declared last, since its thread uses the count.
  AcceptLoop loop;
};

/** Sends a request and reads the answer. */
void
callOnce(const RelayWorld& aWorld,
         int aNumber,
         const std::string& aDeadline = "X-Deadline: 40\r\n")
{
  RawSocket caller =
    aWorld.sendRequest("/again/x", "id-" + std::to_string(aNumber), aDeadline);
  caller.readUntil("}\n");
}

/** Lets a relay learn the limit. A deadline could pass before the answer that
 * states it, and the relay would send further requests without a limit. */
void
learnLimit(const RelayWorld& aWorld)
{
  callOnce(aWorld, 0, "");
}

TEST(RelayLimit, ARelayKeepsToAReplicasLimit)
{
  LimitingReplica replica{ "0.5" };
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  learnLimit(world);
  const int before = replica.requests();
  const TimePoint start = runtimeNow();
  constexpr int kCalls = 40;
  for (int i = 1; i <= kCalls; ++i) {
    callOnce(world, i);
  }
  EXPECT_LE(replica.requests() - before,
            maxRequestsIn(runtimeNow() - start, 0.5));
}

TEST(RelayLimit, ALimitHoldsWhenTheReplicasEntryVanishesAndComesBack)
{
  LimitingReplica replica{ "0.5" };
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.addReplica("other", "model", replica.address());
  world.start();
  learnLimit(world);
  const Replica kept = world.replicas.at("one");
  const int before = replica.requests();
  const TimePoint start = runtimeNow();
  constexpr int kCalls = 40;
  std::uint64_t version = 1;
  for (int i = 1; i <= kCalls; ++i) {
    world.replicas.erase("one");
    world.publishReplicas(++version);
    callOnce(world, 2 * i);
    world.replicas.emplace("one", kept);
    world.publishReplicas(++version);
    callOnce(world, 2 * i + 1);
  }
  EXPECT_LE(replica.requests() - before,
            maxRequestsIn(runtimeNow() - start, 0.5));
}

TEST(RelayLimit, AllRelaysTogetherKeepToAReplicasLimit)
{
  LimitingReplica replica{ "2" };
  RelayWorld first;
  RelayWorld second;
  for (RelayWorld* world : { &first, &second }) {
    world->addReplica("one", "plain", replica.address());
    world->start();
  }
  first.setPeers({ second.loop->peersAddress() });
  second.setPeers({ first.loop->peersAddress() });
  learnLimit(first);
  learnLimit(second);
  // A status message with the new list version also reports the limit.
  first.publishReplicas(7);
  second.publishReplicas(7);
  ASSERT_TRUE(waitFor([&] {
    return first.shared.peerListVersion == 7 &&
           second.shared.peerListVersion == 7;
  }));
  const int before = replica.requests();
  const TimePoint start = runtimeNow();
  constexpr int kCalls = 40;
  for (int i = 1; i <= kCalls; ++i) {
    callOnce(first, 2 * i);
    callOnce(second, 2 * i + 1);
  }
  EXPECT_LE(replica.requests() - before,
            maxRequestsIn(runtimeNow() - start, 2));
}

} // namespace
} // namespace poplartrack
