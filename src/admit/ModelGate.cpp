#include "poplartrack/admit/ModelGate.h"

#include <algorithm>

#include "poplartrack/admit/FairShare.h"

namespace poplartrack {
namespace {

/** Each priority may fill the limit up to this fraction, so that more urgent
 * requests are admitted without waiting. The fraction does not apply to a
 * priority that is below its floor. */
constexpr std::array<double, kPriorityCount> kPriorityCeilings{ 1.0,
                                                                0.97,
                                                                0.9 };
/** Interval between sweeps of idle accounts. */
constexpr Duration kSweepInterval = std::chrono::seconds{ 1 };

std::size_t
indexOf(Priority aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

} // namespace

ModelGate::ModelGate(const AdmissionPolicy& aPolicy)
  : policy(aPolicy)
  , concurrency(aPolicy)
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
  this->recordRequest(aAccount, aWeight, aNow);
  const std::size_t priority = indexOf(aPriority);
  this->lastRequestAt[priority] = aNow;
  const double limit = this->concurrency.limit();
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
  if (!belowFloor && this->total + 1 > kPriorityCeilings[priority] * limit) {
    return "the free places are kept for more urgent work";
  }
  const Usage& usage = this->usages.at(aAccount);
  // Accounts count as asking without bound: the entry knows what they have in
  // flight, but not what they will ask for.
  const double fairShare =
    usage.weight * unboundedLevel(limit, this->activeWeight);
  if (this->total + 1 > this->policy.fairShareFrom * limit &&
      usage.inFlight + 1 > std::max(1.0, fairShare)) {
    return "the account has its fair share";
  }
  return {};
}

void
ModelGate::recordRequest(const std::string& aAccount,
                         double aWeight,
                         TimePoint aNow)
{
  const auto [found, isNew] = this->usages.try_emplace(aAccount);
  Usage& usage = found->second;
  const double weight = usableWeight(aWeight);
  this->activeWeight += weight - (isNew ? 0 : usage.weight);
  usage.weight = weight;
  usage.lastRequestAt = aNow;
}

void
ModelGate::dropIdle(TimePoint aNow)
{
  if (aNow < this->nextSweep) {
    return;
  }
  this->nextSweep = aNow + kSweepInterval;
  const TimePoint idleSince = aNow - this->policy.activeFor;
  std::erase_if(this->usages, [idleSince](const auto& aEntry) {
    const Usage& usage = aEntry.second;
    return usage.inFlight == 0 && usage.lastRequestAt < idleSince;
  });
  this->activeWeight = 0;
  for (const auto& [account, usage] : this->usages) {
    this->activeWeight += usage.weight;
  }
}

double
ModelGate::reservedForOthers(Priority aPriority,
                             const std::array<double, kPriorityCount>& aFloors,
                             TimePoint aNow) const
{
  double reserved = 0;
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const bool active = this->lastRequestAt[i] != TimePoint{} &&
                        aNow - this->lastRequestAt[i] <= this->policy.activeFor;
    if (i == indexOf(aPriority) || !active) {
      continue;
    }
    const double floor = aFloors[i] * this->concurrency.limit();
    reserved += std::max(0.0, floor - this->byPriority[i]);
  }
  return reserved;
}

void
ModelGate::enter(const std::string& aAccount, Priority aPriority)
{
  ++this->total;
  ++this->byPriority[indexOf(aPriority)];
  ++this->usages[aAccount].inFlight;
}

void
ModelGate::leave(const std::string& aAccount, Priority aPriority)
{
  --this->total;
  --this->byPriority[indexOf(aPriority)];
  const auto found = this->usages.find(aAccount);
  if (found != this->usages.end() && found->second.inFlight > 0) {
    --found->second.inFlight;
  }
}

void
ModelGate::onPressure(double aPressure, TimePoint aNow)
{
  this->concurrency.onPressure(aPressure, this->total, aNow);
}

} // namespace poplartrack
