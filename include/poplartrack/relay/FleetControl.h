#pragma once

#include <atomic>
#include <concepts>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/PeriodicThread.h"
#include "poplartrack/fleet/FleetPolls.h"
#include "poplartrack/fleet/ReplicaList.h"
#include "poplartrack/fleet/StorePollSchedule.h"
#include "poplartrack/relay/PlacementController.h"
#include "poplartrack/relay/QuarantineRows.h"
#include "poplartrack/relay/RelayDirectory.h"
#include "poplartrack/relay/RelaySettings.h"
#include "poplartrack/relay/RelayShared.h"
#include "poplartrack/store/Lease.h"

namespace poplartrack {

/** A store that keeps the operator's configuration and the replicas' list
 * beside the project's own rows. */
template<typename T>
concept FleetStoreLike = PlatformLike<T> &&
  requires(T& aStore, std::uint64_t aAfter, Duration aWait)
{
  {
    aStore.readConfig(aWait)
    } -> std::same_as<Result<ConfigPoll>>;
  {
    aStore.awaitConfig(aAfter, aWait)
    } -> std::same_as<Result<ConfigPoll>>;
  {
    aStore.readReplicas(aWait)
    } -> std::same_as<Result<ReplicaPoll>>;
  {
    aStore.awaitReplicas(aAfter, aWait)
    } -> std::same_as<Result<ReplicaPoll>>;
};

/**
 * The threads that keep a relay up to date and do its share of the common
 * duties: one follows the operator's configuration, one the replicas' list; for
 * each of these another one that reads it beside a look that hangs; one
 * contends for the placement lease and keeps the list of relays, one places
 * layers while the lease is held. Each but the last may wait for the store for
 * more than a second; the others go on meanwhile.
 */
template<FleetStoreLike Store>
class FleetControl
{
public:
  FleetControl(const RelaySettings& aSettings,
               RelayShared& aShared,
               Store& aStore,
               PlaceOrder aPlace);

  /** Gives the lease up, so that another relay takes over at once. */
  void releaseLease();

private:
  Duration followConfig();
  Duration followReplicas();
  Duration applyPeerDeltas();
  Duration runLease();
  Duration place();
  void onConfig(const ConfigPoll& aPoll);
  void onConfigAnswer(const Result<ConfigPoll>& aPoll);
  void onStoreFailure(const char* aWhat, const Error& aError);
  void onStoreAnswer(const char* aWhat);
  void publishReplicas();
  void onReplicas(const ReplicaPoll& aPoll, TimePoint aNow);
  Duration catchUpConfig();
  Duration catchUpReplicas();
  void logUnreadable(const std::vector<UnreadableEntry>& aEntries);
  void dropLapsed();
  void pollLease();
  [[nodiscard]] StorePollSchedule pace() const;
  [[nodiscard]] Duration gatherPause() const;
  [[nodiscard]] Duration catchUpDelay() const;

  RelaySettings settings;
  RelayShared& shared;
  Store& store;
  SuspendAwareClock clock;
  Lease<Store, SuspendAwareClock> lease;

  std::uint64_t configAfter = 0;
  bool configStarted = false;
  /** The latest outage of the store that others told of. */
  TimePoint outageSeen{};
  bool outageOpen = false;
  /** When the latest look at the list ended. */
  TimePoint polledAt{};
  bool replicasStarted = false;
  /** Two threads may bring answers of the store. */
  std::mutex configGuard;
  std::mutex listGuard;
  ReplicaList list;
  std::atomic<bool> uncertain{ false };
  /** Entries that name no replica to use, and why, as they were logged. */
  std::map<std::string, std::string> unreadable;
  /** Since when another relay has had something newer. */
  std::optional<TimePoint> configBehind;
  std::optional<TimePoint> listBehind;
  std::uint64_t listCaughtUp = 0;
  TimePoint leasePolledAt{};
  /** When the configuration was read last beside the look that is under way. */
  TimePoint proofAsked{};
  std::atomic<bool> configReachable{ true };
  /** Looks in a row that failed. */
  int configFailures = 0;
  int replicasFailures = 0;
  std::atomic<bool> replicasReachable{ true };

  PlacementController placement;
  RelayDirectory<Store> directory;
  QuarantineRows<Store> quarantine;
  /** The lease under which layers are placed; 0: none. */
  std::atomic<std::uint64_t> leading{ 0 };
  std::atomic<bool> leaving{ false };

  // Last: they use all the above.
  PeriodicThread configThread;
  PeriodicThread replicasThread;
  PeriodicThread configCatchUpThread;
  PeriodicThread replicasCatchUpThread;
  PeriodicThread leaseThread;
  PeriodicThread placeThread;
};

} // namespace poplartrack

#include "poplartrack/relay/FleetCatchUp.inl.h"
#include "poplartrack/relay/FleetControl.inl.h"
