#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/RcuBox.h"
#include "poplartrack/fleet/DemandTable.h"
#include "poplartrack/fleet/Freshness.h"
#include "poplartrack/fleet/RelayConfig.h"
#include "poplartrack/fleet/ReleasedLayers.h"
#include "poplartrack/fleet/ReplicaListDelta.h"
#include "poplartrack/fleet/ReplicaSignals.h"
#include "poplartrack/fleet/ReplicaView.h"
#include "poplartrack/fleet/VersionHolders.h"
#include "poplartrack/observe/EventLog.h"
#include "poplartrack/observe/Metrics.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/QuarantineRecord.h"

namespace poplartrack {

/** State that the threads of a relay process share. Values in an RcuBox are
 * immutable and replaced as a whole, so the request path reads them without a
 * lock. */
struct RelayShared
{
  /** aLogFd: descriptor that the log is written to. */
  explicit RelayShared(int aLogFd)
    : log(aLogFd)
  {
  }

  /** Adds relays to the known ones. Returns whether one of them is new. aOwn:
   * this relay's own address, which is left out. */
  bool addPeers(const std::vector<Address>& aRelays, const Address& aOwn);

  SuspendAwareClock clock;
  /** The configuration in force; null until the first one is read. */
  RcuBox<RelayConfig> config{ nullptr };
  /** The latest replica list. */
  RcuBox<ReplicaView> replicas{ std::make_shared<const ReplicaView>() };
  /** Store version up to which the changes in replicas are complete, or an
   * older one. */
  std::atomic<std::uint64_t> listVersion{ 0 };
  /** The list holds entries that are dropped unless they are registered again.
   */
  std::atomic<bool> listUncertain{ false };
  /** Age of the newest proof that the configuration is up to date. */
  Freshness<SuspendAwareClock> freshness{ clock };
  /** The latest poll of the configuration failed. On a relay that does not poll
   * the store: the store readers report an outage. */
  std::atomic<bool> configPollFailed{ false };
  /** Addresses of the other relays, sorted. Only addPeers() and the tests
   * replace the list. */
  RcuBox<std::vector<Address>> peers{
    std::make_shared<const std::vector<Address>>()
  };
  /** Replicas that are presumed dead or too slow, by id. False: the replica did
   * not answer and nothing else supports that. True: there is further evidence,
   * such as another replica that reported being blocked on it, or a restart. */
  using LostReplicas = std::map<std::string, bool>;
  RcuBox<LostReplicas> lostReplicas{ std::make_shared<const LostReplicas>() };
  /** Ids of the replicas that serve requests of any relay. Kept up to date only
   * while this relay holds the placement lease. */
  RcuBox<std::set<std::string>> busyReplicas{
    std::make_shared<const std::set<std::string>>()
  };
  /** Layers that this relay takes from busy replicas as the holder of the
   * placement lease. */
  RcuBox<std::vector<ReleasedLayers>> releases{
    std::make_shared<const std::vector<ReleasedLayers>>()
  };
  /** Requests of all relays that run these layers, by replica; empty if that is
   * unknown. Kept up to date only while this relay holds the lease. */
  RcuBox<std::map<std::string, std::uint32_t>> releaseUse{
    std::make_shared<const std::map<std::string, std::uint32_t>>()
  };
  /** When another relay last fell silent, in microseconds of the clock; 0:
   * none has. */
  std::atomic<std::int64_t> peerSilentAt{ 0 };
  /** Demand for each model service by zone. Kept up to date only while this
   * relay holds the placement lease. */
  using Demand = std::map<std::string, ZoneDemand>;
  RcuBox<Demand> demand{ std::make_shared<const Demand>() };
  /** How many times as long as declared the work of replicas takes, where it is
   * longer and the replica is not lost. Kept up to date only while this relay
   * holds the placement lease, with load.demand_placement. */
  using Slowdowns = std::map<std::string, double>;
  RcuBox<Slowdowns> slowdowns{ std::make_shared<const Slowdowns>() };
  /** Ids of the replicas that have announced in an answer that they drain. */
  RcuBox<std::set<std::string>> announcedDrains{
    std::make_shared<const std::set<std::string>>()
  };
  /** Ids of the replicas that have asked this relay for a backoff. */
  RcuBox<std::set<std::string>> backingOff{
    std::make_shared<const std::set<std::string>>()
  };
  /** What is in quarantine: requests with it are sent to no replica. */
  RcuBox<std::vector<QuarantineRecord>> quarantine{
    std::make_shared<const std::vector<QuarantineRecord>>()
  };
  /** What is in quarantine according to the latest read of the store. */
  RcuBox<std::vector<Suspect>> storedQuarantine{
    std::make_shared<const std::vector<Suspect>>()
  };
  /** The relay is shutting down: it reports not ready, and its answers close
   * their connections. */
  std::atomic<bool> draining{ false };
  /** A request has arrived since the start. */
  std::atomic<bool> receivedRequest{ false };
  /** This relay holds the placement lease. */
  std::atomic<bool> holdsLease{ false };
  /** When the latest status message of the lease holder arrived, in
   * microseconds of the clock; 0: never, or the lease was released since. */
  std::atomic<std::int64_t> leaderSeenAt{ 0 };
  /** Fencing number of the lease that this relay held last and released or
   * lost; 0: none. */
  std::atomic<std::uint64_t> releasedFence{ 0 };
  /** Highest released fencing number that another relay reported. */
  std::atomic<std::uint64_t> peerReleasedFence{ 0 };
  /** Number of other known relays that poll the store. */
  std::atomic<std::size_t> storeReaders{ 0 };
  /** Newest configuration version that another relay reported. */
  std::atomic<std::uint64_t> peerConfigVersion{ 0 };
  /** Newest replica list version that another relay reported. */
  std::atomic<std::uint64_t> peerListVersion{ 0 };
  /** New requests are refused at once. Set during shutdown when the load
   * balancer has had time to notice; requests still arrive on connections that
   * were kept open. If one were admitted, the end of the grace time would cut
   * its stream. */
  std::atomic<bool> refusesRequests{ false };
  /** This relay has just started and has not decided yet whether it learns the
   * configuration and the replica list from another relay or from the store. */
  std::atomic<bool> joining{ false };
  /** When this relay received both from another relay, in microseconds of the
   * clock; 0: it did not. */
  std::atomic<std::int64_t> joinedPeersAt{ 0 };
  /** Relays of this zone that have the newest configuration or replica list
   * reported in it. */
  VersionHolders configHolders;
  VersionHolders listHolders;
  /** The same for the relays of the other zones. */
  VersionHolders remoteConfigHolders;
  VersionHolders remoteListHolders;
  /** This relay is a store reader: it polls the store. Otherwise store readers
   * send it the changes. */
  std::atomic<bool> polls{ true };
  /** The latest poll of the replica list by this relay failed. Cleared some
   * seconds after a relay has stopped polling. */
  std::atomic<bool> pollsFail{ false };
  /** When all store readers last reported that the store is unavailable, in
   * microseconds of the clock; 0: never. */
  std::atomic<std::int64_t> peersSawOutageAt{ 0 };
  /** Number of listed relays whose status message is fresh, and whether one of
   * these holds the placement lease. Kept up to date only with
   * load.outage_placement. */
  std::atomic<std::size_t> freshPeers{ 0 };
  std::atomic<bool> peerHoldsLease{ false };
  /** When these were last updated, in microseconds of the clock. */
  std::atomic<std::int64_t> outageViewAt{ 0 };
  /** This relay places layers although its lease has run out, since the store
   * is unavailable to all. */
  std::atomic<bool> leadsOutage{ false };
  /** Sends the changes of a replica list poll to the relays of the own zone;
   * empty where there are no peers. */
  std::function<void(const ReplicaListDelta&)> sendListDelta;
  /** Handles the signals in an answer to an order or a status query; the
   * answer came from this address. May be called from any thread. */
  std::function<void(const Address&, const ReplicaSignals&)> onReplicaSignals;
  /** Replica list updates received from other relays. */
  ReplicaListInbox listInbox;
  Metrics metrics;
  EventLog log;

private:
  /** Held while peers is replaced: two threads add relays. */
  std::mutex peersGuard;
};

} // namespace poplartrack
