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

/** Memory for requests that is tried, as parts of the goal. The least serves
 * fleets that just hold the model. */
constexpr std::array<double, 5> kMemoryParts{ 0.03, 0.07, 0.15, 0.3, 0.6 };

/** Places of a zone's layers that are tried, beside those around a stretch that
 * it leaves out in the middle. */
constexpr std::uint32_t kPlaces = 8;

/** Times that each zone is placed anew beside the others. */
constexpr int kRounds = 2;

/** Zones that are placed beside each other. The work grows with the fourth
 * power of their number; more of them are dealt into sets, each with all
 * layers. */
constexpr std::size_t kMostTogether = 6;

/** One way to lay a zone's replicas over the layers. */
using Layout = std::vector<LayerRange>;

/** The layers of a zone for some memory, and the ways to lay them. */
struct ZoneChoices
{
  double rate = 0;
  std::vector<Layout> layouts;
  std::size_t chosen = 0;
};

/** Requests in a second that a zone serves in each of its layers when its
 * memory is full of usual requests. */
double
rateOf(const EngineProfile& aProfile,
       const Kinds& aKinds,
       const std::vector<std::uint32_t>& aCounts,
       double aTokens)
{
  const auto held = std::accumulate(aCounts.begin(), aCounts.end(), 0U);
  // The rest of a request's layers is taken to be as slow as these.
  const double part = static_cast<double>(aProfile.layers) / held;
  return answersPerSecond(aProfile, aKinds, aCounts, aTokens) / part;
}

/** Lays replicas one behind the other from a layer on; those from aSplit on end
 * at the last layer of the model instead. */
Layout
layFrom(const EngineProfile& aProfile,
        const std::vector<std::uint32_t>& aCounts,
        std::uint32_t aFrom,
        std::size_t aSplit)
{
  const auto behind = aCounts.begin() + static_cast<std::ptrdiff_t>(aSplit);
  const auto tail = std::accumulate(behind, aCounts.end(), 0U);
  Layout layout;
  std::uint32_t at = aFrom;
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    if (i == aSplit) {
      at = aProfile.layers - tail;
    }
    layout.push_back({ at, at + aCounts[i] });
    at += aCounts[i];
  }
  return layout;
}

/** The same with the replicas in reverse order, each under its own place. */
Layout
layReversed(const EngineProfile& aProfile,
            const std::vector<std::uint32_t>& aCounts,
            std::size_t aSplit)
{
  const std::vector<std::uint32_t> reversed{ aCounts.rbegin(), aCounts.rend() };
  Layout layout = layFrom(aProfile, reversed, 0, aSplit);
  std::reverse(layout.begin(), layout.end());
  return layout;
}

ZoneChoices
choicesOf(const EngineProfile& aProfile, const Kinds& aKinds, double aTokens)
{
  ZoneChoices choices;
  std::uint32_t room = 0;
  for (const AcceleratorKind* kind : aKinds) {
    room += layersBeside(aProfile, *kind, aTokens);
  }
  const std::uint32_t held = std::min(room, aProfile.layers);
  const auto counts = cutLayers(aProfile, aKinds, aTokens, held);
  if (held == 0) {
    return choices;
  }
  choices.rate = rateOf(aProfile, aKinds, counts, aTokens);
  const std::uint32_t missing = aProfile.layers - held;
  const std::uint32_t step = std::max(missing / kPlaces, 1U);
  for (std::uint32_t from = 0; from <= missing; from += step) {
    choices.layouts.push_back(layFrom(aProfile, counts, from, counts.size()));
  }
  for (std::size_t split = 0; split < counts.size() && missing > 0; ++split) {
    choices.layouts.push_back(layFrom(aProfile, counts, 0, split));
    choices.layouts.push_back(layReversed(aProfile, counts, split));
  }
  return choices;
}

ZoneHolding
holdingOf(const ZoneChoices& aZone)
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

/** Places the zones one by one, each where all carry most together. */
double
place(const EngineProfile& aProfile, std::vector<ZoneChoices>& aZones)
{
  std::vector<ZoneHolding> holdings;
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    // At first their stretches lie evenly apart.
    aZones[i].chosen = aZones[i].layouts.size() * i / aZones.size();
    holdings.push_back(holdingOf(aZones[i]));
  }
  double most = carriedRate(aProfile, holdings);
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < aZones.size(); ++i) {
      ZoneChoices& zone = aZones[i];
      std::size_t best = zone.chosen;
      for (std::size_t j = 0; j < zone.layouts.size(); ++j) {
        zone.chosen = j;
        holdings[i] = holdingOf(zone);
        const double rate = carriedRate(aProfile, holdings);
        if (rate > most) {
          most = rate;
          best = j;
        }
      }
      zone.chosen = best;
      holdings[i] = holdingOf(zone);
    }
  }
  return most;
}

/** A whole copy in one zone, where that holds all layers and a request. */
std::optional<ZoneChoices>
wholeCopy(const EngineProfile& aProfile, const Kinds& aKinds)
{
  const double goal = layer_copy::tokenGoal(aProfile);
  const double most = tokensOfCopy(aProfile, aKinds, goal);
  if (most < aProfile.meanPromptTokens + aProfile.meanAnswerTokens) {
    return std::nullopt;
  }
  const double tokens = bestTokens(aProfile, aKinds, goal);
  const auto counts = cutLayers(aProfile, aKinds, tokens, aProfile.layers);
  ZoneChoices whole;
  whole.rate = rateOf(aProfile, aKinds, counts, tokens);
  whole.layouts.push_back(layFrom(aProfile, counts, 0, counts.size()));
  return whole;
}

/** What a request that crosses is worth beside one that does not: while its
 * prompt takes the pipe, the tokens of all streams that cross there wait. */
double
worthOfCrossing(const EngineProfile& aProfile)
{
  return std::min(1.0, crossingRate(aProfile) / kSteadyCrossings);
}

/** The best way to lay the zones, with those that can do so keeping whole
 * copies of their own or without. */
StaggeredCopies
stagger(const EngineProfile& aProfile,
        const std::vector<Kinds>& aZones,
        const std::vector<std::optional<ZoneChoices>>& aWhole)
{
  StaggeredCopies best;
  for (const double part : kMemoryParts) {
    const double tokens = part * layer_copy::tokenGoal(aProfile);
    double rate = 0;
    std::vector<ZoneChoices> shared;
    for (std::size_t i = 0; i < aZones.size(); ++i) {
      if (aWhole[i]) {
        rate += aWhole[i]->rate;
      } else {
        shared.push_back(choicesOf(aProfile, aZones[i], tokens));
      }
    }
    rate += worthOfCrossing(aProfile) * place(aProfile, shared);
    if (rate <= best.rate) {
      continue;
    }
    best.rate = rate;
    best.layers.clear();
    auto next = shared.begin();
    for (std::size_t i = 0; i < aZones.size(); ++i) {
      const ZoneChoices& zone = aWhole[i] ? *aWhole[i] : *next++;
      best.layers.push_back(zone.layouts.empty() ? Layout(aZones[i].size())
                                                 : zone.layouts[zone.chosen]);
    }
  }
  return best;
}

/** Zones that are few enough to be placed beside each other. */
StaggeredCopies
staggerTogether(const EngineProfile& aProfile, const std::vector<Kinds>& aZones)
{
  std::vector<std::optional<ZoneChoices>> whole(aZones.size());
  StaggeredCopies best = stagger(aProfile, aZones, whole);
  bool anyWhole = false;
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    whole[i] = wholeCopy(aProfile, aZones[i]);
    anyWhole = anyWhole || whole[i].has_value();
  }
  if (!anyWhole) {
    return best;
  }
  StaggeredCopies own = stagger(aProfile, aZones, whole);
  return own.rate > best.rate ? own : best;
}

} // namespace

StaggeredCopies
staggerCopies(const EngineProfile& aProfile, const std::vector<Kinds>& aZones)
{
  const std::size_t sets = (aZones.size() + kMostTogether - 1) / kMostTogether;
  if (sets <= 1) {
    return staggerTogether(aProfile, aZones);
  }
  StaggeredCopies all;
  all.layers.resize(aZones.size());
  for (std::size_t set = 0; set < sets; ++set) {
    std::vector<Kinds> zones;
    for (std::size_t i = set; i < aZones.size(); i += sets) {
      zones.push_back(aZones[i]);
    }
    const StaggeredCopies some = staggerTogether(aProfile, zones);
    if (some.rate <= 0) {
      return {};
    }
    all.rate += some.rate;
    for (std::size_t i = 0; i < zones.size(); ++i) {
      all.layers[set + i * sets] = some.layers[i];
    }
  }
  return all;
}

} // namespace poplartrack
