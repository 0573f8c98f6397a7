// How the planner closes gaps: layers of a copy that nobody holds any more.

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "LayerCopy.h"
#include "LayerPartition.h"
#include "poplartrack/fleet/LayerPlanner.h"

namespace poplartrack {

using namespace layer_copy;

namespace {

/** A replica whose neighbours are missing takes over layers while it keeps
 * memory for this part of the goal. With a larger part the neighbours of a
 * usual gap have no room for it, and the zone is out until the replica is back.
 */
constexpr double kStretchedCopy = 0.22;

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

/** The part of a gap that a replica takes so that, of it and the neighbours
 * that take the rest, the one with the least memory left has the most; nothing
 * when one of them would be left with too little. */
std::optional<LayerRange>
LayerPlanner::bestShare(const EngineProfile& aProfile,
                        const Holder& aEmpty,
                        const Neighbours& aBeside,
                        LayerRange aGap)
{
  const auto tokensWith = [&](const Holder* aHolder, std::uint32_t aMore) {
    if (aMore == 0) {
      return std::numeric_limits<double>::infinity();
    }
    return aHolder == nullptr
             ? 0.0
             : tokensBeside(aProfile, *aHolder, aHolder->layers.size() + aMore);
  };
  std::optional<LayerRange> best;
  double most = kStretchedCopy * tokenGoal(aProfile);
  for (std::uint32_t from = aGap.from; from < aGap.to; ++from) {
    for (std::uint32_t to = from + 1; to <= aGap.to; ++to) {
      const double least =
        std::min({ tokensBeside(aProfile, aEmpty, to - from),
                   tokensWith(aBeside.before, from - aGap.from),
                   tokensWith(aBeside.behind, aGap.to - to) });
      if (least > most) {
        most = least;
        best = LayerRange{ from, to };
      }
    }
  }
  return best;
}

/**
 * Deals a gap to a newcomer and the neighbours together. A replica of a slow
 * kind cannot take the part of a faster one alone: five of eight layers were
 * filled, the last three stayed open, and the zone's other eleven replicas
 * idle, until the next newcomer or the end of the day.
 */
bool
LayerPlanner::shareGap(const EngineProfile& aProfile,
                       Group& aGroup,
                       Holder& aEmpty,
                       LayerRange aGap)
{
  const Neighbours beside = neighboursOf(aProfile, aGroup, aGap);
  const auto own = bestShare(aProfile, aEmpty, beside, aGap);
  if (!own) {
    return false;
  }
  if (own->from > aGap.from) {
    this->order(
      *beside.before, { beside.before->layers.from, own->from }, "stretch");
  }
  if (own->to < aGap.to) {
    this->order(
      *beside.behind, { own->to, beside.behind->layers.to }, "stretch");
  }
  this->order(aEmpty, *own, "gap");
  return true;
}

void
LayerPlanner::fillGap(const EngineProfile& aProfile,
                      Group& aGroup,
                      LayerRange aGap)
{
  for (Holder& holder : aGroup) {
    const bool free = holder.layers.size() == 0 && !holder.moving;
    if (free && this->completeZone(aProfile, aGroup, holder, aGap)) {
      return;
    }
  }
  // A newcomer may hold as much as a copy of these replicas is cut for; by the
  // goal a fast one took less than the one before it had held, and a neighbour
  // had to stretch over the rest.
  const double goal = bestTokens(
    aProfile, kindsOf(aProfile, pointersTo(aGroup)), tokenGoal(aProfile));
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
 * layers are not. Without it a zone stays out for want of a few layers, beside
 * replicas that only double others.
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

} // namespace poplartrack
