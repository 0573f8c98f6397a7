#include "ZoneThroughput.h"

#include <algorithm>
#include <limits>

namespace poplartrack {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

/** Equal steps in which the load is dealt. A number that two, three, four or
 * six like resources share without a rest: one step more on one of them would
 * count as the bound of all. */
constexpr int kSteps = 24;

/** Keeps paths from crossing for nothing where pipes are not bounded. */
constexpr double kCrossingCost = 1e-9;

/** One resource: a pipe, or a stretch of layers in a zone. */
struct Resource
{
  double load = 0;
  double rate = kNever;

  [[nodiscard]] double use() const { return this->load / this->rate; }
  /** What one more step costs: the slope of the sixth power of the use, so that
   * the fullest resource decides. An empty one costs a little, so that short
   * paths go first. */
  [[nodiscard]] double cost() const
  {
    const double use = (this->load + 1.0) / this->rate;
    const double square = use * use;
    return square * square * use / this->rate;
  }
};

class Flow
{
public:
  Flow(const EngineProfile& aProfile, const std::vector<ZoneHolding>& aZones);

  double carried();

private:
  [[nodiscard]] std::size_t at(std::size_t aStretch, std::size_t aZone) const
  {
    return aStretch * this->zones + aZone;
  }
  Resource& link(std::size_t aFrom, std::size_t aTo)
  {
    return this
      ->links[std::min(aFrom, aTo) * this->zones + std::max(aFrom, aTo)];
  }
  void price();
  bool dealStep();

  std::size_t zones;
  std::size_t stretches = 0;
  /** By stretch and zone; a rate of 0 where the zone does not hold it. */
  std::vector<Resource> layers;
  std::vector<Resource> links;
  std::vector<double> layerCosts;
  std::vector<double> linkCosts;
  std::vector<double> best;
  std::vector<std::size_t> before;
};

Flow::Flow(const EngineProfile& aProfile,
           const std::vector<ZoneHolding>& aZones)
  : zones(aZones.size())
{
  std::vector<std::uint32_t> points{ 0, aProfile.layers };
  for (const ZoneHolding& zone : aZones) {
    for (const LayerRange& range : zone.ranges) {
      points.push_back(range.from);
      points.push_back(range.to);
    }
  }
  std::sort(points.begin(), points.end());
  points.erase(std::unique(points.begin(), points.end()), points.end());
  this->stretches = points.size() - 1;
  this->layers.assign(this->stretches * this->zones, Resource{ 0, 0 });
  for (std::size_t i = 0; i < this->stretches; ++i) {
    const LayerRange stretch{ points[i], points[i + 1] };
    for (std::size_t zone = 0; zone < this->zones; ++zone) {
      for (const LayerRange& range : aZones[zone].ranges) {
        if (range.contains(stretch)) {
          this->layers[this->at(i, zone)].rate = aZones[zone].rate;
        }
      }
    }
  }
  this->links.assign(this->zones * this->zones,
                     Resource{ 0, crossingRate(aProfile) });
  this->layerCosts.resize(this->layers.size());
  this->linkCosts.resize(this->links.size());
  this->best.resize(this->layers.size());
  this->before.resize(this->layers.size());
}

void
Flow::price()
{
  for (std::size_t i = 0; i < this->layers.size(); ++i) {
    const Resource& resource = this->layers[i];
    this->layerCosts[i] = resource.rate > 0 ? resource.cost() : kNever;
  }
  for (std::size_t from = 0; from < this->zones; ++from) {
    for (std::size_t to = 0; to < this->zones; ++to) {
      const double cost = this->link(from, to).cost();
      this->linkCosts[from * this->zones + to] =
        from == to ? 0 : kCrossingCost + cost;
    }
  }
}

/** Deals one step of the load to the cheapest path; false when there is none.
 */
bool
Flow::dealStep()
{
  this->price();
  for (std::size_t i = 0; i < this->stretches; ++i) {
    for (std::size_t zone = 0; zone < this->zones; ++zone) {
      double cheapest = i == 0 ? 0 : kNever;
      std::size_t from = zone;
      for (std::size_t other = 0; i > 0 && other < this->zones; ++other) {
        const double cost = this->best[this->at(i - 1, other)] +
                            this->linkCosts[other * this->zones + zone];
        if (cost < cheapest) {
          cheapest = cost;
          from = other;
        }
      }
      const std::size_t here = this->at(i, zone);
      this->best[here] = cheapest + this->layerCosts[here];
      this->before[here] = from;
    }
  }
  const std::size_t last = this->at(this->stretches - 1, 0);
  const auto ends = this->best.begin() + static_cast<std::ptrdiff_t>(last);
  const auto end = std::min_element(ends, this->best.end());
  if (*end == kNever) {
    return false;
  }
  auto zone = static_cast<std::size_t>(end - ends);
  for (std::size_t i = this->stretches; i > 0; --i) {
    const std::size_t here = this->at(i - 1, zone);
    this->layers[here].load += 1;
    const std::size_t from = this->before[here];
    if (i > 1 && from != zone) {
      this->link(from, zone).load += 1;
    }
    zone = from;
  }
  return true;
}

double
Flow::carried()
{
  for (int i = 0; i < kSteps; ++i) {
    if (!this->dealStep()) {
      return 0;
    }
  }
  double fullest = 0;
  for (const Resource& resource : this->layers) {
    fullest = resource.rate > 0 ? std::max(fullest, resource.use()) : fullest;
  }
  for (const Resource& resource : this->links) {
    fullest = std::max(fullest, resource.use());
  }
  return fullest > 0 ? kSteps / fullest : kNever;
}

} // namespace

double
crossingRate(const EngineProfile& aProfile)
{
  constexpr double kBytesPerMegabit = 1e6 / 8;
  const double bytes = (aProfile.meanPromptTokens + aProfile.meanAnswerTokens) *
                       aProfile.activationBytes;
  return aProfile.linkMbps > 0 && bytes > 0
           ? aProfile.linkMbps * kBytesPerMegabit / bytes
           : kNever;
}

double
carriedRate(const EngineProfile& aProfile,
            const std::vector<ZoneHolding>& aZones)
{
  return aZones.empty() ? 0 : Flow{ aProfile, aZones }.carried();
}

} // namespace poplartrack
