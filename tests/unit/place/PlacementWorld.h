#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/place/OrderFence.h"
#include "poplartrack/place/PlacementStep.h"
#include "poplartrack/side/OrderGate.h"

namespace poplartrack::placetest {

/** A simulated endpoint and its side's order gate. */
struct Engine
{
  /** What the endpoint holds now; views may show an older state. */
  EndpointInfo actual;
  /** The side's gate; the engine itself accepts any order. */
  std::unique_ptr<OrderGate> gate;
  /** The layers that will be held when the running load has finished. */
  std::optional<LayerRange> loading;
};

/** An order that is sent and not yet delivered. */
struct OrderInFlight
{
  /** Index of the placer that sent it. */
  std::size_t placer = 0;
  PlacementOrder order;
};

/** A current or former lease holder and its possibly outdated view. */
struct Placer
{
  PlacementStep step;
  std::vector<EndpointInfo> view;
  PlacementPlan plan;
};

/**
 * Simulates engines, orders with any delay, and several placers. All placers
 * but the newest are former lease holders that may resume at any moment. Each
 * applied order is checked: uncovered() counts the layers whose last copy it
 * dropped.
 */
class World
{
public:
  World(Configuration aConfiguration, std::vector<EndpointInfo> aEngines);

  /** Adds a new lease holder with this plan and a current view. */
  void takeOver(PlacementPlan aPlan);
  /** Updates a placer's view of one endpoint to the actual state. */
  void refreshView(std::size_t aPlacer, std::size_t aEngine);
  /** Sends the orders that the placer's step returns now. */
  void sendOrders(std::size_t aPlacer);
  /** Delivers one order; without aAnswered its answer is lost. */
  void deliver(std::size_t aIndex, bool aAnswered);
  /** Loses one order. */
  void drop(std::size_t aIndex);
  /** Finishes the engine's running load, if any. */
  void finishLoad(std::size_t aEngine);
  /** Replaces the side: orders on its connections are lost, and the new side
   * reads the lease's fencing number before it accepts any order. */
  void restart(std::size_t aEngine);

  [[nodiscard]] std::size_t placers() const { return this->allPlacers.size(); }
  [[nodiscard]] std::size_t ordersInFlight() const
  {
    return this->inFlight.size();
  }
  /** Returns the name of the endpoint that the order is for. */
  [[nodiscard]] const std::string& destination(std::size_t aIndex) const
  {
    return this->inFlight[aIndex].order.endpoint;
  }
  [[nodiscard]] std::size_t engines() const { return this->allEngines.size(); }
  [[nodiscard]] const Engine& engine(std::size_t aEngine) const
  {
    return this->allEngines[aEngine];
  }
  /** Returns the current lease holder. */
  [[nodiscard]] Placer& newest() { return this->allPlacers.back(); }
  /** Returns how many layers lost their last copy by an order. */
  [[nodiscard]] int uncovered() const { return this->layersLost; }
  /** Returns whether every engine holds what the newest plan requires. */
  [[nodiscard]] bool planCompleted() const;
  /** Returns whether every layer of this version of the model "toy" is held. */
  [[nodiscard]] bool coversAll(const std::string& aVersion,
                               std::uint32_t aLayers) const;

  ManualClock clock;

private:
  [[nodiscard]] std::uint32_t copies(const std::string& aModel,
                                     const std::string& aVersion,
                                     std::uint32_t aLayer) const;
  /** Changes the engine's layers as the order says and counts lost layers. */
  void applyOrder(Engine& aEngine, const EndpointOrder& aOrder);

  Configuration configuration;
  std::vector<Engine> allEngines;
  std::vector<Placer> allPlacers;
  std::vector<OrderInFlight> inFlight;
  std::uint64_t lease = 0;
  int layersLost = 0;
};

} // namespace poplartrack::placetest
