// How the planner repairs a copy that lost a part, and employs newcomers.

#include <algorithm>
#include <limits>
#include <utility>

#include "LayerCopy.h"
#include "LayerCut.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** A replica whose neighbours are missing takes over layers while it keeps
 * memory for this part of the goal: some forty requests, a third of what a zone
 * has in flight. At twice as much the neighbours of a usual part could not take
 * it over, and the zone was out until the replica came back. */
constexpr double kStretchedCopy = 0.22;

/** What was stretched is taken back to this part of the goal. Below the half
 * for which zones with several copies are cut: above it, these would take their
 * own second copies for stretched ones and give layers up again. */
constexpr double kKeptCopy = 0.45;

/** When no replica anywhere holds a layer, a copy is cut anew for this part of
 * the tokens that it could keep at most; the rest is room to leave most of it
 * in place. */
constexpr double kRecutCopy = 0.75;

} // namespace

/** Tokens that the replica keeps memory for beside so many layers. */
double
LayerPlanner::tokensBeside(const EngineProfile& aProfile,
                           const Holder& aHolder,
                           std::uint32_t aLayers)
{
  const AcceleratorKind& kind = *kindOf(aProfile, *aHolder.replica);
  const double free = kind.memoryMb - aProfile.layerMb * aLayers;
  return free / (aProfile.tokenLayerMb() * aLayers);
}

/** The holders that end where a gap begins, and begin where it ends; of several
 * the one with the most memory. */
LayerPlanner::Neighbours
LayerPlanner::neighboursOf(const EngineProfile& aProfile,
                           Group& aGroup,
                           LayerRange aGap)
{
  const auto better = [&](const Holder& aOne, const Holder* aOther) {
    return aOther == nullptr ||
           tokensBeside(aProfile, aOne, aOne.layers.size() + 1) >
             tokensBeside(aProfile, *aOther, aOther->layers.size() + 1);
  };
  Neighbours found;
  for (Holder& holder : aGroup) {
    if (holder.layers.size() == 0 || holder.moving) {
      continue;
    }
    if (holder.layers.to == aGap.from && better(holder, found.before)) {
      found.before = &holder;
    }
    if (holder.layers.from == aGap.to && better(holder, found.behind)) {
      found.behind = &holder;
    }
  }
  return found;
}

/**
 * Deals a gap to a newcomer and the neighbours together, so that the one with
 * the least memory left has the most. A replica of a slow kind cannot take the
 * part of a faster one alone: five of eight layers were filled, the last three
 * stayed open, and the zone's other eleven replicas idle, until the next
 * newcomer or the end of the day.
 */
bool
LayerPlanner::shareGap(const EngineProfile& aProfile,
                       Group& aGroup,
                       Holder& aEmpty,
                       LayerRange aGap)
{
  const Neighbours beside = neighboursOf(aProfile, aGroup, aGap);
  double most = kStretchedCopy * tokenGoal(aProfile);
  std::optional<LayerRange> best;
  const auto tokensOf = [&](const Holder* aHolder, std::uint32_t aMore) {
    if (aMore == 0) {
      return std::numeric_limits<double>::infinity();
    }
    return aHolder == nullptr
             ? 0.0
             : tokensBeside(aProfile, *aHolder, aHolder->layers.size() + aMore);
  };
  for (std::uint32_t from = aGap.from; from < aGap.to; ++from) {
    for (std::uint32_t to = from + 1; to <= aGap.to; ++to) {
      const double least = std::min({ tokensBeside(aProfile, aEmpty, to - from),
                                      tokensOf(beside.before, from - aGap.from),
                                      tokensOf(beside.behind, aGap.to - to) });
      if (least > most) {
        most = least;
        best = LayerRange{ from, to };
      }
    }
  }
  if (!best) {
    return false;
  }
  if (best->from > aGap.from) {
    this->order(
      *beside.before, { beside.before->layers.from, best->from }, "stretch");
  }
  if (best->to < aGap.to) {
    this->order(
      *beside.behind, { best->to, beside.behind->layers.to }, "stretch");
  }
  this->order(aEmpty, *best, "gap");
  return true;
}

void
LayerPlanner::fillGap(const EngineProfile& aProfile,
                      Group& aGroup,
                      LayerRange aGap)
{
  const double goal = tokenGoal(aProfile);
  std::uint32_t room = 0;
  std::vector<Holder*> empty;
  for (Holder& holder : aGroup) {
    if (holder.layers.size() == 0 && !holder.moving) {
      empty.push_back(&holder);
      room += layersBeside(aProfile, *kindOf(aProfile, *holder.replica), goal);
    }
  }
  const bool isShared = empty.size() == 1 && room < aGap.size() &&
                        this->shareGap(aProfile, aGroup, *empty[0], aGap);
  if (isShared) {
    return;
  }
  for (Holder& holder : aGroup) {
    if (holder.layers.size() > 0 || holder.moving || aGap.size() == 0) {
      continue;
    }
    const std::uint32_t most = std::max(
      layersBeside(aProfile, *kindOf(aProfile, *holder.replica), goal), 1U);
    const std::uint32_t take = std::min(most, aGap.size());
    this->order(holder, { aGap.from, aGap.from + take }, "gap");
    aGap.from += take;
  }
}

/**
 * Stretches the neighbours of a gap over it. What they hold stays in service
 * meanwhile, and only the gap's layers are loaded: under a second for five. A
 * replica that must give layers up waits until the last answer that passes
 * through them ends, 5 s and more, and is missing until then. Nothing is done
 * when the neighbours cannot fill the gap: paths cross zones for those layers
 * either way.
 */
void
LayerPlanner::stretch(const EngineProfile& aProfile,
                      Group& aGroup,
                      LayerRange aGap)
{
  const double tokens = kStretchedCopy * tokenGoal(aProfile);
  const auto roomOf = [&](const Holder& aHolder) {
    const std::uint32_t most =
      layersBeside(aProfile, *kindOf(aProfile, *aHolder.replica), tokens);
    const bool free = !aHolder.moving && most > aHolder.layers.size();
    return free ? most - aHolder.layers.size() : 0U;
  };
  const auto [before, behind] = neighboursOf(aProfile, aGroup, aGap);
  const std::uint32_t roomBefore = before == nullptr ? 0 : roomOf(*before);
  const std::uint32_t roomBehind = behind == nullptr ? 0 : roomOf(*behind);
  const std::uint32_t room = roomBefore + roomBehind;
  if (room < aGap.size()) {
    return;
  }
  const std::uint32_t first =
    std::min(roomBefore, (aGap.size() * roomBefore + room - 1) / room);
  const std::uint32_t middle = aGap.from + first;
  if (before != nullptr && first > 0) {
    this->order(*before, { before->layers.from, middle }, "stretch");
  }
  if (behind != nullptr && middle < aGap.to) {
    this->order(*behind, { middle, behind->layers.to }, "stretch");
  }
}

/** Whether other replicas of the copy hold all that this one holds. */
bool
LayerPlanner::isSecondHolder(const Group& aGroup, const Holder& aHolder)
{
  if (aHolder.layers.size() == 0 || aHolder.moving) {
    return false;
  }
  for (auto layer = aHolder.layers.from; layer < aHolder.layers.to; ++layer) {
    const bool held =
      std::any_of(aGroup.begin(), aGroup.end(), [&](const Holder& aOther) {
        return &aOther != &aHolder && !aOther.moving &&
               aOther.layers.contains({ layer, layer + 1 });
      });
    if (!held) {
      return false;
    }
  }
  return true;
}

/**
 * Moves a replica to a gap that neighbours cannot fill, when others hold all
 * that it holds. It is missing until the last answer through it ends, but its
 * layers are not. On a day on which three zones of four lost parts of five and
 * six layers, the neighbours had room for four; each of these zones had two
 * replicas that doubled others, and stayed without a whole copy for the 26 s
 * that were left: 5 of 6 requests were late or refused.
 */
void
LayerPlanner::moveSecondHolder(const EngineProfile& aProfile,
                               Group& aGroup,
                               LayerRange aGap)
{
  Holder* chosen = nullptr;
  double most = 0;
  for (Holder& holder : aGroup) {
    if (!isSecondHolder(aGroup, holder)) {
      continue;
    }
    const double tokens = tokensBeside(aProfile, holder, aGap.size());
    if (chosen == nullptr || tokens > most) {
      chosen = &holder;
      most = tokens;
    }
  }
  if (chosen == nullptr) {
    return;
  }
  const LayerRange before = std::exchange(chosen->layers, LayerRange{});
  if (!this->shareGap(aProfile, aGroup, *chosen, aGap)) {
    chosen->layers = before;
  }
}

/** Takes back what was stretched once others hold those layers again: memory
 * for requests is worth more than a second holder at the edge of a part. Only
 * from a replica through which nothing passes: it refuses all work until the
 * last answer through the layers that it gives up ends. One that was told so
 * under load refused 307 requests in 7 s, and its zone was out for as long. */
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

void
LayerPlanner::employ(const EngineProfile& aProfile,
                     Group& aGroup,
                     Holder& aEmpty)
{
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
