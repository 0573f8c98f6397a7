#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/CopyGap.h"
#include "poplartrack/fleet/EngineProfile.h"
#include "poplartrack/fleet/LayerOrder.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** How the planner waits before it acts. */
struct LayerPlannerPolicy
{
  /** The first plan waits until no replica has registered for this long: a
   * plan drawn over half of them would have to be drawn again. Replicas
   * register over about 3.5 s. */
  Duration settle = std::chrono::milliseconds{ 1'200 };
  /** ... but not longer than this after the first one registered. */
  Duration settleMost = std::chrono::seconds{ 4 };
  /** A gap is left alone for this long: replicas that leave together are
   * replaced together. One that crashed comes back empty after some seconds,
   * so that nothing is gained by waiting for it. */
  Duration gapPatience = std::chrono::milliseconds{ 300 };
  /** ... and for this long while a replica is missing that only the leader
   * cannot reach: the leader itself may be the one that is cut off. */
  Duration doubtPatience = std::chrono::milliseconds{ 1'500 };
  /** A copy that lacks layers for this long, whatever neighbours and newcomers
   * do, is cut anew. Replicas that crash are back, empty, after three to five
   * seconds; what they held is loaded again soonest by them. */
  Duration recutPatience = std::chrono::seconds{ 6 };
  /** A newcomer that would only double others waits this long for a part to
   * come free. In a release the new replica starts before the old one leaves:
   * put elsewhere meanwhile, it was missing where the old one had been. */
  Duration doublePatience = std::chrono::seconds{ 3 };
  /** A replica that refused an order is given none for this long. */
  Duration refusedRest = std::chrono::milliseconds{ 1'000 };
  /** An order that shows no effect for this long is given again, beyond the
   * time that loading takes. */
  Duration orderPatience = std::chrono::seconds{ 4 };
};

/**
 * Decides which layers each replica of one model service holds.
 *
 * Each availability zone gets a whole copy of the model where its memory
 * allows, so that no token crosses zones; zones that are too small leave out a
 * stretch each that others hold, so that a request crosses once. Within a copy
 * the layers are cut so that every replica keeps memory for the same number of
 * tokens, and fast accelerators take as many layers as that allows. Later
 * changes move as little as possible: an empty replica takes what is missing or
 * doubles the part with the least memory; a part that stays away is taken over
 * by the others with the least loading.
 *
 * Pure: it is given the time and keeps only its own open orders. Not
 * thread-safe.
 */
class LayerPlanner
{
public:
  explicit LayerPlanner(LayerPlannerPolicy aPolicy)
    : policy(aPolicy)
  {
  }

  /**
   * The orders that are due now.
   *
   * @param aReplicas the service's replicas that live and stay
   * @param aUncertain whether a listed replica is missing that may be well
   * @param aBusy replicas through which requests pass
   */
  std::vector<LayerOrder> plan(const EngineProfile& aProfile,
                               std::span<const Replica> aReplicas,
                               bool aUncertain,
                               const std::set<std::string>& aBusy,
                               TimePoint aNow);
  /** What the last plan left open. */
  [[nodiscard]] const std::vector<CopyGap>& gaps() const
  {
    return this->openGaps;
  }
  /** An order was not accepted: it is not waited for. */
  void onRefused(const std::string& aReplica)
  {
    this->open.erase(aReplica);
    this->refused.insert_or_assign(aReplica, this->now);
  }
  /** Forgets open orders and waits: another process led meanwhile. */
  void reset();

private:
  struct OpenOrder
  {
    LayerRange layers;
    TimePoint since;
  };
  /** A replica with what it holds or will hold once its order is done. */
  struct Holder
  {
    const Replica* replica = nullptr;
    LayerRange layers;
    bool moving = false;
  };
  using Group = std::vector<Holder>;

  [[nodiscard]] bool settled(std::span<const Replica> aReplicas,
                             TimePoint aNow);
  void settleOrders(const EngineProfile& aProfile,
                    std::span<const Replica> aReplicas,
                    TimePoint aNow);
  [[nodiscard]] std::vector<Group> groups(
    const EngineProfile& aProfile,
    std::span<const Replica> aReplicas) const;
  void draw(const EngineProfile& aProfile, Group& aGroup);
  bool drawStaggered(const EngineProfile& aProfile,
                     const std::vector<Holder*>& aFastFirst);
  void drawChain(const EngineProfile& aProfile, std::vector<Holder*>& aChain);
  void repair(const EngineProfile& aProfile,
              Group& aGroup,
              const std::set<std::string>& aBusy);
  /** The holders on both sides of a gap; null where there is none. */
  struct Neighbours
  {
    Holder* before = nullptr;
    Holder* behind = nullptr;
  };
  [[nodiscard]] static double tokensBeside(const EngineProfile& aProfile,
                                           const Holder& aHolder,
                                           std::uint32_t aLayers);
  [[nodiscard]] static Neighbours neighboursOf(const EngineProfile& aProfile,
                                               Group& aGroup,
                                               LayerRange aGap);
  [[nodiscard]] static std::optional<LayerRange> bestShare(
    const EngineProfile& aProfile,
    const Holder& aEmpty,
    const Neighbours& aBeside,
    LayerRange aGap);
  bool shareGap(const EngineProfile& aProfile,
                Group& aGroup,
                Holder& aEmpty,
                LayerRange aGap);
  void fillGap(const EngineProfile& aProfile, Group& aGroup, LayerRange aGap);
  void stretch(const EngineProfile& aProfile, Group& aGroup, LayerRange aGap);
  [[nodiscard]] static bool isSecondHolder(const Group& aGroup,
                                           const Holder& aHolder);
  void moveSecondHolder(const EngineProfile& aProfile,
                        Group& aGroup,
                        LayerRange aGap);
  void shrink(const EngineProfile& aProfile,
              Group& aGroup,
              const std::set<std::string>& aBusy);
  [[nodiscard]] static bool worthRecut(const EngineProfile& aProfile,
                                       Group& aGroup);
  void recut(const EngineProfile& aProfile, Group& aGroup);
  void rescue(const EngineProfile& aProfile, std::vector<Group>& aZones);
  bool completeZone(const EngineProfile& aProfile,
                    const Group& aGroup,
                    Holder& aEmpty,
                    std::optional<LayerRange> aMissing);
  void employ(const EngineProfile& aProfile, Group& aGroup, Holder& aEmpty);
  bool placeFaster(const EngineProfile& aProfile,
                   Group& aGroup,
                   Holder& aHolder);
  void order(Holder& aHolder, LayerRange aLayers, const char* aReason);

  LayerPlannerPolicy policy;
  std::map<std::string, OpenOrder> open;
  /** Replicas that refused an order, and when: most are carrying one out. */
  std::map<std::string, TimePoint> refused;
  std::map<std::string, TimePoint> gapSince;
  /** Since when some layer is held by no replica of any copy. */
  std::optional<TimePoint> nowhereSince;
  /** Replicas that are listed, and since when. */
  std::map<std::string, TimePoint> known;
  TimePoint firstSeen{};
  TimePoint lastJoined{};
  TimePoint now{};
  Duration patience{ 0 };
  std::vector<LayerOrder> orders;
  std::vector<CopyGap> openGaps;
};

} // namespace poplartrack
