#include "system/FleetPlan.h"

#include <array>
#include <cstdio>

#include "poplartrack/route/FlowBound.h"

namespace poplartrack::bench {
namespace {

constexpr std::array<LayerRange, 10> kLargeRanges{
  LayerRange{ 0, 8 },   LayerRange{ 8, 16 },  LayerRange{ 16, 24 },
  LayerRange{ 0, 10 },  LayerRange{ 10, 18 }, LayerRange{ 14, 24 },
  LayerRange{ 0, 6 },   LayerRange{ 6, 14 },  LayerRange{ 4, 12 },
  LayerRange{ 12, 24 },
};
constexpr std::array<LayerRange, 2> kSmallRanges{ LayerRange{ 0, 9 },
                                                  LayerRange{ 9, 18 } };
constexpr std::array<const char*, 3> kZones{ "oslo-a", "oslo-b", "oslo-c" };

/** Batches of the stand-in may be filled up by prefill: so many decode steps
 * is what a request costs. */
double
stepsOf(const RequestShape& aShape)
{
  return aShape.tokens + (aShape.prompt - 1) / standins::kPrefillTokensPerStep;
}

double
layerTokensPerSecond(const PlannedEngine& aEngine, double aFactor)
{
  return aEngine.holds.size() *
         standins::maxStepsPerSecond(standins::slowed(aEngine.kind, aFactor),
                                     aEngine.holds.size(),
                                     kMaxBatch);
}

} // namespace

FleetPlan::FleetPlan(double aBound, const RequestShape& aShape)
  : request(aShape)
  , known{ { "pairing-llm", 24 }, { "msaidizi", 18 } }
{
  const auto add = [this](const PlannedModel& aModel,
                          const LayerRange& aHolds) {
    for (const standins::Accelerator& kind : standins::kAccelerators) {
      const std::size_t turn = this->planned.size();
      this->planned.push_back(PlannedEngine{ "engine-" + std::to_string(turn),
                                             aModel.name,
                                             aHolds,
                                             kind,
                                             kZones[turn % kZones.size()] });
    }
  };
  for (const LayerRange& holds : kLargeRanges) {
    add(this->known[0], holds);
  }
  for (const LayerRange& holds : kSmallRanges) {
    add(this->known[1], holds);
  }
  this->factor = this->bound(this->known[0].name) / aBound;
}

double
FleetPlan::bound(const std::string& aModel,
                 const std::set<std::string>& aWithout) const
{
  std::vector<FlowEndpoint> flows;
  for (const PlannedEngine& engine : this->planned) {
    if (engine.model == aModel && !aWithout.contains(engine.name)) {
      flows.push_back(FlowEndpoint{
        engine.holds, layerTokensPerSecond(engine, this->factor), 0 });
    }
  }
  for (const PlannedModel& model : this->known) {
    if (model.name == aModel) {
      return flowBound(flows, model.layers) * this->request.tokens /
             stepsOf(this->request);
    }
  }
  return 0;
}

std::string
FleetPlan::describe() const
{
  std::string text;
  std::array<char, 160> line{};
  for (const standins::Accelerator& kind : standins::kAccelerators) {
    const standins::Accelerator slow = standins::slowed(kind, this->factor);
    std::snprintf(line.data(),
                  line.size(),
                  "  %-5s %.2f ms a layer, %.1f ms a batch of %u\n",
                  std::string{ kind.name }.c_str(),
                  static_cast<double>(slow.perLayer.count()) / 1e3,
                  static_cast<double>(slow.perBatch.count()) / 1e3,
                  kMaxBatch);
    text += line.data();
  }
  std::snprintf(line.data(),
                line.size(),
                "  time factor %.1f, %zu engines, %u prompt tokens, %u answer "
                "tokens (%.1f decode steps)\n",
                this->factor,
                this->planned.size(),
                this->request.prompt,
                this->request.tokens,
                stepsOf(this->request));
  text += line.data();
  for (const PlannedModel& model : this->known) {
    std::snprintf(line.data(),
                  line.size(),
                  "  bound of %s: %.1f answer tokens a second\n",
                  model.name.c_str(),
                  this->bound(model.name));
    text += line.data();
  }
  return text;
}

} // namespace poplartrack::bench
