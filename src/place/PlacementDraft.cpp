#include "PlacementDraft.h"

#include <algorithm>
#include <tuple>

namespace poplartrack {
namespace {

bool
isEngineFor(const PlacementEndpoint& aEndpoint)
{
  return aEndpoint.info.service == "engine" && !aEndpoint.info.draining &&
         aEndpoint.capacityLayers > 0;
}

double
demandOf(const PlacementInput& aInput, const std::string& aModel)
{
  const auto found = aInput.demand.find(aModel);
  return found == aInput.demand.end() ? 0 : found->second;
}

/** What demand is multiplied by so that the load is 1 where all speed is used
 * evenly; 0 when there is no demand. */
double
demandScale(const PlacementInput& aInput)
{
  double speed = 0;
  for (const PlacementEndpoint& endpoint : aInput.endpoints) {
    speed += isEngineFor(endpoint) ? endpoint.speed : 0;
  }
  double work = 0;
  for (const auto& [name, model] : aInput.configuration.models) {
    work += demandOf(aInput, name) * model.layers;
  }
  return work > 0 ? speed / work : 0;
}

} // namespace

PlacementDraft::PlacementDraft(const PlacementInput& aInput,
                               const PlacementPolicy& aPolicy)
  : policy(aPolicy)
{
  std::map<std::string, std::size_t> zones;
  for (const PlacementEndpoint& endpoint : aInput.endpoints) {
    if (!isEngineFor(endpoint)) {
      continue;
    }
    const auto zone = zones.emplace(endpoint.info.zone, zones.size()).first;
    this->seats.push_back({ &endpoint, zone->second, {}, {} });
  }
  this->zoneCount = std::max<std::size_t>(zones.size(), 1);
  this->readModels(aInput);
  this->readSeats();
}

void
PlacementDraft::readModels(const PlacementInput& aInput)
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

std::optional<PlacementDraft::Spot>
PlacementDraft::spotNow(const PlacementEndpoint& aEndpoint) const
{
  const EndpointInfo& info = aEndpoint.info;
  const auto found = this->modelIndex.find(info.model);
  if (found == this->modelIndex.end() || info.holds.size() == 0 ||
      info.holds.size() > aEndpoint.capacityLayers ||
      info.holds.to > this->models[found->second].coverage.layers()) {
    return std::nullopt;
  }
  return Spot{ found->second, info.holds };
}

void
PlacementDraft::readSeats()
{
  for (Seat& seat : this->seats) {
    seat.before = this->spotNow(*seat.endpoint);
    if (seat.before) {
      this->put(seat, *seat.before);
    }
  }
}

CoverPart
PlacementDraft::partOf(const Seat& aSeat, const Spot& aSpot) const
{
  return { aSpot.holds,
           aSeat.endpoint->speed / aSpot.holds.size(),
           aSeat.zone };
}

void
PlacementDraft::put(Seat& aSeat, const Spot& aSpot)
{
  this->models[aSpot.model].coverage.add(this->partOf(aSeat, aSpot));
  aSeat.spot = aSpot;
}

void
PlacementDraft::take(Seat& aSeat)
{
  this->models[aSeat.spot->model].coverage.remove(
    this->partOf(aSeat, *aSeat.spot));
  aSeat.spot.reset();
}

PlacementDraft::Candidate
PlacementDraft::bestFor(const Seat& aSeat) const
{
  Candidate best;
  for (std::size_t i = 0; i < this->models.size(); ++i) {
    const ModelCoverage& coverage = this->models[i].coverage;
    const std::uint32_t size =
      std::min(aSeat.endpoint->capacityLayers, coverage.layers());
    if (size == 0) {
      continue;
    }
    const BestWindow window =
      coverage.bestWindow(size, aSeat.endpoint->speed / size, aSeat.zone);
    const bool better = std::tie(window.missingFilled, window.gain) >
                        std::tie(best.missingFilled, best.gain);
    if (better || best.spot.holds.size() == 0) {
      best = { Spot{ i, window.holds }, window.missingFilled, window.gain };
    }
  }
  return best;
}

void
PlacementDraft::fillEmpty()
{
  std::vector<Seat*> empty;
  for (Seat& seat : this->seats) {
    if (!seat.spot) {
      empty.push_back(&seat);
    }
  }
  std::stable_sort(
    empty.begin(), empty.end(), [](const Seat* aLeft, const Seat* aRight) {
      return std::tie(aLeft->endpoint->capacityLayers, aLeft->endpoint->speed) >
             std::tie(aRight->endpoint->capacityLayers,
                      aRight->endpoint->speed);
    });
  for (Seat* seat : empty) {
    const Candidate best = this->bestFor(*seat);
    if (best.missingFilled > 0 || best.gain > 0) {
      this->put(*seat, best.spot);
    }
  }
}

std::uint32_t
PlacementDraft::missing() const
{
  std::uint32_t sum = 0;
  for (const Model& model : this->models) {
    sum += model.coverage.missing();
  }
  return sum;
}

std::optional<PlacementDraft::Donor>
PlacementDraft::bestDonor(bool aForMissing) const
{
  // Endpoints of one kind and zone are worth the same elsewhere.
  using Kind = std::tuple<std::uint32_t, double, std::size_t>;
  std::map<Kind, Candidate> worth;
  std::optional<Donor> best;
  for (std::size_t i = 0; i < this->seats.size(); ++i) {
    const Seat& seat = this->seats[i];
    if (!seat.spot) {
      continue;
    }
    const ModelCoverage& coverage = this->models[seat.spot->model].coverage;
    const CoverPart part = this->partOf(seat, *seat.spot);
    if (!coverage.hasSpare(part)) {
      continue;
    }
    const Kind kind{ seat.endpoint->capacityLayers,
                     seat.endpoint->speed,
                     seat.zone };
    auto known = worth.find(kind);
    if (known == worth.end()) {
      known = worth.emplace(kind, this->bestFor(seat)).first;
    }
    const Donor donor{ i, known->second, coverage.lossWithout(part) };
    if (aForMissing && donor.candidate.missingFilled == 0) {
      continue;
    }
    const auto rank = [](const Donor& aDonor) {
      return std::make_tuple(aDonor.candidate.missingFilled,
                             aDonor.candidate.gain - aDonor.loss);
    };
    if (!best || rank(donor) > rank(*best)) {
      best = donor;
    }
  }
  return best;
}

void
PlacementDraft::fillMissing()
{
  while (this->missing() > 0) {
    const std::optional<Donor> donor = this->bestDonor(true);
    if (!donor) {
      return;
    }
    Seat& seat = this->seats[donor->seat];
    this->take(seat);
    this->put(seat, donor->candidate.spot);
  }
}

void
PlacementDraft::balance()
{
  for (std::uint32_t i = 0; i < this->policy.maxBalanceMoves; ++i) {
    const std::optional<Donor> donor = this->bestDonor(false);
    if (!donor) {
      return;
    }
    Seat& seat = this->seats[donor->seat];
    const double gain = donor->candidate.gain;
    if (gain < this->policy.leastGain * seat.endpoint->speed ||
        gain <= donor->loss * this->policy.gainOverLoss) {
      return;
    }
    const Spot old = *seat.spot;
    this->take(seat);
    // Without itself its old place may be the best one after all.
    const Candidate best = this->bestFor(seat);
    const bool same =
      best.spot.model == old.model && best.spot.holds == old.holds;
    this->put(seat, same ? old : best.spot);
    if (same) {
      return;
    }
  }
}

PlacementPlan
PlacementDraft::plan() const
{
  PlacementPlan plan;
  for (const Seat& seat : this->seats) {
    if (!seat.spot) {
      continue;
    }
    const Model& model = this->models[seat.spot->model];
    plan.holds.push_back({ seat.endpoint->info.name,
                           model.name,
                           model.version,
                           seat.spot->holds });
    const bool stays = seat.before && seat.before->model == seat.spot->model &&
                       seat.before->holds == seat.spot->holds;
    plan.moves += stays ? 0 : 1;
  }
  for (const Model& model : this->models) {
    if (model.coverage.missing() > 0) {
      plan.shortModels.push_back(model.name);
    }
  }
  return plan;
}

} // namespace poplartrack
