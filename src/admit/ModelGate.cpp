#include "poplartrack/admit/ModelGate.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** Part of the limit that a priority may fill, so that more urgent work finds
 * a place without waiting. Its floor stands beside this. */
constexpr std::array<double, kPriorityCount> kCeilings{ 1.0, 0.97, 0.9 };
constexpr Duration kSweepEvery = std::chrono::seconds{ 1 };

std::size_t
indexOf(Priority aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

} // namespace

ModelGate::ModelGate(const AdmissionPolicy& aPolicy)
  : policy(aPolicy)
  , places(aPolicy)
{
}

std::string_view
ModelGate::check(const std::string& aAccount,
                 double aWeight,
                 Priority aPriority,
                 const std::array<double, kPriorityCount>& aFloors,
                 TimePoint aNow)
{
  this->dropIdle(aNow);
  this->note(aAccount, aWeight, aNow);
  const std::size_t priority = indexOf(aPriority);
  this->lastAsked[priority] = aNow;
  const double limit = this->places.limit();
  const double floor = aFloors[priority] * limit;
  const bool belowFloor = this->byPriority[priority] + 1 <= floor;
  if (this->total + 1 > limit) {
    return "every place is taken";
  }
  if (!belowFloor &&
      this->total + 1 + this->reservedForOthers(aPriority, aFloors, aNow) >
        limit) {
    return "the free places are kept for other priorities";
  }
  if (!belowFloor && this->total + 1 > kCeilings[priority] * limit) {
    return "the free places are kept for more urgent work";
  }
  const Use& use = this->uses.at(aAccount);
  const double fair = limit * aWeight / this->activeWeight;
  if (this->total + 1 > this->policy.fairShareFrom * limit &&
      use.inFlight + 1 > std::max(1.0, fair)) {
    return "the account has its fair share";
  }
  return {};
}

void
ModelGate::note(const std::string& aAccount, double aWeight, TimePoint aNow)
{
  const auto [found, fresh] = this->uses.try_emplace(aAccount);
  Use& use = found->second;
  this->activeWeight += aWeight - (fresh ? 0 : use.weight);
  use.weight = aWeight;
  use.lastAsked = aNow;
}

void
ModelGate::dropIdle(TimePoint aNow)
{
  if (aNow < this->nextSweep) {
    return;
  }
  this->nextSweep = aNow + kSweepEvery;
  const TimePoint idleSince = aNow - this->policy.activeFor;
  std::erase_if(this->uses, [idleSince](const auto& aEntry) {
    const Use& use = aEntry.second;
    return use.inFlight == 0 && use.lastAsked < idleSince;
  });
  this->activeWeight = 0;
  for (const auto& [account, use] : this->uses) {
    this->activeWeight += use.weight;
  }
}

double
ModelGate::reservedForOthers(Priority aPriority,
                             const std::array<double, kPriorityCount>& aFloors,
                             TimePoint aNow) const
{
  double reserved = 0;
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const bool active = this->lastAsked[i] != TimePoint{} &&
                        aNow - this->lastAsked[i] <= this->policy.activeFor;
    if (i == indexOf(aPriority) || !active) {
      continue;
    }
    const double floor = aFloors[i] * this->places.limit();
    reserved += std::max(0.0, floor - this->byPriority[i]);
  }
  return reserved;
}

void
ModelGate::enter(const std::string& aAccount, Priority aPriority)
{
  ++this->total;
  ++this->byPriority[indexOf(aPriority)];
  ++this->uses[aAccount].inFlight;
}

void
ModelGate::leave(const std::string& aAccount, Priority aPriority)
{
  --this->total;
  --this->byPriority[indexOf(aPriority)];
  const auto found = this->uses.find(aAccount);
  if (found != this->uses.end() && found->second.inFlight > 0) {
    --found->second.inFlight;
  }
}

void
ModelGate::onPressure(double aPressure, TimePoint aNow)
{
  this->places.onPressure(aPressure, this->total, aNow);
}

} // namespace poplartrack
