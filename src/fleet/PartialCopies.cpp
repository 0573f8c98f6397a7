#include "PartialCopies.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>

#include "LayerCopy.h"
#include "LayerPartition.h"

namespace poplartrack {
namespace {

using Kinds = std::vector<const AcceleratorKind*>;

/** Token capacities that are tried, as fractions of the token target. The
 * smallest is for fleets whose memory barely holds the model. */
constexpr std::array<double, 5> kFractionsTried{ 0.03, 0.07, 0.15, 0.3, 0.6 };

/** Number of steps in which the first layer of a zone is moved through the
 * possible positions, in addition to layouts that leave out a range in the
 * middle. */
constexpr std::uint32_t kOffsetsTried = 8;

/** Number of rounds. In each round, the layout of every zone is chosen again,
 * given the current layouts of the other zones. */
constexpr int kPlacementRounds = 2;

/** Most zones whose layouts are chosen together. The work grows with the fourth
 * power of their number, so more zones are divided into sets that each hold all
 * layers. */
constexpr std::size_t kMaxZonesPerSet = 6;

/** The layer range of each replica of a zone. */
using Layout = std::vector<LayerRange>;

/** The possible layouts of a zone for one token capacity. */
struct ZoneOptions
{
  /** Requests per second that the zone serves in each of its layers. */
  double rate = 0;
  std::vector<Layout> layouts;
  /** Index of the chosen layout. */
  std::size_t chosen = 0;
};

/** Returns the requests per second that a zone serves in each of its layers
 * when its memory is full of mean requests. */
double
zoneRequestRate(const EngineProfile& aProfile,
                const Kinds& aKinds,
                const std::vector<std::uint32_t>& aCounts,
                double aTokens)
{
  const auto held = std::accumulate(aCounts.begin(), aCounts.end(), 0U);
  // The other layers of a request are taken to be as slow as these.
  const double zonesPerRequest = static_cast<double>(aProfile.layers) / held;
  return answersPerSecond(aProfile, aKinds, aCounts, aTokens) / zonesPerRequest;
}

/** Returns the layout with the replicas one after the other from layer aFrom
 * on. Those from index aSplit on are moved to the end of the model, so that the
 * layout leaves out a range in the middle; aCounts.size() moves none. */
Layout
layOut(const EngineProfile& aProfile,
       const std::vector<std::uint32_t>& aCounts,
       std::uint32_t aFrom,
       std::size_t aSplit)
{
  const auto tail = aCounts.begin() + static_cast<std::ptrdiff_t>(aSplit);
  const auto tailLayers = std::accumulate(tail, aCounts.end(), 0U);
  Layout layout;
  std::uint32_t next = aFrom;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    if (i == aSplit) {
      next = aProfile.layers - tailLayers;
    }
    layout.push_back({ next, next + aCounts[i] });
    next += aCounts[i];
  }
  return layout;
}

/** Returns the layout from the first layer on with the replicas in reverse
 * order. Ranges are returned in the original order of the replicas. */
Layout
layOutReversed(const EngineProfile& aProfile,
               const std::vector<std::uint32_t>& aCounts,
               std::size_t aSplit)
{
  const std::vector<std::uint32_t> reversed{ aCounts.rbegin(), aCounts.rend() };
  Layout layout = layOut(aProfile, reversed, 0, aSplit);
  std::reverse(layout.begin(), layout.end());
  return layout;
}

/** Returns the layouts that are tried for a zone at one token capacity. */
ZoneOptions
zoneOptions(const EngineProfile& aProfile, const Kinds& aKinds, double aTokens)
{
  ZoneOptions options;
  std::uint32_t room = 0;
  for (const AcceleratorKind* kind : aKinds) {
    room += layerCapacity(aProfile, *kind, aTokens);
  }
  const std::uint32_t held = std::min(room, aProfile.layers);
  const auto counts = partitionLayers(aProfile, aKinds, aTokens, held);
  if (held == 0) {
    return options;
  }
  options.rate = zoneRequestRate(aProfile, aKinds, counts, aTokens);
  const std::uint32_t missing = aProfile.layers - held;
  const std::uint32_t step = std::max(missing / kOffsetsTried, 1U);
  for (std::uint32_t from = 0; from <= missing; from += step) {
    options.layouts.push_back(layOut(aProfile, counts, from, counts.size()));
  }
  for (std::size_t split = 0; split < counts.size() && missing > 0; ++split) {
    options.layouts.push_back(layOut(aProfile, counts, 0, split));
    options.layouts.push_back(layOutReversed(aProfile, counts, split));
  }
  return options;
}

/** Returns the layers of the chosen layout, with adjacent ranges merged. */
ZoneHolding
holdingOf(const ZoneOptions& aZone)
{
  ZoneHolding holding;
  holding.rate = aZone.rate;
  if (aZone.layouts.empty()) {
    return holding;
  }
  Layout sorted = aZone.layouts[aZone.chosen];
  std::sort(sorted.begin(), sorted.end());
  for (const LayerRange& range : sorted) {
    if (range.size() == 0) {
      continue;
    }
    if (!holding.ranges.empty() && holding.ranges.back().to == range.from) {
      holding.ranges.back().to = range.to;
    } else {
      holding.ranges.push_back(range);
    }
  }
  return holding;
}

/** Chooses the layout of one zone after the other, each time the one with which
 * all zones carry the most requests together. Returns that rate. */
double
chooseLayouts(const EngineProfile& aProfile, std::vector<ZoneOptions>& aZones)
{
  std::vector<ZoneHolding> holdings;
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    // Start with the missing ranges spread evenly over the model.
    aZones[i].chosen = aZones[i].layouts.size() * i / aZones.size();
    holdings.push_back(holdingOf(aZones[i]));
  }
  double bestRate = zoneThroughput(aProfile, holdings);
  for (int round = 0; round < kPlacementRounds; ++round) {
    for (std::size_t i = 0; i < aZones.size(); ++i) {
      ZoneOptions& zone = aZones[i];
      std::size_t best = zone.chosen;
      for (std::size_t j = 0; j < zone.layouts.size(); ++j) {
        zone.chosen = j;
        holdings[i] = holdingOf(zone);
        const double rate = zoneThroughput(aProfile, holdings);
        if (rate > bestRate) {
          bestRate = rate;
          best = j;
        }
      }
      zone.chosen = best;
      holdings[i] = holdingOf(zone);
    }
  }
  return bestRate;
}

/** Returns a whole copy in one zone, or nothing if the zone cannot hold all
 * layers and one mean request. */
std::optional<ZoneOptions>
wholeCopy(const EngineProfile& aProfile, const Kinds& aKinds)
{
  const double target = layer_copy::tokenTarget(aProfile);
  const double maxTokens = copyTokenCapacity(aProfile, aKinds, target);
  if (maxTokens < aProfile.meanPromptTokens + aProfile.meanAnswerTokens) {
    return std::nullopt;
  }
  const double tokens = bestTokenCapacity(aProfile, aKinds, target);
  const auto counts =
    partitionLayers(aProfile, aKinds, tokens, aProfile.layers);
  ZoneOptions whole;
  whole.rate = zoneRequestRate(aProfile, aKinds, counts, tokens);
  whole.layouts.push_back(layOut(aProfile, counts, 0, counts.size()));
  return whole;
}

/** Returns the weight of a request that crosses zones, relative to one that
 * does not: while its prompt takes up the link, the tokens of all streams that
 * cross the link wait. */
double
crossingWeight(const EngineProfile& aProfile)
{
  return std::min(1.0, linkRequestRate(aProfile) / kFastLinkRequestRate);
}

/** Returns the best layouts of the zones. A zone with an entry in aWholeCopies
 * keeps that copy; the others share the layers. */
PartialCopies
planZones(const EngineProfile& aProfile,
          const std::vector<Kinds>& aZones,
          const std::vector<std::optional<ZoneOptions>>& aWholeCopies)
{
  PartialCopies best;
  for (const double fraction : kFractionsTried) {
    const double tokens = fraction * layer_copy::tokenTarget(aProfile);
    double rate = 0;
    std::vector<ZoneOptions> shared;
    for (std::size_t i = 0; i < aZones.size(); ++i) {
      if (aWholeCopies[i]) {
        rate += aWholeCopies[i]->rate;
      } else {
        shared.push_back(zoneOptions(aProfile, aZones[i], tokens));
      }
    }
    rate += crossingWeight(aProfile) * chooseLayouts(aProfile, shared);
    if (rate <= best.rate) {
      continue;
    }
    best.rate = rate;
    best.layers.clear();
    auto next = shared.begin();
    for (std::size_t i = 0; i < aZones.size(); ++i) {
      const ZoneOptions& zone = aWholeCopies[i] ? *aWholeCopies[i] : *next++;
      best.layers.push_back(zone.layouts.empty() ? Layout(aZones[i].size())
                                                 : zone.layouts[zone.chosen]);
    }
  }
  return best;
}

/** Plans zones that are few enough to be planned together, with and without
 * whole copies in those that can hold one, and returns the better plan. */
PartialCopies
planZoneSet(const EngineProfile& aProfile, const std::vector<Kinds>& aZones)
{
  std::vector<std::optional<ZoneOptions>> whole(aZones.size());
  PartialCopies best = planZones(aProfile, aZones, whole);
  bool anyWhole = false;
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    whole[i] = wholeCopy(aProfile, aZones[i]);
    anyWhole = anyWhole || whole[i].has_value();
  }
  if (!anyWhole) {
    return best;
  }
  PartialCopies withWholeCopies = planZones(aProfile, aZones, whole);
  return withWholeCopies.rate > best.rate ? withWholeCopies : best;
}

} // namespace

PartialCopies
planPartialCopies(const EngineProfile& aProfile,
                  const std::vector<Kinds>& aZones)
{
  const std::size_t sets =
    (aZones.size() + kMaxZonesPerSet - 1) / kMaxZonesPerSet;
  if (sets <= 1) {
    return planZoneSet(aProfile, aZones);
  }
  PartialCopies all;
  all.layers.resize(aZones.size());
  for (std::size_t set = 0; set < sets; ++set) {
    std::vector<Kinds> zones;
    for (std::size_t i = set; i < aZones.size(); i += sets) {
      zones.push_back(aZones[i]);
    }
    const PartialCopies ofSet = planZoneSet(aProfile, zones);
    if (ofSet.rate <= 0) {
      return {};
    }
    all.rate += ofSet.rate;
    for (std::size_t i = 0; i < zones.size(); ++i) {
      all.layers[set + i * sets] = ofSet.layers[i];
    }
  }
  return all;
}

} // namespace poplartrack
