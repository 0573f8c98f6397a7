#include "poplartrack/fleet/ReplicaHealth.h"

#include <algorithm>

#include "poplartrack/fleet/ExclusionBound.h"

namespace poplartrack {
namespace {

/** Backoff after a refusal. A replica refuses when it is full, short of memory
 * or draining; each of these lasts about as long as one answer. */
constexpr Duration kRefusedBackoff = std::chrono::milliseconds{ 400 };

/** Weight of the newest answer in the error rate. After five errors in a row, a
 * replica counts as failing. */
constexpr double kNewestWeight = 0.2;

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
  const bool mayName = this->mayName(aReplica, aNow);
  State& state = this->states[aReplica];
  switch (aFailure) {
    case ReplicaFailure::Unreachable:
    case ReplicaFailure::Stalled:
      if (!mayName) {
        state.backoffUntil =
          std::max(state.backoffUntil, aNow + kRefusedBackoff);
        break;
      }
      state.dead = true;
      state.namedAt = aNow;
      state.blocksOthers =
        state.blocksOthers || aFailure == ReplicaFailure::Stalled;
      state.backoffUntil =
        std::max(state.backoffUntil, aNow + this->deadBackoff);
      this->anyDeadUntil = std::max(this->anyDeadUntil, state.backoffUntil);
      break;
    case ReplicaFailure::Refused:
      state.backoffUntil = std::max(state.backoffUntil, aNow + kRefusedBackoff);
      break;
    case ReplicaFailure::Faulty:
      state.errors += kNewestWeight * (1 - state.errors);
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
  revive(state);
  state.errors -= kNewestWeight * state.errors;
}

bool
ReplicaHealth::onProgress(const std::string& aReplica, TimePoint aSentAfter)
{
  if (aSentAfter >= this->anyDeadUntil) {
    return false;
  }
  const auto found = this->states.find(aReplica);
  if (found == this->states.end() || !found->second.dead ||
      aSentAfter <= found->second.namedAt) {
    return false;
  }
  revive(found->second);
  return true;
}

void
ReplicaHealth::revive(State& aState)
{
  aState.dead = false;
  aState.blocksOthers = false;
  aState.backoffUntil = TimePoint{};
}

void
ReplicaHealth::onSlowdown(const std::string& aReplica, double aSlowdown)
{
  this->states[aReplica].slowdown = std::max(aSlowdown, 1.0);
}

void
ReplicaHealth::keepOnly(const std::set<std::string>& aKept)
{
  std::erase_if(this->states, [&](const auto& aEntry) {
    return !aKept.contains(aEntry.first);
  });
}

bool
ReplicaHealth::usable(const std::string& aReplica, TimePoint aNow) const
{
  const auto found = this->states.find(aReplica);
  return found == this->states.end() || found->second.backoffUntil <= aNow;
}

bool
ReplicaHealth::dead(const std::string& aReplica, TimePoint aNow) const
{
  const auto found = this->states.find(aReplica);
  return found != this->states.end() && found->second.dead &&
         found->second.backoffUntil > aNow;
}

bool
ReplicaHealth::mayName(const std::string& aReplica, TimePoint aNow) const
{
  const auto named = static_cast<std::size_t>(std::count_if(
    this->states.begin(), this->states.end(), [&](const auto& aEntry) {
      return aEntry.first != aReplica && aEntry.second.dead &&
             aEntry.second.backoffUntil > aNow;
    }));
  return named < mostExcluded(this->listed);
}

double
ReplicaHealth::slowdown(const std::string& aReplica) const
{
  const auto found = this->states.find(aReplica);
  return found == this->states.end() ? 1 : found->second.slowdown;
}

std::map<std::string, double>
ReplicaHealth::degraded() const
{
  std::map<std::string, double> slow;
  for (const auto& [name, state] : this->states) {
    if (state.slowdown >= kDegradedSlowdown) {
      slow.emplace(name, state.slowdown);
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
    if (state.dead && state.backoffUntil > aNow) {
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
    if (state.blocksOthers && state.backoffUntil > aNow) {
      names.insert(name);
    }
  }
  return names;
}

} // namespace poplartrack
