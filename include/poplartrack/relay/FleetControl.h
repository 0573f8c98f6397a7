#pragma once

#include <array>
#include <atomic>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/PeriodicThread.h"
#include "poplartrack/fleet/FleetPolls.h"
#include "poplartrack/fleet/FleetSnapshot.h"
#include "poplartrack/fleet/OutageLeadership.h"
#include "poplartrack/fleet/ReplicaList.h"
#include "poplartrack/fleet/StorePollSchedule.h"
#include "poplartrack/relay/CountedStore.h"
#include "poplartrack/relay/PlacementController.h"
#include "poplartrack/relay/QuarantineRows.h"
#include "poplartrack/relay/RelayDirectory.h"
#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/store/Lease.h"
#include "poplartrack/store/StoreVersion.h"

namespace poplartrack {

/** A store that holds the operator's configuration and the replica list besides
 * the project's own rows. The read functions fetch everything; the await
 * functions long-poll for changes after a given version, up to a maximum wait.
 * parseConfig decodes a configuration as the store holds it. */
template<typename T>
concept FleetStoreLike = PlatformLike<T> && requires(T& aStore,
                                                     std::uint64_t aAfter,
                                                     Duration aWait,
                                                     const std::string& aText)
{
  {
    aStore.readConfig(aWait)
    } -> std::same_as<Result<ConfigPoll>>;
  {
    aStore.awaitConfig(aAfter, aWait)
    } -> std::same_as<Result<ConfigPoll>>;
  {
    aStore.parseConfig(aText)
    } -> std::same_as<Result<RelayConfig>>;
  {
    aStore.readReplicas(aWait)
    } -> std::same_as<Result<ReplicaPoll>>;
  {
    aStore.awaitReplicas(aAfter, aWait)
    } -> std::same_as<Result<ReplicaPoll>>;
};

/** How long a relay that starts waits for other relays before it reads the
 * store as well. */
struct JoinLimits
{
  /** For the list of contacts. Longer, and the store is slow or silent. */
  Duration contacts = std::chrono::milliseconds{ 150 };
  /** For any contact to answer. */
  Duration answer = std::chrono::milliseconds{ 800 };
  /** For a contact that answers to have a state. When all start at once, they
   * read the store meanwhile, which takes a slow instance with a large list a
   * second or more. If the others then read it as well, all are slower. */
  Duration state = std::chrono::milliseconds{ 2'000 };
};

/**
 * Runs the background threads of a relay:
 * - two threads follow the operator's configuration and the replica list;
 * - two catch-up threads read these again while a long poll may be hanging;
 * - the housekeeping thread contends for the placement lease, maintains the
 *   relay directory and the quarantine rows, and drops expired replicas;
 * - the placement thread places layers while the lease is held.
 * Each but the last may block on the store for more than a second, so each task
 * has a thread of its own.
 */
template<FleetStoreLike Store>
class FleetControl
{
public:
  /** aFetchSnapshot: asks other relays for snapshots; empty: everything is read
   * from the store. If it is set, RelayShared::joining is set before. */
  FleetControl(const RelaySettings& aSettings,
               RelayShared& aShared,
               Store& aStore,
               SendLayerOrder aSendOrder,
               FetchSnapshot aFetchSnapshot = {},
               JoinLimits aJoinLimits = {});

  /** Stops placing layers, contending for the lease and other housekeeping, and
   * releases the lease so that another relay takes over at once. Part of the
   * shutdown; blocks for a call to the store. */
  void releaseLease();

private:
  // The functions that a thread calls repeatedly return the pause until the
  // next call.

  /** Polls the configuration, or leaves that to the store readers. */
  Duration followConfig();
  /** Polls the replica list, or applies the updates of the store readers. */
  Duration followReplicas();
  /** Applies the replica list updates that store readers have sent. */
  Duration applyPeerUpdates();
  /** Decides, after the start, whether to learn the fleet's state from a
   * contact or from the store. */
  Duration joinFleet();
  /** Asks the next contact for its state. Returns whether it was taken over. */
  bool joinThroughContact(TimePoint aNow);
  /** Asks a relay for a snapshot and puts its configuration and replica list in
   * force. Returns whether it answered. */
  bool applySnapshotOf(const Address& aRelay, const SnapshotQuery& aQuery);
  /** Returns whether polls of the store may begin: the start is over, or the
   * contacts are not known in time. */
  [[nodiscard]] bool mayReadStore() const;
  /** Ends the start. */
  void finishJoining();
  /** Asks a contact for the list of relays if that is due. */
  void refreshPeers(TimePoint aNow);
  /** Drops expired replicas, contends for the lease, and refreshes the relay
   * directory and the quarantine rows. */
  Duration runHousekeeping();
  /** Places layers while the lease is held, or while this relay leads through
   * an outage of the store. */
  Duration runPlacement();
  /** Returns what this relay knows of an outage of the store. */
  [[nodiscard]] OutageView outageView() const;
  /** Returns the fencing number under which this relay places layers without
   * the lease, or nothing. Logs when that begins and ends. */
  std::optional<std::uint64_t> outageFence();
  /** Publishes whether this relay leads through an outage. */
  void setLeadsOutage(bool aLeads);
  /** Puts a newer configuration in force and records the proof of freshness. */
  void applyConfig(const ConfigPoll& aPoll);
  /** Notes whether the newest configuration in the store can be read. */
  void trackUnreadable(const ConfigPoll& aPoll);
  /** Logs and publishes what is in force now. */
  void reportInForce(const RelayConfig& aConfig);
  /** Handles the outcome of a configuration poll, including its failure. */
  void onConfigPoll(const Result<ConfigPoll>& aPoll);
  /** Logs that polls of aWhat have begun to fail. */
  void onStoreUnavailable(const char* aWhat, const Error& aError);
  /** Logs that polls of aWhat succeed again. */
  void onStoreAvailable(const char* aWhat);
  /** Publishes the current replica list to the other threads. The caller holds
   * listGuard. */
  void publishReplicas();
  /** Publishes up to which version the published list is complete. The caller
   * holds listGuard. */
  void publishListVersion();
  /** Applies the changes of a replica list poll. The caller holds listGuard. */
  void applyReplicaPoll(const ReplicaPoll& aPoll, TimePoint aNow);
  /** Reads the configuration if this relay is behind its peers, or if its proof
   * of freshness is old. */
  Duration catchUpConfig();
  /** Returns whether this relay gets what it lacks from other relays rather
   * than from the store. */
  [[nodiscard]] bool asksPeers() const
  {
    return this->fetchSnapshot && !this->shared.polls;
  }
  /** Returns a random index into a list of this size. */
  [[nodiscard]] static std::size_t randomIndex(std::size_t aSize);
  /** Returns a random duration up to aMax. */
  [[nodiscard]] static Duration randomPart(Duration aMax);
  /** Asks a relay that has a newer version than aKnown for a snapshot. aLag:
   * for how long this relay has lacked it. Returns whether one has answered. */
  bool fetchFrom(VersionHolders& aZone,
                 VersionHolders& aRemote,
                 std::uint64_t aKnown,
                 Duration aLag,
                 const SnapshotQuery& aQuery);
  /** Gets a newer configuration from another relay. Returns whether it is in
   * force. */
  bool fetchConfig(std::uint64_t aKnown, Duration aLag);
  /** Reads the replica list if this relay is behind its peers. */
  Duration catchUpReplicas();
  /** Gets a newer replica list from another relay. Returns whether it is
   * applied. */
  bool fetchReplicas(std::uint64_t aKnown, Duration aLag);
  /** Logs entries of the replica list that name no usable replica. */
  void logUnreadable(const std::vector<UnreadableEntry>& aEntries);
  /** Drops replicas that stayed missing after an outage of the store. */
  void removeExpiredReplicas();
  /** Contends for the placement lease, or renews it, if a call is due. */
  void pollLease();
  /** Returns the poll schedule for the current number of store readers. */
  [[nodiscard]] StorePollSchedule pollSchedule() const;
  /** Returns the pause after a poll that brought changes, in which further
   * changes gather for the next poll. */
  [[nodiscard]] Duration batchDelay() const;
  /** Returns how long peers may have a newer list before it is read here. */
  [[nodiscard]] Duration listCatchUpDelay() const;

  RelaySettings settings;
  RelayShared& shared;
  Store& store;
  SuspendAwareClock clock;
  /** The placement lease of the region. */
  CountedStore<Store> leaseStore;
  Lease<CountedStore<Store>, SuspendAwareClock> lease;

  FetchSnapshot fetchSnapshot;
  JoinLimits joinLimits;

  /** Where the next poll of the configuration continues. */
  std::uint64_t configCursor = 0;
  /** The next poll waits for changes; otherwise it reads everything. */
  bool awaitsConfigChanges = false;
  /** When other relays last reported an outage of the store. */
  TimePoint peerOutageAt{};
  /** The outage that others reported is not over yet. */
  bool inPeerOutage = false;
  /** When the latest poll of the replica list ended. */
  TimePoint listPolledAt{};
  /** The next poll waits for changes; otherwise it reads the whole list. */
  bool awaitsReplicaChanges = false;
  /** The following and the catch-up thread may both put a configuration in
   * force. */
  std::mutex configGuard;
  /** Version of the store at which its configuration could not be read; empty
   * once a readable one follows. Guarded by configGuard. */
  std::optional<std::uint64_t> unreadableAt;
  /** Guards replicaList and loggedUnreadable. */
  std::mutex listGuard;
  ReplicaList replicaList;
  /** Replicas are missing from the list that may come back. */
  std::atomic<bool> entriesUncertain{ false };
  /** Unusable entries by name, with the reason that was logged last. */
  std::map<std::string, std::string> loggedUnreadable;
  /** The list of contacts has been read. */
  std::atomic<bool> contactsRead{ false };
  /** When the contacts were first known. */
  std::optional<TimePoint> contactsKnownAt;
  /** When a contact last answered. */
  TimePoint contactAnsweredAt{};
  /** When the process started. */
  TimePoint startedAt;
  /** Position of the contact that is asked next. */
  std::size_t nextContact = 0;
  /** When a contact was last asked for the list of relays. */
  TimePoint peersFetchedAt{};
  /** How often that has succeeded. */
  std::size_t peerFetches = 0;
  /** Since when another relay has had a newer configuration. */
  std::optional<TimePoint> configBehindSince;
  /** When relays of the zone may be asked for it. */
  TimePoint configFetchAt{};
  /** Since when another relay has had a newer replica list. */
  std::optional<TimePoint> listBehindSince;
  /** List version of the peers at the latest successful catch-up read. */
  std::uint64_t listReadForVersion = 0;
  /** When pollLease() last polled the lease. */
  TimePoint leasePolledAt{};
  /** When the configuration was last read by the catch-up thread. */
  TimePoint proofReadAt{};
  /** When that read failed; nullopt if it did not. */
  std::optional<TimePoint> catchUpReadFailedAt;
  /** The latest poll of the configuration reached the store. On a relay that
   * does not poll: no outage is reported. */
  std::atomic<bool> configReachable{ true };
  /** Consecutive polls that failed, of the configuration and of the list. */
  int configFailures = 0;
  int replicasFailures = 0;
  /** The latest poll of the replica list reached the store. */
  std::atomic<bool> replicasReachable{ true };

  // Used by the placement thread.
  PlacementController placement;
  OutageLeadership leadership;
  // Used by the housekeeping thread.
  CountedStore<Store> directoryStore;
  RelayDirectory<CountedStore<Store>> directory;
  CountedStore<Store> quarantineStore;
  QuarantineRows<CountedStore<Store>> quarantine;
  /** Fencing number of the lease under which this relay places layers; 0: it
   * does not hold the lease. */
  std::atomic<std::uint64_t> placementFence{ 0 };
  /** releaseLease() was called. */
  std::atomic<bool> stopping{ false };

  // Declared last: the threads use all members above.
  PeriodicThread configThread;
  PeriodicThread replicasThread;
  PeriodicThread configCatchUpThread;
  PeriodicThread replicasCatchUpThread;
  PeriodicThread housekeepingThread;
  PeriodicThread placementThread;
};

} // namespace poplartrack

// These two come first: the others use their constants.
#include "poplartrack/relay/FleetJoin.inl.h"
#include "poplartrack/relay/FleetPlacement.inl.h"

#include "poplartrack/relay/FleetCatchUp.inl.h"
#include "poplartrack/relay/FleetControl.inl.h"
#include "poplartrack/relay/FleetReplicas.inl.h"
