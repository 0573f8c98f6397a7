#include "PlacementWorld.h"

#include <algorithm>

namespace poplartrack::placetest {

World::World(Configuration aConfiguration, std::vector<EndpointInfo> aEngines)
  : configuration(std::move(aConfiguration))
{
  for (EndpointInfo& info : aEngines) {
    this->allEngines.push_back(
      { std::move(info), std::make_unique<OrderGate>(), {} });
    this->allEngines.back().gate->onFloor(0);
  }
}

void
World::takeOver(PlacementPlan aPlan)
{
  ++this->lease;
  PlacementLimits limits;
  // These tests advance the clock by one second per round.
  limits.reportDelay = std::chrono::seconds{ 1 };
  Placer placer{ PlacementStep{ this->lease, limits }, {}, {} };
  placer.plan = std::move(aPlan);
  for (const Engine& engine : this->allEngines) {
    placer.view.push_back(engine.actual);
    placer.view.back().holdsReportedAt = this->clock.now();
  }
  this->allPlacers.push_back(std::move(placer));
}

void
World::refreshView(std::size_t aPlacer, std::size_t aEngine)
{
  EndpointInfo& seen = this->allPlacers[aPlacer].view[aEngine];
  seen = this->allEngines[aEngine].actual;
  seen.holdsReportedAt = this->clock.now();
}

void
World::sendOrders(std::size_t aPlacer)
{
  Placer& placer = this->allPlacers[aPlacer];
  for (PlacementOrder& order : placer.step.next(
         this->configuration, placer.plan, placer.view, this->clock.now())) {
    this->inFlight.push_back({ aPlacer, std::move(order) });
  }
}

std::uint32_t
World::copies(const std::string& aModel,
              const std::string& aVersion,
              std::uint32_t aLayer) const
{
  return static_cast<std::uint32_t>(std::count_if(
    this->allEngines.begin(),
    this->allEngines.end(),
    [&](const Engine& aEngine) {
      return aEngine.actual.model == aModel &&
             aEngine.actual.modelVersion == aVersion &&
             aEngine.actual.holds.contains({ aLayer, aLayer + 1 });
    }));
}

void
World::applyOrder(Engine& aEngine, const EndpointOrder& aOrder)
{
  if (aOrder.order != OrderKind::Load) {
    return;
  }
  const EndpointInfo before = aEngine.actual;
  const PlannedHold target{
    before.name, aOrder.model, aOrder.modelVersion, aOrder.holds
  };
  aEngine.actual.holds = keptWhileLoading(before, target);
  aEngine.actual.model = aOrder.model;
  aEngine.actual.modelVersion = aOrder.modelVersion;
  aEngine.loading = aOrder.holds;
  for (std::uint32_t at = before.holds.from; at < before.holds.to; ++at) {
    this->layersLost +=
      this->copies(before.model, before.modelVersion, at) == 0 ? 1 : 0;
  }
}

void
World::deliver(std::size_t aIndex, bool aAnswered)
{
  const OrderInFlight delivered = this->inFlight[aIndex];
  this->drop(aIndex);
  const auto engine =
    std::find_if(this->allEngines.begin(),
                 this->allEngines.end(),
                 [&](const Engine& aEngine) {
                   return aEngine.actual.name == delivered.order.endpoint;
                 });
  PlacementStep& step = this->allPlacers[delivered.placer].step;
  if (const auto refused =
        engine->gate->admit(delivered.order.order, this->clock.now())) {
    if (aAnswered) {
      step.onRefused(delivered.order, *refused, this->clock.now());
    }
    return;
  }
  this->applyOrder(*engine, delivered.order.order);
  engine->gate->onEngineEnd(true, this->clock.now());
  if (aAnswered) {
    step.onTaken(delivered.order, this->clock.now());
  }
}

void
World::drop(std::size_t aIndex)
{
  this->inFlight.erase(this->inFlight.begin() +
                       static_cast<std::ptrdiff_t>(aIndex));
}

void
World::finishLoad(std::size_t aEngine)
{
  Engine& engine = this->allEngines[aEngine];
  if (engine.loading) {
    engine.actual.holds = *engine.loading;
    engine.loading.reset();
  }
}

void
World::restart(std::size_t aEngine)
{
  Engine& engine = this->allEngines[aEngine];
  ++engine.actual.incarnation;
  engine.gate = std::make_unique<OrderGate>();
  engine.gate->onFloor(orderFence(this->lease, 0));
  std::erase_if(this->inFlight, [&](const OrderInFlight& aSent) {
    return aSent.order.endpoint == engine.actual.name;
  });
}

bool
World::planCompleted() const
{
  return std::all_of(this->allPlacers.back().plan.holds.begin(),
                     this->allPlacers.back().plan.holds.end(),
                     [this](const PlannedHold& aHold) {
                       return std::any_of(
                         this->allEngines.begin(),
                         this->allEngines.end(),
                         [&](const Engine& aEngine) {
                           return aEngine.actual.name == aHold.endpoint &&
                                  holdsTarget(aEngine.actual, aHold);
                         });
                     });
}

bool
World::coversAll(const std::string& aVersion, std::uint32_t aLayers) const
{
  for (std::uint32_t layer = 0; layer < aLayers; ++layer) {
    if (this->copies("toy", aVersion, layer) == 0) {
      return false;
    }
  }
  return true;
}

} // namespace poplartrack::placetest
