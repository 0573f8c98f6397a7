// How the planner keeps copies whole: what it takes back, cuts anew, and gives
// to newcomers.

#include <algorithm>

#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** What was stretched is taken back to this part of the goal. Below the half
 * for which zones with several copies are cut: above it, these would take their
 * own second copies for stretched ones and give layers up again. */
constexpr double kKeptCopy = 0.45;

/** When no replica anywhere holds a layer, a copy is cut anew for this part of
 * the tokens that it could keep at most; the rest is room to leave most of it
 * in place. */
constexpr double kRecutCopy = 0.75;

} // namespace

/** Takes back what was stretched once others of the zone hold those layers
 * again: memory for requests is worth more than a second holder at the edge of
 * a part. Only from a replica through which nothing passes: it refuses all work
 * until the last answer through the layers that it gives up ends, and its zone
 * is out for as long. */
void
LayerPlanner::shrink(const EngineProfile& aProfile,
                     Group& aGroup,
                     const std::set<std::string>& aBusy)
{
  for (Holder& holder : aGroup) {
    const std::uint32_t most = layersBeside(aProfile,
                                            *kindOf(aProfile, *holder.replica),
                                            kKeptCopy * tokenGoal(aProfile));
    if (holder.moving || holder.layers.size() <= most ||
        aBusy.contains(holder.replica->id)) {
      continue;
    }
    LayerRange kept = holder.layers;
    const auto others = [&](std::uint32_t aLayer) {
      return std::any_of(
        aGroup.begin(), aGroup.end(), [&](const Holder& aOther) {
          return &aOther != &holder && !aOther.moving &&
                 aOther.replica->zone == holder.replica->zone &&
                 aOther.layers.contains({ aLayer, aLayer + 1 });
        });
    };
    while (kept.size() > most && others(kept.from)) {
      ++kept.from;
    }
    while (kept.size() > most && others(kept.to - 1)) {
      --kept.to;
    }
    if (kept != holder.layers) {
      // One at a time: two that hold the same layers must not both leave them.
      this->order(holder, kept, "shrink");
      return;
    }
  }
}

/**
 * Whether a copy that nothing else makes whole is cut anew over those that are
 * left. Its parts are missing until the last answers through them end, but only
 * paths that cross zones lead through them. Left as it is, a zone whose
 * neighbours of the gap have no room for it stays out, and the others' memory
 * is too little for its callers.
 */
bool
LayerPlanner::worthRecut(const EngineProfile& aProfile, Group& aGroup)
{
  const bool open =
    !gapsOf(aGroup, aProfile.layers).empty() &&
    std::none_of(aGroup.begin(), aGroup.end(), [](const Holder& aHolder) {
      return aHolder.moving;
    });
  const double goal = tokenGoal(aProfile);
  return open &&
         tokensOfCopy(aProfile, kindsOf(aProfile, pointersTo(aGroup)), goal) >=
           kSmallestCopy * goal;
}

/** Cuts a copy anew over those that are left of it. */
void
LayerPlanner::recut(const EngineProfile& aProfile, Group& aGroup)
{
  auto all = pointersTo(aGroup);
  std::stable_sort(
    all.begin(), all.end(), [](const Holder* aLeft, const Holder* aRight) {
      return aLeft->layers < aRight->layers;
    });
  const double tokens =
    kRecutCopy *
    tokensOfCopy(aProfile, kindsOf(aProfile, all), tokenGoal(aProfile));
  std::vector<CutMember> members;
  for (const Holder* holder : all) {
    const AcceleratorKind& kind = *kindOf(aProfile, *holder->replica);
    members.push_back(
      CutMember{ holder->layers, layersBeside(aProfile, kind, tokens) });
  }
  const auto ranges = recutLayers(aProfile.layers, members);
  for (std::size_t i = 0; i < ranges.size(); ++i) {
    this->order(*all[i], ranges[i], "recut");
  }
}

/**
 * Gives a newcomer what its zone lacks where several zones share the layers:
 * what the one before it held, as a rule. Doubled elsewhere, each layer of the
 * model had a holder in some zone, but paths had to cross twice for the part
 * that was lost. Of several stretches it takes the largest that it closes, of
 * those with layers that nobody holds if some are named. False when there is
 * none.
 */
bool
LayerPlanner::completeZone(const EngineProfile& aProfile,
                           const Group& aGroup,
                           Holder& aEmpty,
                           std::optional<LayerRange> aMissing)
{
  Group zone;
  double tokens = tokenGoal(aProfile);
  for (const Holder& holder : aGroup) {
    if (holder.replica->zone != aEmpty.replica->zone) {
      continue;
    }
    zone.push_back(holder);
    if (holder.layers.size() > 0) {
      tokens =
        std::min(tokens, tokensBeside(aProfile, holder, holder.layers.size()));
    }
  }
  if (zone.size() == aGroup.size()) {
    return false;
  }
  const std::uint32_t most = std::max(
    layersBeside(aProfile, *kindOf(aProfile, *aEmpty.replica), tokens), 1U);
  LayerRange best;
  for (const LayerRange& gap : gapsOf(zone, aProfile.layers)) {
    const bool closes = gap.size() <= most;
    if (aMissing && !(closes && gap.contains(*aMissing))) {
      continue;
    }
    const bool bestCloses = best.size() > 0 && best.size() <= most;
    const bool better =
      closes == bestCloses ? gap.size() > best.size() : closes;
    if (best.size() == 0 || better) {
      best = gap;
    }
  }
  if (best.size() == 0) {
    return false;
  }
  this->order(
    aEmpty, { best.from, best.from + std::min(most, best.size()) }, "zone");
  return true;
}

void
LayerPlanner::employ(const EngineProfile& aProfile,
                     Group& aGroup,
                     Holder& aEmpty)
{
  if (this->completeZone(aProfile, aGroup, aEmpty, std::nullopt) ||
      this->placeFaster(aProfile, aGroup, aEmpty)) {
    return;
  }
  const auto joined = this->known.find(aEmpty.replica->id);
  const bool waits = joined != this->known.end() &&
                     this->now - joined->second < this->policy.doublePatience;
  if (waits) {
    return;
  }
  // The weakest layer bounds the copy.
  const std::vector<double> tokens = tokensByLayer(aProfile, aGroup);
  const auto weakest = static_cast<std::uint32_t>(
    std::min_element(tokens.begin(), tokens.end()) - tokens.begin());
  const std::uint32_t most = std::max(
    layersBeside(
      aProfile, *kindOf(aProfile, *aEmpty.replica), tokenGoal(aProfile)),
    1U);
  const std::uint32_t from = cutBefore(aGroup, weakest);
  std::uint32_t to = std::min(from + most, aProfile.layers);
  if (to <= weakest) {
    this->order(
      aEmpty, { weakest, std::min(weakest + most, aProfile.layers) }, "double");
    return;
  }
  // Same cut points as the parts that it doubles: it is then exchangeable with
  // them.
  const std::uint32_t snapped = cutBefore(aGroup, to);
  to = snapped > weakest ? snapped : to;
  this->order(aEmpty, { from, to }, "double");
}

void
LayerPlanner::repair(const EngineProfile& aProfile,
                     Group& aGroup,
                     const std::set<std::string>& aBusy)
{
  const std::string& name = aGroup.front().replica->zone;
  const auto gaps = gapsOf(aGroup, aProfile.layers);
  for (const LayerRange& gap : gaps) {
    this->fillGap(aProfile, aGroup, gap);
  }
  const auto left = gapsOf(aGroup, aProfile.layers);
  if (left.empty()) {
    this->gapSince.erase(name);
  } else {
    const auto since =
      this->gapSince.try_emplace(name, this->now).first->second;
    if (this->now - since >= this->patience) {
      for (const LayerRange& gap : left) {
        this->stretch(aProfile, aGroup, gap);
      }
      for (const LayerRange& gap : gapsOf(aGroup, aProfile.layers)) {
        this->moveSecondHolder(aProfile, aGroup, gap);
      }
    }
    if (this->now - since >= this->policy.recutPatience &&
        this->worthRecut(aProfile, aGroup)) {
      this->recut(aProfile, aGroup);
    }
  }
  for (Holder& holder : aGroup) {
    if (holder.layers.size() == 0 && !holder.moving) {
      this->employ(aProfile, aGroup, holder);
    }
  }
  const bool calm =
    gaps.empty() &&
    std::none_of(aGroup.begin(), aGroup.end(), [](const Holder& aHolder) {
      return aHolder.moving;
    });
  if (calm) {
    this->shrink(aProfile, aGroup, aBusy);
  }
}

/** When some layer is held nowhere, every request is refused: the largest copy
 * is cut anew, whatever has to move. */
void
LayerPlanner::rescue(const EngineProfile& aProfile, std::vector<Group>& aZones)
{
  Group all;
  for (const Group& group : aZones) {
    all.insert(all.end(), group.begin(), group.end());
  }
  const bool moving =
    std::any_of(all.begin(), all.end(), [](const Holder& aHolder) {
      return aHolder.moving;
    });
  if (moving || gapsOf(all, aProfile.layers).empty()) {
    this->nowhereSince.reset();
    return;
  }
  if (!this->nowhereSince) {
    this->nowhereSince = this->now;
  }
  if (this->now - *this->nowhereSince < this->patience) {
    return;
  }
  const auto tokensOf = [&](Group& aGroup) {
    return tokensOfCopy(
      aProfile, kindsOf(aProfile, pointersTo(aGroup)), tokenGoal(aProfile));
  };
  Group* largest = nullptr;
  for (Group& group : aZones) {
    if (largest == nullptr || tokensOf(group) > tokensOf(*largest)) {
      largest = &group;
    }
  }
  this->recut(aProfile,
              largest != nullptr && tokensOf(*largest) > 0 ? *largest : all);
}

} // namespace poplartrack
