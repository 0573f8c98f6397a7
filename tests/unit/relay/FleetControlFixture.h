#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "IgnoreOrder.h"
#include "ScriptedStore.h"
#include "WaitFor.h"
#include "poplartrack/relay/FleetControl.h"
#include "unit/fleet/FleetSamples.h"

namespace poplartrack::relaytest {

inline ConfigPoll
configPoll(std::uint64_t aVersion)
{
  RelayConfig config;
  config.version = aVersion;
  ConfigPoll poll;
  poll.config = std::make_shared<const RelayConfig>(std::move(config));
  poll.asOf = SuspendAwareClock{}.now();
  return poll;
}

inline ReplicaPoll
replicaPoll(const std::string& aId)
{
  ReplicaPoll poll;
  poll.fullSnapshot = true;
  poll.present.push_back(fleettest::replicaOf(aId, "a", "slow"));
  return poll;
}

/** Test fixture: a relay's FleetControl with a scripted store. */
class FleetControlTest : public ::testing::Test
{
protected:
  FleetControlTest()
    : logFd(::open("/dev/null", O_WRONLY))
    , shared(logFd)
  {
    this->settings.name = "relay-1";
    this->settings.region = "r";
    this->settings.peers = { "127.0.0.1", 7 };
  }
  ~FleetControlTest() override { ::close(this->logFd); }
  FleetControlTest(const FleetControlTest&) = delete;
  FleetControlTest& operator=(const FleetControlTest&) = delete;

  /** Runs the threads until they have processed the script. */
  void runScript()
  {
    FleetControl<ScriptedStore> control{
      this->settings, this->shared, this->store, ignoreOrder
    };
    this->store.waitUntilProcessed();
    this->store.end();
  }

  /** Runs the threads, calls aAct once a replica is listed, and waits until
   * aWanted replicas are listed. Returns how many are. The wait is bounded, so
   * that a fault ends the test. */
  template<typename Act>
  std::size_t listedAfter(Act aAct, std::size_t aWanted)
  {
    FleetControl<ScriptedStore> control{
      this->settings, this->shared, this->store, ignoreOrder
    };
    const auto listed = [this] {
      return this->shared.replicas.read()->replicas.size();
    };
    waitFor([&] { return listed() > 0; });
    aAct();
    waitFor([&] { return listed() >= aWanted; });
    const std::size_t count = listed();
    this->store.end();
    return count;
  }

  /** Lists as many contacts as a zone needs. */
  void addContacts()
  {
    for (const char* name : { "3", "4", "5", "6" }) {
      this->store.addContact(std::string{ "r/a/" } + name, { "10.0.0.1", 7 });
    }
  }
  /** Starts the relay as one that may join through its contacts, calls aAct
   * when it has joined, and waits until aIsDone. The waits are bounded, so that
   * a fault ends the test. */
  template<typename Act, typename IsDone>
  void joinAndThen(FetchSnapshot aFetchSnapshot, Act aAct, IsDone aIsDone)
  {
    this->settings.zone = "a";
    this->shared.joining = true;
    FleetControl<ScriptedStore> control{ this->settings,
                                         this->shared,
                                         this->store,
                                         ignoreOrder,
                                         std::move(aFetchSnapshot),
                                         this->joinLimits };
    waitFor([this] {
      return !this->shared.replicas.read()->replicas.empty() &&
             !this->shared.joining;
    });
    aAct();
    waitFor(aIsDone);
    this->store.end();
  }
  /** The same, however slowly the store's list of contacts arrives. */
  template<typename Act, typename IsDone>
  void joinWithoutStore(FetchSnapshot aFetchSnapshot, Act aAct, IsDone aIsDone)
  {
    this->joinLimits.contacts = std::chrono::minutes{ 10 };
    this->joinAndThen(std::move(aFetchSnapshot), aAct, aIsDone);
  }
  /** The same without anything to do after the join. */
  void join(FetchSnapshot aFetchSnapshot)
  {
    this->joinAndThen(
      std::move(aFetchSnapshot), [] {}, [] { return true; });
  }

  /** Returns how often the relay read or polled the configuration or the
   * replica list, without renewals of the freshness proof, which depend on how
   * long the test takes. */
  std::uint64_t storeReads()
  {
    std::uint64_t sum = 0;
    for (const StoreCall call : { StoreCall::ConfigRead,
                                  StoreCall::ConfigPoll,
                                  StoreCall::ConfigCatchUp,
                                  StoreCall::ReplicasRead,
                                  StoreCall::ReplicasPoll,
                                  StoreCall::ReplicasCatchUp }) {
      sum += this->shared.metrics.storeCalls(call);
    }
    return sum;
  }

  int logFd;
  RelayShared shared;
  RelaySettings settings;
  /** Tests that expect no read of the store set the first one to a time that no
   * machine needs. */
  JoinLimits joinLimits;
  ScriptedStore store;
};

/** The snapshot of a contact with configuration 5 and one replica. */
inline FleetSnapshot
contactSnapshot()
{
  FleetSnapshot snapshot;
  snapshot.configVersion = 5;
  snapshot.configText = "5";
  snapshot.configAge = std::chrono::milliseconds{ 100 };
  snapshot.replicas = replicaPoll("one");
  snapshot.replicas->next = 9;
  snapshot.relays = { { "10.0.0.2", 7 }, { "10.0.0.3", 7 } };
  return snapshot;
}

} // namespace poplartrack::relaytest
