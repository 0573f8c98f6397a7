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

/** What the placer uses. All of it outlives the placer. */
struct PlacerParts
{
  PlatformClient& platform;
  StreamClient& peers;
  EndpointDirectory& endpoints;
  RcuBox<Configuration>& configuration;
  Metrics& metrics;
};

/**
 * Contends for the placement lease of its region. While it holds the lease, it
 * places the layers of the declared models on endpoints by orders to their
 * sides. Plan and orders are decided by the code in place/.
 */
class Placer
{
public:
  /** aHolder must be unique to this run of the process. */
  Placer(PlacerParts aParts, std::string aRegion, std::string aHolder);
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;
  /** Releases the lease, so that another entry can take over at once. */
  ~Placer();

  /** Starts to contend for the lease. */
  void start();
  /** Returns the fencing number of the lease while it is held. */
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
  /** The fencing number that orders was created with. */
  std::uint64_t fence = 0;
  /** Shared with replies, which may arrive after a new lease replaced it. */
  std::shared_ptr<PlacementStep> orders;
  PlacementPlan plan;
  std::uint64_t plannedRevision = 0;
  TimePoint nextPlan{};
  std::unique_ptr<PeriodicThread> worker;
};

} // namespace poplartrack
