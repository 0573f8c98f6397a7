#include "PlacementWorld.h"

#include <algorithm>

namespace poplartrack::placetest {

World::World(Configuration aConfiguration, std::vector<EndpointInfo> aEngines)
  : configuration(std::move(aConfiguration))
{
  for (EndpointInfo& info : aEngines) {
    this->fleet.push_back(
      { std::move(info), std::make_unique<OrderGate>(), {} });
    this->fleet.back().gate->onFloor(0);
  }
}

void
World::takeOver(PlacementPlan aPlan)
{
  ++this->lease;
  PlacementLimits limits;
  // Rounds of these tests last a second.
  limits.settle = std::chrono::seconds{ 1 };
  Placer placer{ PlacementStep{ this->lease, limits }, {}, {} };
  placer.plan = std::move(aPlan);
  for (const Engine& engine : this->fleet) {
    placer.view.push_back(engine.truth);
    placer.view.back().holdsReportedAt = this->clock.now();
  }
  this->all.push_back(std::move(placer));
}

void
World::hear(std::size_t aPlacer, std::size_t aEngine)
{
  EndpointInfo& seen = this->all[aPlacer].view[aEngine];
  seen = this->fleet[aEngine].truth;
  seen.holdsReportedAt = this->clock.now();
}

void
World::act(std::size_t aPlacer)
{
  Placer& placer = this->all[aPlacer];
  for (PlacementOrder& order : placer.step.next(
         this->configuration, placer.plan, placer.view, this->clock.now())) {
    this->sent.push_back({ aPlacer, std::move(order) });
  }
}

std::uint32_t
World::copies(const std::string& aModel,
              const std::string& aVersion,
              std::uint32_t aLayer) const
{
  return static_cast<std::uint32_t>(std::count_if(
    this->fleet.begin(), this->fleet.end(), [&](const Engine& aEngine) {
      return aEngine.truth.model == aModel &&
             aEngine.truth.modelVersion == aVersion &&
             aEngine.truth.holds.contains({ aLayer, aLayer + 1 });
    }));
}

void
World::take(Engine& aEngine, const EndpointOrder& aOrder)
{
  if (aOrder.order != OrderKind::Load) {
    return;
  }
  const EndpointInfo before = aEngine.truth;
  const PlannedHold target{
    before.name, aOrder.model, aOrder.modelVersion, aOrder.holds
  };
  aEngine.truth.holds = keptWhileLoading(before, target);
  aEngine.truth.model = aOrder.model;
  aEngine.truth.modelVersion = aOrder.modelVersion;
  aEngine.loading = aOrder.holds;
  for (std::uint32_t at = before.holds.from; at < before.holds.to; ++at) {
    this->lostLayers +=
      this->copies(before.model, before.modelVersion, at) == 0 ? 1 : 0;
  }
}

void
World::land(std::size_t aFlight, bool aAnswered)
{
  const InFlight flight = this->sent[aFlight];
  this->drop(aFlight);
  const auto engine = std::find_if(
    this->fleet.begin(), this->fleet.end(), [&](const Engine& aEngine) {
      return aEngine.truth.name == flight.order.endpoint;
    });
  PlacementStep& step = this->all[flight.placer].step;
  if (const auto refused =
        engine->gate->admit(flight.order.order, this->clock.now())) {
    if (aAnswered) {
      step.onRefused(flight.order, *refused, this->clock.now());
    }
    return;
  }
  this->take(*engine, flight.order.order);
  engine->gate->onEngineEnd(true, this->clock.now());
  if (aAnswered) {
    step.onTaken(flight.order, this->clock.now());
  }
}

void
World::drop(std::size_t aFlight)
{
  this->sent.erase(this->sent.begin() + static_cast<std::ptrdiff_t>(aFlight));
}

void
World::finishLoad(std::size_t aEngine)
{
  Engine& engine = this->fleet[aEngine];
  if (engine.loading) {
    engine.truth.holds = *engine.loading;
    engine.loading.reset();
  }
}

void
World::restart(std::size_t aEngine)
{
  Engine& engine = this->fleet[aEngine];
  ++engine.truth.incarnation;
  engine.gate = std::make_unique<OrderGate>();
  engine.gate->onFloor(orderFence(this->lease, 0));
  std::erase_if(this->sent, [&](const InFlight& aFlight) {
    return aFlight.order.endpoint == engine.truth.name;
  });
}

bool
World::settled() const
{
  return std::all_of(
    this->all.back().plan.holds.begin(),
    this->all.back().plan.holds.end(),
    [this](const PlannedHold& aHold) {
      return std::any_of(
        this->fleet.begin(), this->fleet.end(), [&](const Engine& aEngine) {
          return aEngine.truth.name == aHold.endpoint &&
                 holdsTarget(aEngine.truth, aHold);
        });
    });
}

bool
World::whole(const std::string& aVersion, std::uint32_t aLayers) const
{
  for (std::uint32_t layer = 0; layer < aLayers; ++layer) {
    if (this->copies("toy", aVersion, layer) == 0) {
      return false;
    }
  }
  return true;
}

} // namespace poplartrack::placetest
