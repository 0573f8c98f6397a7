#include "poplartrack/fleet/ReplicaHealth.h"

#include <algorithm>

#include "poplartrack/fleet/ExclusionBound.h"

namespace poplartrack {
namespace {

/** Backoff after a refusal. A replica refuses when it is full, short of memory
 * or draining; each of these lasts about as long as one answer. */
constexpr Duration kRefusedBackoff = std::chrono::milliseconds{ 400 };

/** Greatest age of what a replica reports of another one. */
constexpr Duration kMaxReportAge = std::chrono::milliseconds{ 500 };

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
    case ReplicaFailure::Exited:
    case ReplicaFailure::Stalled:
      if (mayName) {
        this->onLoss(state, aFailure, aNow);
      } else {
        state.backoffUntil =
          std::max(state.backoffUntil, aNow + kRefusedBackoff);
      }
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
ReplicaHealth::onLoss(State& aState, ReplicaFailure aFailure, TimePoint aNow)
{
  const bool blocks = aFailure == ReplicaFailure::Stalled;
  if (blocks && aState.answeredAt != TimePoint{} &&
      aNow - aState.answeredAt < kMaxReportAge) {
    // The report may be older than the replica's own answer.
    return;
  }
  if (!aState.dead || aState.backoffUntil <= aNow) {
    aState.silentSince = aNow;
  }
  if (blocks && aState.lastSign == LifeSign::StatusAnswer &&
      aNow - aState.namedAt < this->deadBackoff) {
    // It answers this relay, and the others cannot reach it all the same.
    aState.blocksUntil = aNow + this->deadBackoff;
  }
  aState.dead = true;
  aState.evidence = aFailure == ReplicaFailure::Exited ? LossEvidence::Exit
                                                       : LossEvidence::Silence;
  aState.namedAt = aNow;
  aState.blocksOthers = aState.blocksOthers || blocks;
  aState.backoffUntil = std::max(aState.backoffUntil, aNow + this->deadBackoff);
  this->anyDeadUntil = std::max(this->anyDeadUntil, aState.backoffUntil);
}

void
ReplicaHealth::onStillSilent(const std::string& aReplica, TimePoint aNow)
{
  if (!this->dead(aReplica, aNow)) {
    return;
  }
  State& state = this->states.at(aReplica);
  state.backoffUntil = aNow + this->deadBackoff;
  this->anyDeadUntil = std::max(this->anyDeadUntil, state.backoffUntil);
}

bool
ReplicaHealth::onStatusAnswer(const std::string& aReplica, TimePoint aAskedAt)
{
  const auto found = this->states.find(aReplica);
  if (found == this->states.end()) {
    return false;
  }
  State& state = found->second;
  if (!state.dead || aAskedAt <= state.namedAt ||
      aAskedAt < state.blocksUntil) {
    return false;
  }
  state.answeredAt = aAskedAt;
  revive(state, LifeSign::StatusAnswer);
  return true;
}

void
ReplicaHealth::onSuccess(const std::string& aReplica)
{
  const auto found = this->states.find(aReplica);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  revive(state, LifeSign::Answer);
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
  revive(found->second, LifeSign::Event);
  return true;
}

void
ReplicaHealth::revive(State& aState, LifeSign aSign)
{
  aState.lastSign = aState.dead ? aSign : aState.lastSign;
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

std::optional<LossMark>
ReplicaHealth::markOf(const std::string& aReplica, TimePoint aNow) const
{
  if (!this->dead(aReplica, aNow)) {
    return std::nullopt;
  }
  const State& state = this->states.at(aReplica);
  return LossMark{ state.evidence, state.silentSince, state.backoffUntil };
}

LifeSign
ReplicaHealth::lastSign(const std::string& aReplica) const
{
  const auto found = this->states.find(aReplica);
  return found == this->states.end() || found->second.dead
           ? LifeSign::None
           : found->second.lastSign;
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
