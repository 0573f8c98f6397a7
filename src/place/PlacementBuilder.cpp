#include "PlacementBuilder.h"

#include <algorithm>
#include <tuple>

namespace poplartrack {
namespace {

/** Returns whether placement may assign layers to the endpoint. */
bool
isUsableEngine(const PlacementEndpoint& aEndpoint)
{
  return aEndpoint.info.service == "engine" && !aEndpoint.info.draining &&
         aEndpoint.capacityLayers > 0;
}

/** Returns the demand for a model; 0 if the input has none. */
double
demandOf(const PlacementInput& aInput, const std::string& aModel)
{
  const auto found = aInput.demand.find(aModel);
  return found == aInput.demand.end() ? 0 : found->second;
}

/** Returns the factor that scales the demand so that the load of each layer is
 * 1 when the speed of all endpoints is spread evenly; 0 without demand. */
double
demandScale(const PlacementInput& aInput)
{
  double speed = 0;
  for (const PlacementEndpoint& endpoint : aInput.endpoints) {
    speed += isUsableEngine(endpoint) ? endpoint.speed : 0;
  }
  double work = 0;
  for (const auto& [name, model] : aInput.configuration.models) {
    work += demandOf(aInput, name) * model.layers;
  }
  return work > 0 ? speed / work : 0;
}

} // namespace

PlacementBuilder::PlacementBuilder(const PlacementInput& aInput,
                                   const PlacementPolicy& aPolicy)
  : policy(aPolicy)
{
  std::map<std::string, std::size_t> zones;
  for (const PlacementEndpoint& endpoint : aInput.endpoints) {
    if (!isUsableEngine(endpoint)) {
      continue;
    }
    const auto zone = zones.emplace(endpoint.info.zone, zones.size()).first;
    this->engines.push_back({ &endpoint, zone->second, {}, {} });
  }
  this->zoneCount = std::max<std::size_t>(zones.size(), 1);
  this->addModels(aInput);
  this->addInitialAssignments();
}

void
PlacementBuilder::addModels(const PlacementInput& aInput)
{
  const double scale = demandScale(aInput);
  for (const auto& [name, model] : aInput.configuration.models) {
    const double demand = scale > 0 ? demandOf(aInput, name) * scale : 1;
    this->modelIndex[name] = this->models.size();
    this->models.push_back(
      { name,
        model.version,
        ModelCoverage{
          model.layers, model.minCopies, demand, this->zoneCount } });
  }
}

std::optional<PlacementBuilder::Assignment>
PlacementBuilder::currentAssignment(const PlacementEndpoint& aEndpoint) const
{
  const EndpointInfo& info = aEndpoint.info;
  const auto found = this->modelIndex.find(info.model);
  if (found == this->modelIndex.end() || info.holds.size() == 0 ||
      info.holds.size() > aEndpoint.capacityLayers ||
      info.holds.to > this->models[found->second].coverage.layers()) {
    return std::nullopt;
  }
  return Assignment{ found->second, info.holds };
}

void
PlacementBuilder::addInitialAssignments()
{
  for (Engine& engine : this->engines) {
    engine.initial = this->currentAssignment(*engine.endpoint);
    if (engine.initial) {
      this->assign(engine, *engine.initial);
    }
  }
}

CoverPart
PlacementBuilder::coverPartOf(const Engine& aEngine,
                              const Assignment& aAssignment) const
{
  return { aAssignment.holds,
           aEngine.endpoint->speed / aAssignment.holds.size(),
           aEngine.zone };
}

void
PlacementBuilder::assign(Engine& aEngine, const Assignment& aAssignment)
{
  this->models[aAssignment.model].coverage.add(
    this->coverPartOf(aEngine, aAssignment));
  aEngine.assignment = aAssignment;
}

void
PlacementBuilder::unassign(Engine& aEngine)
{
  this->models[aEngine.assignment->model].coverage.remove(
    this->coverPartOf(aEngine, *aEngine.assignment));
  aEngine.assignment.reset();
}

PlacementBuilder::ScoredAssignment
PlacementBuilder::bestAssignment(const Engine& aEngine) const
{
  ScoredAssignment best;
  for (std::size_t i = 0; i < this->models.size(); ++i) {
    const ModelCoverage& coverage = this->models[i].coverage;
    const std::uint32_t size =
      std::min(aEngine.endpoint->capacityLayers, coverage.layers());
    if (size == 0) {
      continue;
    }
    const BestWindow window =
      coverage.bestWindow(size, aEngine.endpoint->speed / size, aEngine.zone);
    const bool better = std::tie(window.missingFilled, window.gain) >
                        std::tie(best.missingFilled, best.gain);
    if (better || best.assignment.holds.size() == 0) {
      best = { Assignment{ i, window.holds },
               window.missingFilled,
               window.gain };
    }
  }
  return best;
}

void
PlacementBuilder::fillEmpty()
{
  std::vector<Engine*> empty;
  for (Engine& engine : this->engines) {
    if (!engine.assignment) {
      empty.push_back(&engine);
    }
  }
  std::stable_sort(
    empty.begin(), empty.end(), [](const Engine* aLeft, const Engine* aRight) {
      return std::tie(aLeft->endpoint->capacityLayers, aLeft->endpoint->speed) >
             std::tie(aRight->endpoint->capacityLayers,
                      aRight->endpoint->speed);
    });
  for (Engine* engine : empty) {
    const ScoredAssignment best = this->bestAssignment(*engine);
    if (best.missingFilled > 0 || best.gain > 0) {
      this->assign(*engine, best.assignment);
    }
  }
}

std::uint32_t
PlacementBuilder::missingCopies() const
{
  std::uint32_t sum = 0;
  for (const Model& model : this->models) {
    sum += model.coverage.missingCopies();
  }
  return sum;
}

std::optional<PlacementBuilder::Donor>
PlacementBuilder::bestDonor(bool aForMissing) const
{
  // The best target is the same for all endpoints of one capacity, speed and
  // zone, so it is computed once for each.
  using EngineKind = std::tuple<std::uint32_t, double, std::size_t>;
  std::map<EngineKind, ScoredAssignment> targetByKind;
  std::optional<Donor> best;
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const Engine& engine = this->engines[i];
    if (!engine.assignment) {
      continue;
    }
    const ModelCoverage& coverage =
      this->models[engine.assignment->model].coverage;
    const CoverPart part = this->coverPartOf(engine, *engine.assignment);
    if (!coverage.hasSpareCopies(part)) {
      continue;
    }
    const EngineKind kind{ engine.endpoint->capacityLayers,
                           engine.endpoint->speed,
                           engine.zone };
    auto known = targetByKind.find(kind);
    if (known == targetByKind.end()) {
      known = targetByKind.emplace(kind, this->bestAssignment(engine)).first;
    }
    const Donor donor{ i, known->second, coverage.removalCost(part) };
    if (aForMissing && donor.target.missingFilled == 0) {
      continue;
    }
    const auto rank = [](const Donor& aDonor) {
      return std::make_tuple(aDonor.target.missingFilled,
                             aDonor.target.gain - aDonor.loss);
    };
    if (!best || rank(donor) > rank(*best)) {
      best = donor;
    }
  }
  return best;
}

void
PlacementBuilder::fillMissing()
{
  while (this->missingCopies() > 0) {
    const std::optional<Donor> donor = this->bestDonor(true);
    if (!donor) {
      return;
    }
    Engine& engine = this->engines[donor->engineIndex];
    this->unassign(engine);
    this->assign(engine, donor->target.assignment);
  }
}

void
PlacementBuilder::balance()
{
  for (std::uint32_t i = 0; i < this->policy.maxBalanceMoves; ++i) {
    const std::optional<Donor> donor = this->bestDonor(false);
    if (!donor) {
      return;
    }
    Engine& engine = this->engines[donor->engineIndex];
    const double gain = donor->target.gain;
    if (gain < this->policy.minGainPerSpeed * engine.endpoint->speed ||
        gain <= donor->loss * this->policy.minGainToLoss) {
      return;
    }
    const Assignment old = *engine.assignment;
    this->unassign(engine);
    // With the endpoint removed, its old range may turn out to be the best.
    const ScoredAssignment best = this->bestAssignment(engine);
    const bool same =
      best.assignment.model == old.model && best.assignment.holds == old.holds;
    this->assign(engine, same ? old : best.assignment);
    if (same) {
      return;
    }
  }
}

PlacementPlan
PlacementBuilder::plan() const
{
  PlacementPlan plan;
  for (const Engine& engine : this->engines) {
    if (!engine.assignment) {
      continue;
    }
    const Model& model = this->models[engine.assignment->model];
    plan.holds.push_back({ engine.endpoint->info.name,
                           model.name,
                           model.version,
                           engine.assignment->holds });
    const bool isUnchanged =
      engine.initial && engine.initial->model == engine.assignment->model &&
      engine.initial->holds == engine.assignment->holds;
    plan.moves += isUnchanged ? 0 : 1;
  }
  for (const Model& model : this->models) {
    if (model.coverage.missingCopies() > 0) {
      plan.shortModels.push_back(model.name);
    }
  }
  return plan;
}

} // namespace poplartrack
