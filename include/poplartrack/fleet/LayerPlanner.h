#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/CopyGap.h"
#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/LayerOrder.h"
#include "poplartrack/fleet/LayerRelease.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** Delays and timeouts of the planner. */
struct LayerPlannerPolicy
{
  /** The first plan waits until no replica has registered for this long. A
   * plan made for half of the replicas would have to be made again. After a
   * start, replicas register over about 3.5 s. */
  Duration registrationQuietTime = std::chrono::milliseconds{ 1'200 };
  /** Longest wait of the first plan, from the first registration on. */
  Duration maxRegistrationWait = std::chrono::seconds{ 4 };
  /** Replicas that hold other layers close a gap only after this delay, so that
   * the parts of replicas that leave together are taken over together. A longer
   * delay gains nothing: a replica that crashed restarts without layers, and
   * only after some seconds. */
  Duration gapRepairDelay = std::chrono::milliseconds{ 300 };
  /** Replaces gapRepairDelay while a replica is missing that only the leader
   * cannot reach: the leader itself may be the one that is cut off. */
  Duration uncertainGapRepairDelay = std::chrono::milliseconds{ 1'500 };
  /** A copy that still lacks layers after this time is partitioned again among
   * its remaining replicas. A crashed replica restarts without layers after 3
   * to 5 s, and giving it its former layers again is the fastest repair. */
  Duration repartitionDelay = std::chrono::seconds{ 6 };
  /** A new replica waits this long for a gap before it loads layers that others
   * hold already. In a rolling release the new replica starts before the old
   * one drains. If it loaded other layers meanwhile, it would be missing where
   * the old one had been. */
  Duration duplicateDelay = std::chrono::seconds{ 3 };
  /** Backoff after a replica refused an order. */
  Duration refusalBackoff = std::chrono::milliseconds{ 1'000 };
  /** An order that has had no effect after the load time of the model plus this
   * timeout is issued again. */
  Duration orderTimeout = std::chrono::seconds{ 4 };
  /** Whether extended replicas that carry requests release layers, and
   * redundant ones move to where demand exceeds capacity; see LayerRelease and
   * bestDemandMove(). */
  bool followsDemand = false;
};

/** A release was announced, or ended with this outcome. */
struct ReleaseEvent
{
  OpenRelease release;
  std::optional<ReleaseOutcome> outcome;
};

/**
 * Decides which layers each replica of one model service holds.
 *
 * An availability zone with enough memory gets whole copies of the model, so
 * that no token crosses zones. Zones with less memory share the layers: each
 * leaves out one layer range that others hold, so that a request crosses once.
 * Within a copy, every replica keeps memory for the same number of tokens, and
 * fast accelerators take as many layers as that allows.
 *
 * Later changes move as few layers as possible. A replica without layers takes
 * missing ones, or else duplicates those with the least memory for requests.
 * Layers that stay missing are taken over by the other replicas with the least
 * loading.
 *
 * Does no I/O and reads no clock. Keeps only its open orders and the times that
 * its delays count from. Not thread-safe.
 */
class LayerPlanner
{
public:
  explicit LayerPlanner(LayerPlannerPolicy aPolicy)
    : policy(aPolicy)
  {
  }

  /**
   * Returns the orders that are due now.
   *
   * @param aReplicas replicas of the service that are alive and not draining
   * @param aUncertain whether a listed replica is missing that may be healthy
   * @param aBusy replicas that carry requests
   */
  std::vector<LayerOrder> plan(const EngineProfile& aProfile,
                               std::span<const Replica> aReplicas,
                               bool aUncertain,
                               const std::set<std::string>& aBusy,
                               TimePoint aNow);
  /** Returns the layers that are still missing after the last plan. */
  [[nodiscard]] const std::vector<CopyGap>& gaps() const
  {
    return this->openGaps;
  }
  /** Returns the release that is announced, if any. */
  [[nodiscard]] const std::optional<OpenRelease>& openRelease() const
  {
    return this->release.open();
  }
  /** Tells the next plans how many requests of all relays pass through the
   * announced layers of each replica. A replica that is missing is not known
   * yet. */
  void setReleaseUse(std::map<std::string, std::uint32_t> aRequests)
  {
    this->releaseUse = std::move(aRequests);
  }
  /** Tells the next plans what callers ask of the service in each zone. */
  void setDemand(ZoneDemand aDemand) { this->demand = std::move(aDemand); }
  /** Tells the next plans how many times as long as declared the work of
   * replicas takes, where it is longer, and which ones are so slow that they
   * are not among the replicas to plan for. */
  void setSpeeds(std::map<std::string, double> aSlowdowns,
                 std::vector<Replica> aDegraded)
  {
    this->slowdowns = std::move(aSlowdowns);
    this->degraded = std::move(aDegraded);
  }
  /** Returns what has happened to releases since the last call. */
  std::vector<ReleaseEvent> takeReleaseEvents()
  {
    return std::exchange(this->releaseEvents, {});
  }
  /** Drops the open order of a replica that refused it and starts the backoff.
   */
  void onRefused(const std::string& aReplica)
  {
    this->openOrders.erase(aReplica);
    this->refusedAt.insert_or_assign(aReplica, this->now);
  }
  /** Forgets open orders and gap times, because another process has been the
   * leader meanwhile. */
  void reset();
  /** Ends the open release, if any: it is no longer announced. */
  void withdrawRelease();
  /** Prevents releases in the next plan and for 10 s: the replica list may be
   * outdated. */
  void onListUncertain(TimePoint aNow) { this->release.onLoss(aNow); }
  /** Tells the next plans when a relay last fell silent. */
  void onRelaySilent(TimePoint aAt) { this->release.onRelaySilent(aAt); }

private:
  struct OpenOrder
  {
    LayerRange layers;
    TimePoint since;
  };
  /** A replica of a group during one plan. */
  struct Member
  {
    const Replica* replica = nullptr;
    /** What it holds, or will hold once its open order is done. */
    LayerRange layers;
    /** Whether it has an open order or is in backoff; it gets no new order. */
    bool pending = false;
  };
  /** Replicas whose layers are planned together: those of one zone, or of all
   * zones that are too small for a copy of their own. */
  using Group = std::vector<Member>;

  // The functions are described at their definitions, in LayerPlanner.cpp,
  // LayerGap.cpp, LayerRepair.cpp, LayerShrink.cpp and LayerSpeed.cpp.
  [[nodiscard]] bool hasLostReplica(std::span<const Replica> aReplicas) const;
  [[nodiscard]] bool registrationSettled(std::span<const Replica> aReplicas,
                                         TimePoint aNow);
  void pruneOrders(const EngineProfile& aProfile,
                   std::span<const Replica> aReplicas,
                   TimePoint aNow);
  [[nodiscard]] std::vector<Group> groupReplicas(
    const EngineProfile& aProfile,
    std::span<const Replica> aReplicas) const;
  void layOutCopies(const EngineProfile& aProfile, Group& aGroup);
  bool layOutPartialCopies(const EngineProfile& aProfile,
                           const std::vector<Member*>& aFastFirst);
  void layOutCopy(const EngineProfile& aProfile,
                  std::vector<Member*>& aMembers);
  void repair(const EngineProfile& aProfile,
              Group& aGroup,
              const std::set<std::string>& aBusy);
  /** The members that hold the layers next to a gap; null if there is none. */
  struct Neighbours
  {
    Member* before = nullptr;
    Member* after = nullptr;
  };
  [[nodiscard]] static double tokenCapacityWith(const EngineProfile& aProfile,
                                                const Member& aMember,
                                                std::uint32_t aLayers);
  [[nodiscard]] static Neighbours neighboursOf(const EngineProfile& aProfile,
                                               Group& aGroup,
                                               LayerRange aGap);
  [[nodiscard]] static std::optional<LayerRange> bestShare(
    const EngineProfile& aProfile,
    const Member& aEmpty,
    const Neighbours& aNeighbours,
    LayerRange aGap);
  bool shareGap(const EngineProfile& aProfile,
                Group& aGroup,
                Member& aEmpty,
                LayerRange aGap);
  void fillGap(const EngineProfile& aProfile, Group& aGroup, LayerRange aGap);
  void extendNeighbours(const EngineProfile& aProfile,
                        Group& aGroup,
                        LayerRange aGap);
  [[nodiscard]] static bool isRedundant(const Group& aGroup,
                                        const Member& aMember);
  void moveRedundantMember(const EngineProfile& aProfile,
                           Group& aGroup,
                           LayerRange aGap);
  void shrink(const EngineProfile& aProfile,
              Group& aGroup,
              const std::set<std::string>& aBusy);
  [[nodiscard]] static std::uint32_t maxLayersOf(const EngineProfile& aProfile,
                                                 const Member& aMember);
  [[nodiscard]] static std::optional<OpenRelease> usefulRelease(
    const EngineProfile& aProfile,
    const Group& aGroup,
    const Member& aMember);
  void releaseLayers(const EngineProfile& aProfile,
                     std::vector<Group>& aGroups,
                     const std::set<std::string>& aBusy);
  [[nodiscard]] std::optional<OpenRelease> usefulMove(
    const EngineProfile& aProfile,
    const std::vector<Group>& aGroups) const;
  void continueRelease(std::vector<Group>& aGroups);
  [[nodiscard]] static bool shouldRepartition(const EngineProfile& aProfile,
                                              Group& aGroup);
  void repartition(const EngineProfile& aProfile, Group& aGroup);
  void restoreCoverage(const EngineProfile& aProfile,
                       std::vector<Group>& aGroups);
  bool fillZoneGap(const EngineProfile& aProfile,
                   const Group& aGroup,
                   Member& aEmpty,
                   std::optional<LayerRange> aMissing);
  void assignEmpty(const EngineProfile& aProfile,
                   Group& aGroup,
                   Member& aEmpty);
  bool assignFasterRange(const EngineProfile& aProfile,
                         Group& aGroup,
                         Member& aEmpty);
  void issueOrder(Member& aMember, LayerRange aLayers, const char* aReason);

  LayerPlannerPolicy policy;
  /** Orders that are not yet carried out, by replica. */
  std::map<std::string, OpenOrder> openOrders;
  /** When a replica last refused an order. Most that do are still carrying out
   * an earlier one. */
  std::map<std::string, TimePoint> refusedAt;
  /** Since when a group has had gaps, by the zone of its first member. */
  std::map<std::string, TimePoint> gapSince;
  /** Since when some layer has been held by no replica at all. */
  std::optional<TimePoint> uncoveredSince;
  /** When each listed replica was first listed. */
  std::map<std::string, TimePoint> joinedAt;
  /** When the list last went from empty to not empty. */
  TimePoint firstJoined{};
  /** When a new replica was last listed. */
  TimePoint lastJoined{};
  /** Time of the current or last plan. */
  TimePoint now{};
  /** Delay before gaps are repaired in the current plan. */
  Duration repairDelay{ 0 };
  /** Orders of the current plan. */
  std::vector<LayerOrder> orders;
  std::vector<CopyGap> openGaps;
  LayerRelease release;
  /** Whether this process has been the leader since the last plan, so that it
   * knows which replicas were lost since then. */
  bool lossesKnown = true;
  ZoneDemand demand;
  std::map<std::string, double> slowdowns;
  std::vector<Replica> degraded;
  /** When moves by demand were last considered. */
  TimePoint movesConsideredAt{};
  /** Requests through announced layers, by replica. */
  std::map<std::string, std::uint32_t> releaseUse;
  std::vector<ReleaseEvent> releaseEvents;
};

} // namespace poplartrack
