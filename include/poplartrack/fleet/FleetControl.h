#pragma once

#include <atomic>
#include <concepts>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "poplartrack/base/PeriodicThread.h"
#include "poplartrack/fleet/FleetPolls.h"
#include "poplartrack/fleet/LayerPlanner.h"
#include "poplartrack/fleet/ReplicaList.h"
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
    aStore.readConfig()
    } -> std::same_as<Result<ConfigPoll>>;
  {
    aStore.awaitConfig(aAfter, aWait)
    } -> std::same_as<Result<ConfigPoll>>;
  {
    aStore.readReplicas()
    } -> std::same_as<Result<ReplicaPoll>>;
  {
    aStore.awaitReplicas(aAfter, aWait)
    } -> std::same_as<Result<ReplicaPoll>>;
};

/** Gives one order to a replica; returns at once. */
using PlaceOrder = std::function<void(const Replica&,
                                      LayerRange,
                                      std::uint64_t aFence,
                                      std::function<void(Result<Done>)>)>;

/**
 * The threads that keep a relay up to date and do its share of the common
 * duties: one follows the operator's configuration, one the replicas' list,
 * one contends for the placement lease, gives orders while it holds it, and
 * keeps the list of relays.
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
  void leave();

private:
  Duration followConfig();
  Duration followReplicas();
  Duration duty();
  void onConfig(const ConfigPoll& aPoll);
  void onStoreFailure(const char* aWhat, const Error& aError);
  void onStoreAnswer(const char* aWhat);
  void publishReplicas();
  void onReplicas(const ReplicaPoll& aPoll, TimePoint aNow);
  void catchUp();
  void pollLease();
  [[nodiscard]] Duration configWait() const;
  void place(std::uint64_t aFence);
  void give(const LayerOrder& aOrder,
            const Replica& aReplica,
            std::uint64_t aFence);
  void joinRelays();
  void readRelays();

  RelaySettings settings;
  RelayShared& shared;
  Store& store;
  PlaceOrder placeOrder;
  SuspendAwareClock clock;
  Lease<Store, SuspendAwareClock> lease;

  std::uint64_t configAfter = 0;
  bool configStarted = false;
  std::uint64_t replicasAfter = 0;
  bool replicasStarted = false;
  /** Two threads may bring answers of the store. */
  std::mutex configGuard;
  std::mutex listGuard;
  ReplicaList list;
  std::atomic<bool> uncertain{ false };
  /** Since when another relay has had something newer. */
  std::optional<TimePoint> configBehind;
  std::optional<TimePoint> listBehind;
  std::uint64_t listCaughtUp = 0;
  TimePoint leaseLooked{};
  bool configReachable = true;
  bool replicasReachable = true;

  std::mutex planGuard;
  /** One planner for each model service. */
  std::map<std::string, LayerPlanner> planners;
  bool leading = false;
  bool joined = false;
  TimePoint relaysReadAt{};
  bool relaysRead = false;
  std::atomic<bool> leaving{ false };

  // Last: they use all the above.
  PeriodicThread configThread;
  PeriodicThread replicasThread;
  PeriodicThread dutyThread;
};

} // namespace poplartrack

#include "poplartrack/fleet/FleetControl.inl.h"
