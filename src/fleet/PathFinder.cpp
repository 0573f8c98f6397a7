#include "poplartrack/fleet/PathFinder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include "PathCosts.h"

namespace poplartrack {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

constexpr const char* kNoRoom = "no path has memory and a slot for the request";

/** Most replicas that the engines accept on one path. */
constexpr std::size_t kMaxParts = 32;

/** Fixed cost of one more replica on a path, in ms for each token: the hop on
 * the network inside an availability zone. */
constexpr double kHopMs = 0.2;

/** What it is worth to enter the path in the entry's own availability zone, in
 * ms of the whole answer. The events of an answer would cross zones else; and
 * all relays would crowd into the fastest zone, whose loss would then hit every
 * request. */
constexpr double kForeignEntryMs = 300.0;

/** What it is worth that a path does not change zones, beside its time: so many
 * times as long as the prompt's activations take the shared pipe from others.
 * One crossing costs more than entering a path that lies whole in another zone:
 * where it costs less, a busy zone's requests begin at home and cross, and
 * their tokens wait behind prompts. Taken only where no whole path has memory
 * left, crossings come too late: the copies that losses left whole are crowded
 * first, and the rest of a broken one stands idle. */
constexpr double kCrossingTransfers = 50.0;

/** Weight of the time that prompts under way take before this one is read.
 * Tokens of running answers travel in the same passes, so two long prompts at
 * once hold up every stream of a copy beyond the pauses that callers accept.
 * With this weight a request goes to another zone's copy instead. */
constexpr double kBacklogWeight = 8.0;

/** The best way found to one (layer, zone). */
struct Reached
{
  double cost = kNever;
  double firstMs = 0;
  double tokenMs = 0;
  std::size_t parts = 0;
  std::uint32_t crossings = 0;
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
  void extendFrom(std::uint32_t aLayer, std::size_t aZone, const Reached& aAt);
  void tryEdge(const Reached& aAt,
               std::uint32_t aFrom,
               std::size_t aFromZone,
               const PathNode& aNode,
               std::uint32_t aTo);
  [[nodiscard]] bool covered(std::uint32_t aLeastRoom) const;
  [[nodiscard]] bool open(std::size_t aFrom, std::size_t aTo) const
  {
    return this->crossOpen[aFrom * this->zones.size() + aTo];
  }
  [[nodiscard]] bool mayBeginAt(const PathNode& aNode) const;
  [[nodiscard]] bool uses(const Reached& aAt, const PathNode& aNode) const;
  [[nodiscard]] LayerPath trace(const Reached& aLast) const;
  Reached& reached(std::uint32_t aLayer, std::size_t aZone)
  {
    return this->table[aLayer * (this->zones.size() + 1) + aZone];
  }
  [[nodiscard]] const Reached& reached(std::uint32_t aLayer,
                                       std::size_t aZone) const
  {
    return this->table[aLayer * (this->zones.size() + 1) + aZone];
  }

  const EngineProfile& profile;
  const PathDemand& demand;
  std::vector<std::string> zones;
  std::vector<PathNode> nodes;
  std::vector<bool> boundary;
  std::vector<Reached> table;
  /** Cost of the first token and of each token between two zones. */
  std::vector<double> crossFirst;
  std::vector<double> crossToken;
  /** What stands before the pipe between them, in ms. */
  std::vector<double> crossWait;
  /** Time for which one crossing takes a pipe. */
  double crossTransferMs = 0;
  /** Whether a zone holds a layer, by both. */
  std::vector<bool> held;
  std::uint32_t maxCrossings = 0;
  /** Whether a path may cross between two zones. */
  std::vector<bool> crossOpen;
};

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
  if (!replica.layers || kind == this->profile.kinds.end()) {
    return;
  }
  this->nodes.push_back(pathNode(this->profile,
                                 this->demand,
                                 kind->second,
                                 aCandidate,
                                 this->zoneIndex(replica.zone)));
}

void
Search::prepareCrossings()
{
  const std::size_t count = this->zones.size();
  this->crossFirst.assign(count * count, 0);
  this->crossToken.assign(count * count, 0);
  this->crossWait.assign(count * count, 0);
  this->crossOpen.assign(count * count, false);
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
      this->crossFirst[from * count + to] =
        delay + this->crossTransferMs + waitMs;
      this->crossToken[from * count + to] = delay;
      this->crossWait[from * count + to] = waitMs;
      this->crossOpen[from * count + to] =
        !this->demand.closedLinks.contains(pair);
    }
  }
}

/** Finds out what each zone holds, and how often paths may cross. */
void
Search::prepareZones()
{
  const std::size_t count = this->zones.size();
  const std::uint32_t layers = this->profile.layers;
  this->held.assign(count * layers, false);
  for (const PathNode& node : this->nodes) {
    const auto row =
      this->held.begin() + static_cast<std::ptrdiff_t>(node.zone * layers);
    std::fill(row + node.layers.from, row + node.layers.to, true);
  }
  this->maxCrossings =
    std::max(this->demand.maxCrossings, this->fewestCrossings());
}

/** How often a path crosses at least, whatever its replicas have in flight: it
 * stays in the zone that holds the most layers from where it is. */
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
      while (to < layers && this->held[zone * layers + to]) {
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

/** Whether each layer is held by a replica with memory for the request in this
 * many layers at least. */
bool
Search::covered(std::uint32_t aLeastRoom) const
{
  std::vector<bool> reachable(this->profile.layers, false);
  for (const PathNode& node : this->nodes) {
    if (node.room < aLeastRoom) {
      continue;
    }
    for (std::uint32_t i = node.layers.from; i < node.layers.to; ++i) {
      reachable[i] = true;
    }
  }
  return std::find(reachable.begin(), reachable.end(), false) ==
         reachable.end();
}

void
Search::tryEdge(const Reached& aAt,
                std::uint32_t aFrom,
                std::size_t aFromZone,
                const PathNode& aNode,
                std::uint32_t aTo)
{
  const bool begins = aFromZone == this->zones.size();
  const bool crosses = !begins && aFromZone != aNode.zone;
  const std::uint32_t crossings = aAt.crossings + (crosses ? 1 : 0);
  if (crosses &&
      (crossings > this->maxCrossings || !this->open(aFromZone, aNode.zone))) {
    return;
  }
  const double layers = aTo - aFrom;
  double firstMs = layers * (aNode.readMs + aNode.backlogMs + aNode.stepMs);
  double tokenMs = layers * aNode.stepMs;
  double extra = layers * aNode.backlogMs * (kBacklogWeight - 1);
  if (begins) {
    extra += this->zones[aNode.zone] == this->demand.zone ? 0 : kForeignEntryMs;
  } else {
    const std::size_t cross = aFromZone * this->zones.size() + aNode.zone;
    firstMs += kHopMs + this->crossFirst[cross];
    tokenMs += kHopMs + this->crossToken[cross];
    extra += crosses ? kCrossingTransfers * this->crossTransferMs : 0;
    extra += (kBacklogWeight - 1) * this->crossWait[cross];
  }
  const double cost =
    aAt.cost + firstMs + tokenMs * this->demand.answerTokens + extra;
  Reached& there = this->reached(aTo, aNode.zone);
  if (cost >= there.cost) {
    return;
  }
  there = Reached{ cost,
                   aAt.firstMs + firstMs,
                   aAt.tokenMs + tokenMs,
                   aAt.parts + 1,
                   crossings,
                   &aNode,
                   aFrom,
                   aFromZone };
}

/** Whether the way to here runs through the node already. The engines reject a
 * path that names a replica twice; one could, where a replica with memory for
 * only some of its layers is left and met again. */
bool
Search::uses(const Reached& aAt, const PathNode& aNode) const
{
  const Reached* at = &aAt;
  while (at->node != nullptr) {
    if (at->node == &aNode) {
      return true;
    }
    at = &this->reached(at->fromLayer, at->fromZone);
  }
  return false;
}

/** Whether the path may begin at the node: at the named first replica of a
 * running request, else where a slot is free. */
bool
Search::mayBeginAt(const PathNode& aNode) const
{
  return this->demand.firstReplica.empty()
           ? aNode.mayEnter
           : aNode.candidate->replica->id == this->demand.firstReplica;
}

void
Search::extendFrom(std::uint32_t aLayer, std::size_t aZone, const Reached& aAt)
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
    const std::uint32_t last = std::min(node.layers.to, aLayer + node.room);
    for (std::uint32_t to = aLayer + 1; to <= last; ++to) {
      if (this->boundary[to]) {
        this->tryEdge(aAt, aLayer, aZone, node, to);
      }
    }
  }
}

LayerPath
Search::trace(const Reached& aLast) const
{
  LayerPath path;
  const auto ms = [](double aMs) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(aMs));
  };
  path.firstToken = ms(aLast.firstMs);
  path.perToken = ms(aLast.tokenMs);
  std::uint32_t to = this->profile.layers;
  const Reached* at = &aLast;
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
    at = &this->reached(at->fromLayer, at->fromZone);
  }
  std::reverse(path.parts.begin(), path.parts.end());
  return path;
}

Result<LayerPath>
Search::run()
{
  const std::uint32_t layers = this->profile.layers;
  if (!this->covered(0)) {
    return fail(ErrorKind::NoRoute, "a layer is held by no live replica");
  }
  // Most searches that find nothing do so because a part is full. Requests that
  // wait for memory, and streams for another path, search again and again.
  if (!this->covered(1)) {
    return fail(ErrorKind::Overloaded, kNoRoom);
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
  this->table.assign((layers + 1) * (this->zones.size() + 1), Reached{});
  this->reached(0, start).cost = 0;
  for (std::uint32_t layer = 0; layer < layers; ++layer) {
    if (layer != 0 && !this->boundary[layer]) {
      continue;
    }
    for (std::size_t zone = 0; zone <= start; ++zone) {
      const Reached at = this->reached(layer, zone);
      if (at.cost < kNever && at.parts < kMaxParts) {
        this->extendFrom(layer, zone, at);
      }
    }
  }
  const Reached* best = nullptr;
  for (std::size_t zone = 0; zone < start; ++zone) {
    const Reached& end = this->reached(layers, zone);
    if (end.cost < kNever && (best == nullptr || end.cost < best->cost)) {
      best = &end;
    }
  }
  if (best == nullptr) {
    return fail(ErrorKind::Overloaded, kNoRoom);
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
