#include "ZoneThroughput.h"

#include <algorithm>
#include <limits>

namespace poplartrack {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();

/** Equal steps in which the load is added. Two, three, four or six equal
 * resources share this number without a remainder. A remainder would put one
 * step more on one of them, which would then bound the result. */
constexpr int kLoadSteps = 24;

/** Keeps paths from crossing zones needlessly when links are unbounded. */
constexpr double kCrossingCost = 1e-9;

/** A zone link, or the replicas of a zone that serve one segment. */
struct Resource
{
  /** Load steps assigned so far. */
  double load = 0;
  /** Requests per second that it can carry. */
  double rate = kInfinity;

  [[nodiscard]] double utilization() const { return this->load / this->rate; }
  /** Returns the cost of one more load step: the slope of the sixth power of
   * the utilization, so that the fullest resource dominates the cost of a path.
   * An unused one costs a little, so that short paths are preferred. */
  [[nodiscard]] double cost() const
  {
    const double utilization = (this->load + 1.0) / this->rate;
    const double square = utilization * utilization;
    return square * square * utilization / this->rate;
  }
};

/** Assigns load to paths step by step. A segment is a layer range in which no
 * zone begins or ends holding layers. */
class LoadAssignment
{
public:
  LoadAssignment(const EngineProfile& aProfile,
                 const std::vector<ZoneHolding>& aZones);

  /** Assigns all load steps; returns the request rate at which the fullest
   * resource is fully used, or 0 if no path holds all layers. */
  double throughput();

private:
  /** Returns the index of a segment in a zone. */
  [[nodiscard]] std::size_t indexOf(std::size_t aSegment,
                                    std::size_t aZone) const
  {
    return aSegment * this->zones + aZone;
  }
  /** Returns the link between two zones, in either direction. */
  Resource& link(std::size_t aFrom, std::size_t aTo)
  {
    return this
      ->links[std::min(aFrom, aTo) * this->zones + std::max(aFrom, aTo)];
  }
  void updateCosts();
  bool routeLoadStep();

  std::size_t zones;
  std::size_t segments = 0;
  /** By segment and zone; the rate is 0 if the zone does not hold the segment.
   */
  std::vector<Resource> layers;
  /** By pair of zones, the smaller index first. */
  std::vector<Resource> links;
  std::vector<double> layerCosts;
  std::vector<double> linkCosts;
  /** Cost of the cheapest path up to and including a segment in a zone. */
  std::vector<double> cheapestCosts;
  /** Zone of the segment before on that path. */
  std::vector<std::size_t> previousZone;
};

LoadAssignment::LoadAssignment(const EngineProfile& aProfile,
                               const std::vector<ZoneHolding>& aZones)
  : zones(aZones.size())
{
  std::vector<std::uint32_t> boundaries{ 0, aProfile.layers };
  for (const ZoneHolding& zone : aZones) {
    for (const LayerRange& range : zone.ranges) {
      boundaries.push_back(range.from);
      boundaries.push_back(range.to);
    }
  }
  std::sort(boundaries.begin(), boundaries.end());
  boundaries.erase(std::unique(boundaries.begin(), boundaries.end()),
                   boundaries.end());
  this->segments = boundaries.size() - 1;
  this->layers.assign(this->segments * this->zones, Resource{ 0, 0 });
  for (std::size_t i = 0; i < this->segments; ++i) {
    const LayerRange segment{ boundaries[i], boundaries[i + 1] };
    for (std::size_t zone = 0; zone < this->zones; ++zone) {
      for (const LayerRange& range : aZones[zone].ranges) {
        if (range.contains(segment)) {
          this->layers[this->indexOf(i, zone)].rate = aZones[zone].rate;
        }
      }
    }
  }
  this->links.assign(this->zones * this->zones,
                     Resource{ 0, linkRequestRate(aProfile) });
  this->layerCosts.resize(this->layers.size());
  this->linkCosts.resize(this->links.size());
  this->cheapestCosts.resize(this->layers.size());
  this->previousZone.resize(this->layers.size());
}

/** Computes the cost of one more load step for each segment and link. */
void
LoadAssignment::updateCosts()
{
  for (std::size_t i = 0; i < this->layers.size(); ++i) {
    const Resource& resource = this->layers[i];
    this->layerCosts[i] = resource.rate > 0 ? resource.cost() : kInfinity;
  }
  for (std::size_t from = 0; from < this->zones; ++from) {
    for (std::size_t to = 0; to < this->zones; ++to) {
      const double cost = this->link(from, to).cost();
      this->linkCosts[from * this->zones + to] =
        from == to ? 0 : kCrossingCost + cost;
    }
  }
}

/** Adds one load step to the cheapest path; false if no path holds all layers.
 */
bool
LoadAssignment::routeLoadStep()
{
  this->updateCosts();
  for (std::size_t i = 0; i < this->segments; ++i) {
    for (std::size_t zone = 0; zone < this->zones; ++zone) {
      double cheapest = i == 0 ? 0 : kInfinity;
      std::size_t from = zone;
      for (std::size_t other = 0; i > 0 && other < this->zones; ++other) {
        const double cost = this->cheapestCosts[this->indexOf(i - 1, other)] +
                            this->linkCosts[other * this->zones + zone];
        if (cost < cheapest) {
          cheapest = cost;
          from = other;
        }
      }
      const std::size_t current = this->indexOf(i, zone);
      this->cheapestCosts[current] = cheapest + this->layerCosts[current];
      this->previousZone[current] = from;
    }
  }
  const std::size_t last = this->indexOf(this->segments - 1, 0);
  const auto ends =
    this->cheapestCosts.begin() + static_cast<std::ptrdiff_t>(last);
  const auto end = std::min_element(ends, this->cheapestCosts.end());
  if (*end == kInfinity) {
    return false;
  }
  auto zone = static_cast<std::size_t>(end - ends);
  for (std::size_t i = this->segments; i > 0; --i) {
    const std::size_t current = this->indexOf(i - 1, zone);
    this->layers[current].load += 1;
    const std::size_t from = this->previousZone[current];
    if (i > 1 && from != zone) {
      this->link(from, zone).load += 1;
    }
    zone = from;
  }
  return true;
}

double
LoadAssignment::throughput()
{
  for (int i = 0; i < kLoadSteps; ++i) {
    if (!this->routeLoadStep()) {
      return 0;
    }
  }
  double highestUtilization = 0;
  for (const Resource& resource : this->layers) {
    highestUtilization =
      resource.rate > 0 ? std::max(highestUtilization, resource.utilization())
                        : highestUtilization;
  }
  for (const Resource& resource : this->links) {
    highestUtilization = std::max(highestUtilization, resource.utilization());
  }
  return highestUtilization > 0 ? kLoadSteps / highestUtilization : kInfinity;
}

} // namespace

double
linkRequestRate(const EngineProfile& aProfile)
{
  constexpr double kBytesPerMegabit = 1e6 / 8;
  const double bytes = (aProfile.meanPromptTokens + aProfile.meanAnswerTokens) *
                       aProfile.activationBytes;
  return aProfile.linkMbps > 0 && bytes > 0
           ? aProfile.linkMbps * kBytesPerMegabit / bytes
           : kInfinity;
}

double
zoneThroughput(const EngineProfile& aProfile,
               const std::vector<ZoneHolding>& aZones)
{
  return aZones.empty() ? 0 : LoadAssignment{ aProfile, aZones }.throughput();
}

} // namespace poplartrack
