// What callers ask of each model service, by availability zone.

#include <algorithm>
#include <cmath>
#include <limits>

#include "RelayLoopImpl.h"
#include "poplartrack/base/Milli.h"
#include "poplartrack/fleet/MeanRequest.h"

namespace poplartrack {
namespace {

std::uint32_t
toCount(double aValue)
{
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::round(std::clamp(aValue, 0.0, kMost)));
}

std::uint8_t
toUrgency(double aValue)
{
  constexpr double kLeastUrgent = 9;
  return static_cast<std::uint8_t>(std::clamp(aValue, 0.0, kLeastUrgent));
}

/** Returns the declared engine of a service; null if there is none. */
const EngineProfile*
engineOf(const RelayConfig* aConfig, const std::string& aService)
{
  const RelayService* declared =
    aConfig == nullptr ? nullptr : aConfig->service(aService);
  return declared == nullptr || !declared->engine ? nullptr
                                                  : &*declared->engine;
}

} // namespace

/** Records a new request of a model service. The return of a rejected caller
 * was recorded when it came first. */
void
RelayLoop::Impl::recordDemand(const Exchange& aExchange)
{
  if (this->settings.load.demandPlacement && !aExchange.returnedAfterDue &&
      aExchange.service != nullptr && aExchange.service->engine) {
    this->zoneDemand.onRequest(aExchange.service->name,
                               aExchange.need.prompt,
                               aExchange.need.answer,
                               this->now,
                               urgencyOf(aExchange));
  }
}

void
RelayLoop::Impl::addDemand(PeerStatus& aStatus) const
{
  for (const auto& [service, rate] :
       this->zoneDemand.own(kMaxDemandRows, this->now)) {
    aStatus.demand.push_back(DemandRow{ service,
                                        toCount(rate.prompt),
                                        toCount(rate.answer),
                                        toCount(rate.requests * kMilli),
                                        toUrgency(rate.urgency) });
  }
}

void
RelayLoop::Impl::onPeerDemand(const PeerStatus& aStatus,
                              const std::string& aPeer)
{
  if (!this->settings.load.demandPlacement) {
    return;
  }
  const auto config = this->shared.config.read();
  DemandTable::ServiceRates rates;
  for (const DemandRow& row : aStatus.demand) {
    TokenRate rate{ static_cast<double>(row.promptTokens),
                    static_cast<double>(row.answerTokens),
                    row.requests / kMilli,
                    static_cast<double>(toUrgency(row.urgency)) };
    const EngineProfile* engine = engineOf(config.get(), row.service);
    if (engine != nullptr) {
      rate.requests = requestRate(*engine, rate);
    }
    rates.emplace_back(row.service, rate);
  }
  this->zoneDemand.onPeer(aPeer, aStatus.zone, std::move(rates), this->now);
}

/** Publishes how slow the listed replicas are, for the moves by demand. In
 * steps of a tenth, so that replicas that are alike remain so. */
void
RelayLoop::Impl::publishSlowdowns()
{
  // Rounded down: a replica just below the limit is not degraded.
  constexpr double kSteps = 10;
  RelayShared::Slowdowns slowdowns;
  for (const Replica& replica : this->view->replicas) {
    const double slowdown =
      std::floor(this->slowdownOf(replica.id) * kSteps) / kSteps;
    if (slowdown > 1 && !this->isLost(replica.id) &&
        !this->health.dead(replica.id, this->now)) {
      slowdowns.emplace(replica.id, slowdown);
    }
  }
  if (*this->shared.slowdowns.read() != slowdowns) {
    this->shared.slowdowns.replace(
      std::make_shared<const RelayShared::Slowdowns>(std::move(slowdowns)));
  }
}

/** Drops old demand. On the holder of the placement lease, also publishes the
 * demand by zone; a relay that holds it no longer publishes none. */
void
RelayLoop::Impl::refreshDemand()
{
  if (!this->settings.load.demandPlacement) {
    return;
  }
  this->zoneDemand.expire(this->now);
  std::map<std::string, ZoneDemand> byService;
  if (this->shared.holdsLease) {
    this->publishSlowdowns();
    byService = this->zoneDemand.byService(this->settings.zone, this->now);
  }
  const auto config = this->shared.config.read();
  std::map<std::string, double> requests;
  for (const auto& [service, zones] : byService) {
    const EngineProfile* engine = engineOf(config.get(), service);
    if (engine == nullptr) {
      continue;
    }
    for (const auto& [zone, rate] : zones) {
      requests[zone] += requestRate(*engine, rate);
    }
  }
  for (const auto& [name, perSecond] : this->demandGauges.update(requests)) {
    this->shared.metrics.set(name, toMilliRate(perSecond));
  }
  if (!byService.empty() || !this->shared.demand.read()->empty()) {
    this->shared.demand.replace(
      std::make_shared<const RelayShared::Demand>(std::move(byService)));
  }
}

} // namespace poplartrack
