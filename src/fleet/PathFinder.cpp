#include "poplartrack/fleet/PathFinder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include "PathCosts.h"
#include "PathSpread.h"

namespace poplartrack {
namespace {

/** Cost of a (layer, zone) that no path has reached. */
constexpr double kUnreached = std::numeric_limits<double>::infinity();

constexpr const char* kNoMemoryOrSlot =
  "no path has memory and a slot for the request";

/** Maximum number of replicas that the engines accept on one path. */
constexpr std::size_t kMaxParts = 32;

/** Fixed cost of one more replica on a path, in ms per token: the network hop
 * inside an availability zone. */
constexpr double kHopMs = 0.2;

/** Cost of a path that begins outside this relay's availability zone, in ms,
 * added once to the cost of the whole answer. The events of such an answer
 * cross zones. Without this cost, all relays would also crowd into the fastest
 * zone, and its loss would hit every request. */
constexpr double kRemoteStartMs = 300.0;

/** Cost of a zone crossing in addition to its time, as a multiple of the time
 * for which the prompt's activations occupy the shared link. One crossing costs
 * more than starting a path that lies entirely in another zone. If it cost
 * less, requests of a busy zone would start there and cross, and their tokens
 * would wait behind prompts. If paths crossed only when no complete copy has
 * memory left, they would cross too late: the copies that are still complete
 * after a loss fill up first, and the rest of a broken copy stays idle. */
constexpr double kCrossingTransfers = 50.0;

/** Weight of the time that prompts in prefill take before this one. Tokens of
 * running answers share the batches of a prefill, so two long prompts at once
 * delay every stream of a copy beyond the pauses that callers accept. With this
 * weight, a request goes to another zone's copy instead. The wait for a zone
 * link has the same weight. */
constexpr double kBacklogWeight = 8.0;

/** The same for a running request that is moved: its event is late already, and
 * those that are moved with it prefill at the same time. */
constexpr double kMovedBacklogWeight = 16.0;

/** The best path found so far to one (layer, zone). It covers all layers before
 * that layer. */
struct PartialPath
{
  double cost = kUnreached;
  /** Expected time to the first token and between tokens. */
  double firstMs = 0;
  double tokenMs = 0;
  /** The part of firstMs that is due to prompts in prefill, and tokenMs without
   * other requests. */
  double queuedMs = 0;
  double idleTokenMs = 0;
  std::size_t parts = 0;
  std::uint32_t crossings = 0;
  /** The last replica of the path, and where the path was before it. */
  const PathNode* node = nullptr;
  std::uint32_t fromLayer = 0;
  std::size_t fromZone = 0;
};

class Search
{
public:
  Search(const EngineProfile& aProfile, const PathDemand& aDemand)
    : profile(aProfile)
    , demand(aDemand)
  {
  }

  void addCandidate(const PathCandidate& aCandidate);
  Result<LayerPath> run();

private:
  std::size_t zoneIndex(const std::string& aZone);
  void prepareCrossings();
  void prepareZones();
  [[nodiscard]] std::uint32_t fewestCrossings() const;
  // Spreads: PathDemand::spreads. Tested for each edge, it would cost the
  // searches that do not need it 1.6% more instructions.
  template<bool Spreads>
  void extendFrom(std::uint32_t aLayer,
                  std::size_t aZone,
                  const PartialPath& aAt);
  template<bool Spreads>
  void tryEdge(const PartialPath& aAt,
               std::uint32_t aFrom,
               std::size_t aFromZone,
               const PathNode& aNode,
               std::uint32_t aTo);
  [[nodiscard]] bool allLayersCovered(std::uint32_t aMinLayers) const;
  [[nodiscard]] bool linkOpen(std::size_t aFrom, std::size_t aTo) const
  {
    return this->crossAllowed[aFrom * this->zones.size() + aTo];
  }
  [[nodiscard]] bool mayBeginAt(const PathNode& aNode) const;
  [[nodiscard]] bool uses(const PartialPath& aAt, const PathNode& aNode) const;
  [[nodiscard]] LayerPath trace(const PartialPath& aLast) const;
  PartialPath& bestTo(std::uint32_t aLayer, std::size_t aZone)
  {
    return this->table[aLayer * (this->zones.size() + 1) + aZone];
  }
  [[nodiscard]] const PartialPath& bestTo(std::uint32_t aLayer,
                                          std::size_t aZone) const
  {
    return this->table[aLayer * (this->zones.size() + 1) + aZone];
  }

  const EngineProfile& profile;
  const PathDemand& demand;
  std::vector<std::string> zones;
  std::vector<PathNode> nodes;
  /** Whether the layers of some replica begin or end at a layer. Paths pass
   * from one replica to the next only there. */
  std::vector<bool> boundary;
  /** By layer and zone; the zone after the last stands for the start. */
  std::vector<PartialPath> table;
  /** Cost of the first token and of each further token between two zones, in
   * ms. */
  std::vector<double> crossFirstMs;
  std::vector<double> crossTokenMs;
  /** Wait for the link between two zones, in ms. */
  std::vector<double> crossWaitMs;
  /** Time for which one crossing occupies a link, in ms. */
  double crossTransferMs = 0;
  /** Whether a zone holds a layer, indexed by both. */
  std::vector<bool> layerHeld;
  std::uint32_t maxCrossings = 0;
  /** Whether a path may cross between two zones. */
  std::vector<bool> crossAllowed;
};

/** Returns the index of a zone, and adds the zone if it is new. */
std::size_t
Search::zoneIndex(const std::string& aZone)
{
  const auto found = std::find(this->zones.begin(), this->zones.end(), aZone);
  if (found != this->zones.end()) {
    return static_cast<std::size_t>(found - this->zones.begin());
  }
  this->zones.push_back(aZone);
  return this->zones.size() - 1;
}

void
Search::addCandidate(const PathCandidate& aCandidate)
{
  const Replica& replica = *aCandidate.replica;
  const auto kind = this->profile.kinds.find(replica.kind);
  if (!replica.layers || kind == this->profile.kinds.end() ||
      this->demand.avoided.contains(replica.id)) {
    return;
  }
  const LayerRange usable = aCandidate.usable.value_or(*replica.layers);
  if (usable.size() == 0 || !this->profile.hasLayers(usable) ||
      !this->profile.hasLayers(*replica.layers)) {
    return;
  }
  this->nodes.push_back(pathNode(this->profile,
                                 this->demand,
                                 kind->second,
                                 aCandidate,
                                 this->zoneIndex(replica.zone)));
  if (this->demand.spreads) {
    this->nodes.back().usedShare =
      usedShare(this->profile, kind->second, aCandidate);
  }
}

/** Computes what a crossing between each two zones costs. */
void
Search::prepareCrossings()
{
  const std::size_t count = this->zones.size();
  this->crossFirstMs.assign(count * count, 0);
  this->crossTokenMs.assign(count * count, 0);
  this->crossWaitMs.assign(count * count, 0);
  this->crossAllowed.assign(count * count, false);
  this->crossTransferMs = transferMs(this->profile, this->demand.promptTokens);
  for (std::size_t from = 0; from < count; ++from) {
    for (std::size_t to = 0; to < count; ++to) {
      if (from == to) {
        continue;
      }
      const ZonePair pair = zonePair(this->zones[from], this->zones[to]);
      const double delay =
        delayMs(this->profile, this->zones[from], this->zones[to]);
      const auto wait = this->demand.linkWaits.find(pair);
      const double waitMs =
        wait == this->demand.linkWaits.end()
          ? 0
          : std::chrono::duration<double, std::milli>(wait->second).count();
      this->crossFirstMs[from * count + to] =
        delay + this->crossTransferMs + waitMs;
      this->crossTokenMs[from * count + to] = delay;
      this->crossWaitMs[from * count + to] = waitMs;
      this->crossAllowed[from * count + to] =
        !this->demand.closedLinks.contains(pair);
    }
  }
}

/** Computes which layers each zone holds, and how often paths may cross. */
void
Search::prepareZones()
{
  const std::size_t count = this->zones.size();
  const std::uint32_t layers = this->profile.layers;
  this->layerHeld.assign(count * layers, false);
  for (const PathNode& node : this->nodes) {
    const auto row =
      this->layerHeld.begin() + static_cast<std::ptrdiff_t>(node.zone * layers);
    std::fill(row + node.layers.from, row + node.layers.to, true);
  }
  this->maxCrossings =
    std::max(this->demand.maxCrossings, this->fewestCrossings());
}

/** Returns the fewest crossings that any path needs, regardless of load: at
 * each step it stays in the zone that holds the longest range of layers from
 * there. */
std::uint32_t
Search::fewestCrossings() const
{
  const std::uint32_t layers = this->profile.layers;
  std::uint32_t stays = 0;
  std::uint32_t at = 0;
  while (at < layers) {
    std::uint32_t farthest = at;
    for (std::size_t zone = 0; zone < this->zones.size(); ++zone) {
      std::uint32_t to = at;
      while (to < layers && this->layerHeld[zone * layers + to]) {
        ++to;
      }
      farthest = std::max(farthest, to);
    }
    if (farthest == at) {
      break;
    }
    at = farthest;
    ++stays;
  }
  return stays > 0 ? stays - 1 : 0;
}

/** Returns whether each layer is held by a replica that has memory for at least
 * this many layers of the request. */
bool
Search::allLayersCovered(std::uint32_t aMinLayers) const
{
  std::vector<bool> reachable(this->profile.layers, false);
  for (const PathNode& node : this->nodes) {
    if (node.fittingLayers < aMinLayers) {
      continue;
    }
    for (std::uint32_t i = node.layers.from; i < node.layers.to; ++i) {
      reachable[i] = true;
    }
  }
  return std::find(reachable.begin(), reachable.end(), false) ==
         reachable.end();
}

/** Extends a partial path by the layers [aFrom, aTo) at one replica, and keeps
 * it if it is the best one to there. */
template<bool Spreads>
void
Search::tryEdge(const PartialPath& aAt,
                std::uint32_t aFrom,
                std::size_t aFromZone,
                const PathNode& aNode,
                std::uint32_t aTo)
{
  const bool begins = aFromZone == this->zones.size();
  const bool crosses = !begins && aFromZone != aNode.zone;
  const std::uint32_t crossings = aAt.crossings + (crosses ? 1 : 0);
  if (crosses && (crossings > this->maxCrossings ||
                  !this->linkOpen(aFromZone, aNode.zone))) {
    return;
  }
  const double layers = aTo - aFrom;
  double firstMs = layers * (aNode.prefillMs + aNode.backlogMs + aNode.stepMs);
  double tokenMs = layers * aNode.stepMs;
  double idleTokenMs = layers * aNode.idleStepMs;
  const double backlogWeight =
    this->demand.moved ? kMovedBacklogWeight : kBacklogWeight;
  double extra = layers * aNode.backlogMs * (backlogWeight - 1);
  if constexpr (Spreads) {
    extra += kMaxSpreadCost * aNode.usedShare *
             (firstMs + tokenMs * this->demand.answerTokens);
  }
  if (begins) {
    extra += this->zones[aNode.zone] == this->demand.zone ? 0 : kRemoteStartMs;
  } else {
    const std::size_t cross = aFromZone * this->zones.size() + aNode.zone;
    firstMs += kHopMs + this->crossFirstMs[cross];
    tokenMs += kHopMs + this->crossTokenMs[cross];
    idleTokenMs += kHopMs + this->crossTokenMs[cross];
    extra += crosses ? kCrossingTransfers * this->crossTransferMs : 0;
    extra += (kBacklogWeight - 1) * this->crossWaitMs[cross];
  }
  const double cost =
    aAt.cost + firstMs + tokenMs * this->demand.answerTokens + extra;
  PartialPath& there = this->bestTo(aTo, aNode.zone);
  if (cost >= there.cost) {
    return;
  }
  there = PartialPath{ cost,
                       aAt.firstMs + firstMs,
                       aAt.tokenMs + tokenMs,
                       aAt.queuedMs + layers * aNode.backlogMs,
                       aAt.idleTokenMs + idleTokenMs,
                       aAt.parts + 1,
                       crossings,
                       &aNode,
                       aFrom,
                       aFromZone };
}

/** Returns whether the path to here already uses the replica. The engines
 * reject a path that names a replica twice. Without this check, a path could
 * return to a replica that has memory for only some of its layers. */
bool
Search::uses(const PartialPath& aAt, const PathNode& aNode) const
{
  const PartialPath* at = &aAt;
  while (at->node != nullptr) {
    if (at->node == &aNode) {
      return true;
    }
    at = &this->bestTo(at->fromLayer, at->fromZone);
  }
  return false;
}

/** Returns whether the path may begin at the replica: at the given first
 * replica of a running request, otherwise at each replica that may be the first
 * of one more path. */
bool
Search::mayBeginAt(const PathNode& aNode) const
{
  return this->demand.firstReplica.empty()
           ? aNode.mayStart
           : aNode.candidate->replica->id == this->demand.firstReplica;
}

/** Extends a partial path by each replica that holds its next layer. */
template<bool Spreads>
void
Search::extendFrom(std::uint32_t aLayer,
                   std::size_t aZone,
                   const PartialPath& aAt)
{
  const bool start = aAt.parts == 0;
  for (const PathNode& node : this->nodes) {
    if (aLayer < node.layers.from || aLayer >= node.layers.to ||
        this->uses(aAt, node)) {
      continue;
    }
    if (start && !this->mayBeginAt(node)) {
      continue;
    }
    const std::uint32_t last =
      std::min(node.layers.to, aLayer + node.fittingLayers);
    for (std::uint32_t to = aLayer + 1; to <= last; ++to) {
      if (this->boundary[to]) {
        this->tryEdge<Spreads>(aAt, aLayer, aZone, node, to);
      }
    }
  }
}

/** Follows a complete path back to its start. */
LayerPath
Search::trace(const PartialPath& aLast) const
{
  LayerPath path;
  const auto ms = [](double aMs) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(aMs));
  };
  path.firstToken = ms(aLast.firstMs);
  path.perToken = ms(aLast.tokenMs);
  path.queued = ms(aLast.queuedMs);
  path.idlePerToken = ms(aLast.idleTokenMs);
  std::uint32_t to = this->profile.layers;
  const PartialPath* at = &aLast;
  while (at->node != nullptr) {
    const Replica& replica = *at->node->candidate->replica;
    path.parts.push_back(
      PathPart{ replica.id, replica.address, { at->fromLayer, to } });
    const bool begins = at->fromZone == this->zones.size();
    if (!begins && at->fromZone != at->node->zone) {
      path.crossings.push_back(
        zonePair(this->zones[at->fromZone], this->zones[at->node->zone]));
    }
    to = at->fromLayer;
    at = &this->bestTo(at->fromLayer, at->fromZone);
  }
  std::reverse(path.parts.begin(), path.parts.end());
  return path;
}

Result<LayerPath>
Search::run()
{
  const std::uint32_t layers = this->profile.layers;
  if (!this->allLayersCovered(0)) {
    return fail(ErrorKind::NoRoute, "a layer is held by no live replica");
  }
  // Most searches that fail do so because a part is full. Finding that out
  // first keeps them cheap: waiting requests, and streams that need another
  // path, search repeatedly.
  if (!this->allLayersCovered(1)) {
    return fail(ErrorKind::Overloaded, kNoMemoryOrSlot);
  }
  this->prepareCrossings();
  this->prepareZones();
  this->boundary.assign(layers + 1, false);
  this->boundary[layers] = true;
  for (const PathNode& node : this->nodes) {
    this->boundary[node.layers.from] = true;
    this->boundary[node.layers.to] = true;
  }
  const std::size_t start = this->zones.size();
  this->table.assign((layers + 1) * (this->zones.size() + 1), PartialPath{});
  this->bestTo(0, start).cost = 0;
  for (std::uint32_t layer = 0; layer < layers; ++layer) {
    if (layer != 0 && !this->boundary[layer]) {
      continue;
    }
    for (std::size_t zone = 0; zone <= start; ++zone) {
      const PartialPath at = this->bestTo(layer, zone);
      if (at.cost == kUnreached || at.parts >= kMaxParts) {
        continue;
      }
      if (this->demand.spreads) {
        this->extendFrom<true>(layer, zone, at);
      } else {
        this->extendFrom<false>(layer, zone, at);
      }
    }
  }
  const PartialPath* best = nullptr;
  for (std::size_t zone = 0; zone < start; ++zone) {
    const PartialPath& end = this->bestTo(layers, zone);
    if (end.cost < kUnreached && (best == nullptr || end.cost < best->cost)) {
      best = &end;
    }
  }
  if (best == nullptr) {
    return fail(ErrorKind::Overloaded, kNoMemoryOrSlot);
  }
  return this->trace(*best);
}

} // namespace

Result<LayerPath>
findPath(const EngineProfile& aProfile,
         std::span<const PathCandidate> aCandidates,
         const PathDemand& aDemand)
{
  Search search{ aProfile, aDemand };
  for (const PathCandidate& candidate : aCandidates) {
    search.addCandidate(candidate);
  }
  return search.run();
}

} // namespace poplartrack
