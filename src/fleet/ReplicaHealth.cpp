#include "poplartrack/fleet/ReplicaHealth.h"

#include <algorithm>

namespace poplartrack {
namespace {

/** A replica that refuses is full, short of memory or leaving; all three last
 * for about one answer. */
constexpr Duration kRefusedRest = std::chrono::milliseconds{ 400 };

/** Weight of the newest answer in the error rate: five errors in a row count
 * as a failing replica. */
constexpr double kNewest = 0.2;

} // namespace

ReplicaFailure
failureOf(bool aConnecting, bool aAnswering)
{
  if (aConnecting) {
    return ReplicaFailure::Unreachable;
  }
  return aAnswering ? ReplicaFailure::Faulty : ReplicaFailure::Refused;
}

void
ReplicaHealth::onFailure(const std::string& aReplica,
                         ReplicaFailure aFailure,
                         TimePoint aNow)
{
  State& state = this->states[aReplica];
  switch (aFailure) {
    case ReplicaFailure::Unreachable:
    case ReplicaFailure::Stalled:
      state.dead = true;
      state.namedByReplica =
        state.namedByReplica || aFailure == ReplicaFailure::Stalled;
      state.avoidUntil = std::max(state.avoidUntil, aNow + this->deadRest);
      break;
    case ReplicaFailure::Refused:
      state.avoidUntil = std::max(state.avoidUntil, aNow + kRefusedRest);
      break;
    case ReplicaFailure::Faulty:
      state.errors += kNewest * (1 - state.errors);
      break;
  }
}

void
ReplicaHealth::onSuccess(const std::string& aReplica)
{
  const auto found = this->states.find(aReplica);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  state.dead = false;
  state.namedByReplica = false;
  state.avoidUntil = TimePoint{};
  state.errors -= kNewest * state.errors;
}

void
ReplicaHealth::onSlowdown(const std::string& aReplica, double aPace)
{
  this->states[aReplica].pace = std::max(aPace, 1.0);
}

void
ReplicaHealth::keepOnly(const std::set<std::string>& aListed)
{
  std::erase_if(this->states, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

bool
ReplicaHealth::usable(const std::string& aReplica, TimePoint aNow) const
{
  const auto found = this->states.find(aReplica);
  return found == this->states.end() || found->second.avoidUntil <= aNow;
}

bool
ReplicaHealth::dead(const std::string& aReplica, TimePoint aNow) const
{
  const auto found = this->states.find(aReplica);
  return found != this->states.end() && found->second.dead &&
         found->second.avoidUntil > aNow;
}

double
ReplicaHealth::slowdown(const std::string& aReplica) const
{
  const auto found = this->states.find(aReplica);
  return found == this->states.end() ? 1 : found->second.pace;
}

std::map<std::string, double>
ReplicaHealth::degraded() const
{
  std::map<std::string, double> slow;
  for (const auto& [name, state] : this->states) {
    if (state.pace >= kDegradedSlowdown) {
      slow.emplace(name, state.pace);
    }
  }
  return slow;
}

double
ReplicaHealth::errorRate(const std::string& aReplica) const
{
  const auto found = this->states.find(aReplica);
  return found == this->states.end() ? 0 : found->second.errors;
}

std::set<std::string>
ReplicaHealth::deadReplicas(TimePoint aNow) const
{
  std::set<std::string> names;
  for (const auto& [name, state] : this->states) {
    if (state.dead && state.avoidUntil > aNow) {
      names.insert(name);
    }
  }
  return names;
}

std::set<std::string>
ReplicaHealth::blockedOn(TimePoint aNow) const
{
  std::set<std::string> names;
  for (const auto& [name, state] : this->states) {
    if (state.namedByReplica && state.avoidUntil > aNow) {
      names.insert(name);
    }
  }
  return names;
}

} // namespace poplartrack
