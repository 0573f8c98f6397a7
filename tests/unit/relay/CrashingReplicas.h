#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "AcceptLoop.h"
#include "RelayWorld.h"

namespace poplartrack::relaytest {

/** Replicas of a plain service that crash when they begin to run a request that
 * contains a certain text. They answer other requests. All requests end with
 * "content". publish() removes the crashed ones from the replica list. */
class CrashingReplicas
{
public:
  /** @param aDeadly the text; every request contains the empty one */
  explicit CrashingReplicas(std::vector<RelayWorld*> aWorlds,
                            std::string aDeadly = {})
    : worlds(std::move(aWorlds))
    , deadly(std::move(aDeadly))
  {
    constexpr int kReplicas = 40;
    for (int i = 0; i < kReplicas; ++i) {
      for (RelayWorld* world : this->worlds) {
        world->addReplica(
          "r" + std::to_string(i), "plain", this->loop.address());
      }
    }
  }
  CrashingReplicas(const CrashingReplicas&) = delete;
  CrashingReplicas& operator=(const CrashingReplicas&) = delete;

  void start()
  {
    this->loop.start([this](RawSocket& aConnection) {
      const std::string head = aConnection.readUntil("content");
      if (!has(head, this->deadly)) {
        aConnection.send(
          RelayWorld::answer(headerValue(head, "X-Id"),
                             "whole",
                             "200 OK",
                             "X-Stamp: s\r\nConnection: close\r\n"));
        return;
      }
      const std::scoped_lock lock{ this->guard };
      this->crashed.push_back(headerValue(head, "X-Expect"));
      ++this->runs;
    });
  }
  /** Removes the crashed replicas from the list of each relay. */
  void publish()
  {
    const std::scoped_lock lock{ this->guard };
    ++this->version;
    for (RelayWorld* world : this->worlds) {
      for (const std::string& replica : this->crashed) {
        world->replicas.erase(replica);
      }
      world->publishReplicas(this->version);
    }
  }
  /** Waits until a relay knows from another one that the list has its latest
   * version. The same status message reports the quarantine. */
  void awaitReportAt(const RelayWorld& aWorld) const
  {
    ASSERT_TRUE(
      waitFor([&] { return aWorld.shared.peerListVersion == this->version; }));
  }
  /** Number of requests under which a replica crashed. */
  [[nodiscard]] int sent() const { return this->runs; }

private:
  std::vector<RelayWorld*> worlds;
  std::string deadly;
  std::mutex guard;
  std::vector<std::string> crashed;
  std::uint64_t version = 1;
  std::atomic<int> runs{ 0 };
  // Declared last, since its thread uses the other members.
  AcceptLoop loop;
};

} // namespace poplartrack::relaytest
