#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/RcuBox.h"
#include "poplartrack/fleet/Freshness.h"
#include "poplartrack/fleet/RelayConfig.h"
#include "poplartrack/fleet/ReplicaListDelta.h"
#include "poplartrack/fleet/ReplicaView.h"
#include "poplartrack/observe/EventLog.h"
#include "poplartrack/observe/Metrics.h"
#include "poplartrack/retry/Fingerprint.h"
#include "poplartrack/retry/QuarantineRecord.h"

namespace poplartrack {

/** What the threads of a relay process share. Values are immutable and
 * replaced whole; the path of a request reads them without a lock. */
struct RelayShared
{
  /** Logs go to this descriptor. */
  explicit RelayShared(int aLogFd)
    : log(aLogFd)
  {
  }

  SuspendAwareClock clock;
  /** Null until one was read. */
  RcuBox<RelayConfig> config{ nullptr };
  RcuBox<ReplicaView> replicas{ std::make_shared<const ReplicaView>() };
  Freshness<SuspendAwareClock> freshness{ clock };
  /** The latest look at the configuration failed. */
  std::atomic<bool> configPollFailed{ false };
  /** Addresses of the other relays. */
  RcuBox<std::vector<Address>> peers{
    std::make_shared<const std::vector<Address>>()
  };
  /** Replicas that are taken to be dead; true: another replica named it as
   * what its work waits for, to this relay or another one. */
  using LostReplicas = std::map<std::string, bool>;
  RcuBox<LostReplicas> lostReplicas{ std::make_shared<const LostReplicas>() };
  /** Replicas through which requests of any relay pass, kept by the one that
   * holds the placement lease. */
  RcuBox<std::set<std::string>> busyReplicas{
    std::make_shared<const std::set<std::string>>()
  };
  /** Requests that are sent to no replica. */
  RcuBox<std::vector<QuarantineRecord>> quarantine{
    std::make_shared<const std::vector<QuarantineRecord>>()
  };
  /** ... as the store was last seen to keep them. */
  RcuBox<std::vector<Fingerprint>> storedQuarantine{
    std::make_shared<const std::vector<Fingerprint>>()
  };
  /** Stopping: not ready, and answers close their connections. */
  std::atomic<bool> draining{ false };
  /** A request has come since the start. */
  std::atomic<bool> receivedRequest{ false };
  /** This relay holds the placement lease. */
  std::atomic<bool> holdsLease{ false };
  /** When a relay was last heard that holds it, in microseconds of the clock;
   * 0: never. */
  std::atomic<std::int64_t> leaderSeenAt{ 0 };
  /** Fencing number of the lease that this relay held and gave up; 0: none. */
  std::atomic<std::uint64_t> releasedFence{ 0 };
  /** The highest of which another relay told so. */
  std::atomic<std::uint64_t> peerReleasedFence{ 0 };
  /** Relays that are heard and look at the store, without this one. */
  std::atomic<std::size_t> storeReaders{ 0 };
  /** Newest configuration of which another relay spoke. */
  std::atomic<std::uint64_t> peerConfigVersion{ 0 };
  /** Newest change of the replicas' list of which another relay spoke. */
  std::atomic<std::uint64_t> peerListVersion{ 0 };
  /** The balancer has had its time to notice: what still comes, on
   * connections that were kept open, is refused at once. Taken in, a stream
   * would be cut by the end of the grace time. */
  std::atomic<bool> refusesRequests{ false };
  /** This relay looks at the store; else others do and tell. */
  std::atomic<bool> polls{ true };
  /** Its latest look at the list of replicas failed. */
  std::atomic<bool> pollsFail{ false };
  /** When all relays that look last said that the store is away, in
   * microseconds of the clock; 0: never. */
  std::atomic<std::int64_t> peersSawOutageAt{ 0 };
  /** Tells the relays of the zone what a look at the list brought; empty where
   * there is nobody to tell. */
  std::function<void(const ReplicaListDelta&)> sendListDelta;
  /** What others told of the list. */
  ReplicaListInbox listInbox;
  Metrics metrics;
  EventLog log;
};

} // namespace poplartrack
