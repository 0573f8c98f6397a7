// Replicas that limit how many requests a second they take from all relays.

#include <atomic>
#include <cmath>
#include <thread>

#include "RelayWorld.h"

namespace poplartrack {
namespace {

using namespace relaytest;

/** What a replica that names a limit may get in any four seconds: half as much
 * again as the limit allows, and five. */
constexpr int kWindowSeconds = 4;

double
mostIn(Duration aTime, double aLimit)
{
  const double seconds = std::chrono::duration<double>(aTime).count();
  const double windows = std::floor(seconds / kWindowSeconds) + 1;
  return windows * (1.5 * kWindowSeconds * aLimit + 5);
}

/** A replica that answers each request and names its limit. */
class LimitingReplica
{
public:
  explicit LimitingReplica(std::string aLimit)
    : limit(std::move(aLimit))
    , thread([this] { this->run(); })
  {
  }
  LimitingReplica(const LimitingReplica&) = delete;
  LimitingReplica& operator=(const LimitingReplica&) = delete;
  ~LimitingReplica()
  {
    this->stopping = true;
    RawSocket::connectTo(this->listener.address());
    this->thread.join();
  }

  [[nodiscard]] Address address() const { return this->listener.address(); }
  [[nodiscard]] int requests() const { return this->count; }

private:
  void run()
  {
    while (true) {
      RawSocket connection = this->listener.accept();
      if (this->stopping) {
        return;
      }
      const std::string head = connection.readUntil("\r\n\r\n");
      const std::size_t from =
        head.find("X-Id: ") + std::string_view{ "X-Id: " }.size();
      const std::string id = head.substr(from, head.find("\r\n", from) - from);
      ++this->count;
      connection.send(RelayWorld::answer(
        id,
        "{}\n",
        "200 OK",
        "X-Stamp: s\r\nConnection: close\r\nX-Limit: " + this->limit + "\r\n"));
    }
  }

  std::string limit;
  RawListener listener;
  std::atomic<int> count{ 0 };
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

/** A caller that waits for a short while. */
void
callOnce(const RelayWorld& aWorld, int aNumber)
{
  RawSocket caller = aWorld.caller();
  caller.send(RelayWorld::request(
    "/again/x", "id-" + std::to_string(aNumber), "X-Deadline: 40\r\n"));
  caller.readUntil("}\n");
}

TEST(RelayLimit, AReplicaThatNamesALimitIsNotSentMore)
{
  LimitingReplica replica{ "0.5" };
  RelayWorld world;
  world.addReplica("one", "plain", replica.address());
  world.start();
  callOnce(world, 0);
  const int before = replica.requests();
  const TimePoint start = runtimeNow();
  constexpr int kCalls = 40;
  for (int i = 1; i <= kCalls; ++i) {
    callOnce(world, i);
  }
  EXPECT_LE(replica.requests() - before, mostIn(runtimeNow() - start, 0.5));
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
  const auto tell = [](RelayWorld& aFrom, const RelayWorld& aTo) {
    aFrom.shared.peers.replace(std::make_shared<const std::vector<Address>>(
      std::vector<Address>{ aTo.loop->peersAddress() }));
  };
  tell(first, second);
  tell(second, first);
  callOnce(first, 0);
  callOnce(second, 1);
  // Words with a new list's version come after what was learned before it.
  first.publishReplicas(7);
  second.publishReplicas(7);
  const TimePoint latest = runtimeNow() + std::chrono::seconds{ 60 };
  while ((second.shared.listHeard < 7 || first.shared.listHeard < 7) &&
         runtimeNow() < latest) {
    std::this_thread::yield();
  }
  const int before = replica.requests();
  const TimePoint start = runtimeNow();
  constexpr int kCalls = 40;
  for (int i = 1; i <= kCalls; ++i) {
    callOnce(first, 2 * i);
    callOnce(second, 2 * i + 1);
  }
  EXPECT_LE(replica.requests() - before, mostIn(runtimeNow() - start, 2));
}

} // namespace
} // namespace poplartrack
