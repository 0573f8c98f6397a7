#include "poplartrack/fleet/DemandMove.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/ReleaseTimes.h"
#include "poplartrack/fleet/ReplicaHealth.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** A move has to gain within this time more than it costs. Demand that has
 * lasted for seconds often changes again within a minute. */
constexpr double kPaybackSeconds = 30;

/** Demand has to exceed the capacity by this fraction of the demand: both are
 * estimates. */
constexpr double kMinShortage = 0.05;

/** A move has to raise what its zone carries by this factor. Callers would not
 * notice a smaller gain, and the replica serves nothing for seconds. */
constexpr double kMinMoveGain = 1.05;

/** Weight of a request of urgency 0, relative to the least urgent one, 9. */
constexpr double kMaxUrgencyWeight = 10;

using Placed = std::vector<PlacedReplica>;

/** The demand of a zone beyond what its copies carry. */
struct ZoneNeed
{
  const Placed* zone = nullptr;
  /** Requests a second beyond what its copies carry; negative: what they could
   * carry in addition. */
  double unmet = 0;
  /** Mean urgency of its requests, from 0, the most urgent, to 9. */
  double urgency = 0;
  /** Zones with a higher value are tried first. */

  [[nodiscard]] double priority() const
  {
    return this->unmet > 0 ? this->unmet * (kMaxUrgencyWeight - this->urgency)
                           : this->unmet;
  }
};

double
seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Returns the time from the announcement of a replica's release to its order,
 * in s: the longest of n answers takes about 1 + ln n times the mean. */
double
releaseSeconds(const EngineProfile& aProfile,
               const MeanRequest& aMean,
               std::span<const PlacedReplica> aZone,
               const PlacedReplica& aPlaced)
{
  const double answers =
    std::max(1.0, tokensOf(aProfile, aPlaced) / aMean.tokens());
  return std::clamp(answerSeconds(aProfile, aMean, aZone) *
                      (1 + std::log(answers)),
                    seconds(kAnnouncementTime),
                    seconds(kMaxReleaseTime));
}

/** Returns the replicas without one of them. */
Placed
without(const Placed& aZone, std::size_t aIndex)
{
  Placed rest = aZone;
  rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return rest;
}

/** Returns the layers that a replica should hold beside the others of its zone:
 * those between the boundaries around the scarcest layer, as far as it has
 * memory for them. */
LayerRange
scarcestRange(const EngineProfile& aProfile,
              const Placed& aOthers,
              const Replica& aReplica)
{
  const auto tokens = tokensByLayer(aProfile, aOthers);
  const auto least = std::min_element(tokens.begin(), tokens.end());
  const auto at = static_cast<std::uint32_t>(least - tokens.begin());
  // With less memory than half of what the layer has now, the move would hardly
  // be noticed.
  const double added = std::min(tokenTarget(aProfile), *least / 2);
  const std::uint32_t most =
    std::max(1U, layerCapacity(aProfile, *kindOf(aProfile, aReplica), added));
  const std::uint32_t from = boundaryBefore(aOthers, at);
  std::uint32_t to = at + 1;
  while (to < aProfile.layers && boundaryBefore(aOthers, to) != to) {
    ++to;
  }
  const std::uint32_t first = at - from < most ? from : at;
  return { first, std::min(to, first + most) };
}

/** Returns what a replica of a zone would gain and lose by moving. */
DemandMove
evaluate(const EngineProfile& aProfile,
         const MeanRequest& aMean,
         const Placed& aZone,
         std::size_t aIndex,
         double aShortage)
{
  const Replica& replica = *aZone[aIndex].replica;
  const Placed others = without(aZone, aIndex);
  DemandMove move;
  move.replica = replica.id;
  move.zone = replica.zone;
  move.kind = replica.kind;
  move.held = aZone[aIndex].layers;
  move.to = scarcestRange(aProfile, others, replica);
  move.shortage = aShortage;
  move.carriedNow = carriedRate(aProfile, aMean, aZone);
  Placed later = aZone;
  later[aIndex].layers = move.to;
  move.carriedAfter = carriedRate(aProfile, aMean, later);
  move.gained =
    kPaybackSeconds * std::min(move.carriedAfter - move.carriedNow, aShortage);
  // The replica first waits for the answers that run through it, and then loads
  // the layers.
  const double unavailableSeconds =
    releaseSeconds(aProfile, aMean, aZone, aZone[aIndex]) +
    seconds(aProfile.loadTime) * move.to.size() / aProfile.layers;
  move.lost =
    unavailableSeconds *
    std::max(0.0, move.carriedNow - carriedRate(aProfile, aMean, others));
  return move;
}

bool
isDegraded(const PlacedReplica& aPlaced)
{
  return aPlaced.slowdown >= kDegradedSlowdown;
}

/** Returns whether others of the zone hold all layers of a replica at a normal
 * speed. */
bool
isRedundant(const EngineProfile& aProfile,
            const Placed& aZone,
            std::size_t aIndex)
{
  Placed others = without(aZone, aIndex);
  std::erase_if(others, isDegraded);
  return aZone[aIndex].layers.size() > 0 &&
         gapsOf(others, aProfile.layers).empty();
}

/** Returns the move within a zone that serves the most requests, if one pays.
 */
std::optional<DemandMove>
bestMoveIn(const EngineProfile& aProfile,
           const MeanRequest& aMean,
           const ZoneNeed& aNeed,
           double aShortage,
           const std::function<bool(const Replica&)>& aMayMove)
{
  const Placed& placed = *aNeed.zone;
  std::optional<DemandMove> best;
  // Of replicas that are alike, only one is evaluated.
  std::set<std::tuple<std::string, LayerRange, double>> evaluated;
  for (std::size_t i = 0; i < placed.size(); ++i) {
    const auto& [replica, layers, pending, slowdown] = placed[i];
    if (pending || isDegraded(placed[i]) || !aMayMove(*replica) ||
        !evaluated.emplace(replica->kind, layers, slowdown).second ||
        !isRedundant(aProfile, placed, i)) {
      continue;
    }
    DemandMove move = evaluate(aProfile, aMean, placed, i, aShortage);
    move.demand = aNeed.unmet + move.carriedNow;
    const double net = move.gained - move.lost;
    const bool isNoticed = move.carriedAfter >= kMinMoveGain * move.carriedNow;
    if (isNoticed && net > 0 && (!best || net > best->gained - best->lost)) {
      best = move;
    }
  }
  return best;
}

} // namespace

std::optional<DemandMove>
bestDemandMove(const EngineProfile& aProfile,
               std::span<const PlacedReplica> aReplicas,
               const ZoneDemand& aDemand,
               const std::function<bool(const Replica&)>& aMayMove)
{
  std::map<std::string, Placed> zones;
  for (const PlacedReplica& placed : aReplicas) {
    zones[placed.replica->zone].push_back(placed);
  }
  double demand = 0;
  for (const auto& [zone, rate] : aDemand) {
    demand += requestRate(aProfile, rate);
  }
  const MeanRequest mean = askedMean(aProfile, aDemand);
  double carried = 0;
  std::vector<ZoneNeed> needs;
  for (const auto& [zone, placed] : zones) {
    if (std::all_of(placed.begin(), placed.end(), isDegraded)) {
      // It has nothing to move, and its requests begin in other zones.
      continue;
    }
    const double rate = carriedRate(aProfile, mean, placed);
    const auto asked = aDemand.find(zone);
    carried += rate;
    if (rate <= 0) {
      // The zones without a whole copy carry requests together, by an amount
      // that is not known here.
      return std::nullopt;
    }
    const TokenRate need = asked == aDemand.end() ? TokenRate{} : asked->second;
    needs.push_back(
      { &placed, requestRate(aProfile, need) - rate, need.urgency });
  }
  const double shortage = demand - carried;
  if (shortage <= kMinShortage * demand) {
    return std::nullopt;
  }
  std::stable_sort(needs.begin(),
                   needs.end(),
                   [](const ZoneNeed& aLeft, const ZoneNeed& aRight) {
                     return aLeft.priority() > aRight.priority();
                   });
  for (const ZoneNeed& need : needs) {
    auto best = bestMoveIn(aProfile, mean, need, shortage, aMayMove);
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

} // namespace poplartrack
