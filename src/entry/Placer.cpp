#include "poplartrack/entry/Placer.h"

#include <algorithm>

#include <glog/logging.h>

#include "poplartrack/place/PlacementEndpoint.h"

namespace poplartrack {
namespace {

constexpr Duration kPlanEvery = std::chrono::seconds{ 5 };
constexpr Duration kStepEvery = std::chrono::milliseconds{ 500 };
/** Timeout of an order to load: it is answered once the weights are loaded. */
constexpr Duration kOrderTimeout = std::chrono::seconds{ 60 };

LeaseSettings
leaseSettings(const std::string& aRegion, std::string aHolder)
{
  LeaseSettings settings;
  settings.name = placementLeaseName(aRegion);
  settings.holder = std::move(aHolder);
  return settings;
}

} // namespace

Placer::Placer(PlacerParts aParts, std::string aRegion, std::string aHolder)
  : parts(aParts)
  , region(std::move(aRegion))
  , lease(aParts.platform,
          this->clock,
          leaseSettings(this->region, std::move(aHolder)))
{
}

Placer::~Placer()
{
  this->worker.reset();
  this->lease.release();
}

void
Placer::start()
{
  this->worker =
    std::make_unique<PeriodicThread>([this] { return this->step(); });
}

std::optional<std::uint64_t>
Placer::holds() const
{
  const std::optional<HeldLease> held = this->lease.held();
  return held ? std::optional{ held->fence } : std::nullopt;
}

Duration
Placer::step()
{
  const Duration untilPoll = this->lease.poll();
  const std::optional<HeldLease> held = this->lease.held();
  if (!held) {
    const std::scoped_lock lock{ this->guard };
    this->orders.reset();
    return untilPoll;
  }
  this->place(held->fence);
  return std::min(untilPoll, kStepEvery);
}

void
Placer::place(std::uint64_t aFence)
{
  const std::shared_ptr<const Configuration> configuration =
    this->parts.configuration.read();
  if (!configuration) {
    return;
  }
  const std::shared_ptr<const EndpointView> view = this->parts.endpoints.view();
  std::vector<PlacementOrder> fresh;
  {
    const std::scoped_lock lock{ this->guard };
    if (!this->orders || this->fence != aFence) {
      LOG(INFO) << "placer: holds the lease of " << this->region
                << " with number " << aFence;
      this->fence = aFence;
      this->orders = std::make_shared<PlacementStep>(aFence, PlacementLimits{});
      this->nextPlan = TimePoint::min();
    }
    const TimePoint now = this->clock.now();
    this->replan(*configuration, view->endpoints, now);
    fresh =
      this->orders->next(*configuration, this->plan, view->endpoints, now);
  }
  for (const PlacementOrder& order : fresh) {
    this->send(order);
  }
}

void
Placer::replan(const Configuration& aConfiguration,
               const std::vector<EndpointInfo>& aView,
               TimePoint aNow)
{
  if (aNow < this->nextPlan &&
      this->plannedRevision == aConfiguration.revision) {
    return;
  }
  const std::vector<PlacementEndpoint> engines =
    placementEndpoints(aView, this->region);
  const std::map<std::string, double> demand;
  this->plan = planPlacement(PlacementInput{ aConfiguration, engines, demand },
                             PlacementPolicy{});
  this->plannedRevision = aConfiguration.revision;
  this->nextPlan = aNow + kPlanEvery;
  for (const std::string& model : this->plan.shortModels) {
    LOG(WARNING) << "placer: no room for all copies of " << model;
  }
  this->parts.metrics.set(
    "placement_short_models",
    static_cast<std::int64_t>(this->plan.shortModels.size()));
}

void
Placer::send(const PlacementOrder& aOrder)
{
  const Result<Address> address = addressFromText(aOrder.address);
  if (!address) {
    return;
  }
  if (aOrder.order.order == OrderKind::Load) {
    LOG(INFO) << "placer: " << aOrder.endpoint << " shall hold "
              << aOrder.order.model << " " << aOrder.order.modelVersion << " ["
              << aOrder.order.holds.from << ", " << aOrder.order.holds.to
              << ")";
    this->parts.metrics.count("placement_loads_ordered_total");
  }
  const std::weak_ptr<PlacementStep> issuer = this->orders;
  callPeer<OrderReply>(
    this->parts.peers,
    address.value(),
    aOrder.order,
    kOrderTimeout,
    [this, aOrder, issuer](const TypedResult<OrderReply>& aResult) {
      if (aResult.outcome != CallOutcome::Replied) {
        // Whether it was accepted is unknown; the step's own timeout handles
        // that.
        return;
      }
      const std::scoped_lock lock{ this->guard };
      const std::shared_ptr<PlacementStep> step = issuer.lock();
      if (!step) {
        return;
      }
      const TimePoint now = this->clock.now();
      if (aResult.reply.refusal.refused) {
        step->onRefused(aOrder, aResult.reply.refusal.error(), now);
      } else {
        step->onTaken(aOrder, now);
      }
    });
}

} // namespace poplartrack
