#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "poplartrack/base/PeriodicThread.h"
#include "poplartrack/base/RcuBox.h"
#include "poplartrack/config/Configuration.h"
#include "poplartrack/entry/EndpointDirectory.h"
#include "poplartrack/observe/Metrics.h"
#include "poplartrack/place/PlacementLease.h"
#include "poplartrack/place/PlacementPlanner.h"
#include "poplartrack/place/PlacementStep.h"
#include "poplartrack/store/Lease.h"
#include "poplartrack/store/PlatformClient.h"

namespace poplartrack {

/** What the placer works with. All outlive it. */
struct PlacerParts
{
  PlatformClient& platform;
  StreamClient& peers;
  EndpointDirectory& endpoints;
  RcuBox<Configuration>& configuration;
  Metrics& metrics;
};

/**
 * Contends for its region's placement lease; while it holds it, turns the
 * declared models into layer ranges on endpoints, through orders to the sides.
 * The plan and the orders are decided by the room "place".
 */
class Placer
{
public:
  /** aHolder must be unique to this run of the process. */
  Placer(PlacerParts aParts, std::string aRegion, std::string aHolder);
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;
  /** Gives the lease up, so that a planned stop leaves no gap. */
  ~Placer();

  /** Begins to contend. */
  void start();
  /** The lease's fencing number, while it is held. */
  [[nodiscard]] std::optional<std::uint64_t> holds() const;

private:
  Duration step();
  void place(std::uint64_t aFence);
  void replan(const Configuration& aConfiguration,
              const std::vector<EndpointInfo>& aView,
              TimePoint aNow);
  void send(const PlacementOrder& aOrder);

  PlacerParts parts;
  std::string region;
  SystemClock clock;
  Lease<PlatformClient, SystemClock> lease;
  std::mutex guard;
  /** The fencing number that `orders` was made with. */
  std::uint64_t fence = 0;
  /** Shared with replies that may come when a new lease has replaced it. */
  std::shared_ptr<PlacementStep> orders;
  PlacementPlan plan;
  std::uint64_t plannedRevision = 0;
  TimePoint nextPlan{};
  std::unique_ptr<PeriodicThread> worker;
};

} // namespace poplartrack
