// Moving requests off a part of their path that was lost.

#include <algorithm>
#include <vector>

#include "RelayLoopImpl.h"

namespace poplartrack {
/** A replica is lost: all work that passes through it is moved. */
void
RelayLoop::Impl::onFaultyReplica(const std::string& aReplica)
{
  this->publishLost();
  for (const std::uint64_t id : this->requestsThrough(aReplica)) {
    const auto found = this->exchanges.find(id);
    if (found != this->exchanges.end()) {
      this->repair(*found->second, false);
    }
  }
}

/** Requests that are at a replica now, or whose path leads through it. */
std::vector<std::uint64_t>
RelayLoop::Impl::requestsThrough(const std::string& aReplica) const
{
  std::vector<std::uint64_t> affected;
  for (const auto& [id, exchange] : this->exchanges) {
    const auto& parts = exchange->path.parts;
    const bool through =
      exchange->replica == aReplica ||
      std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
        return aPart.replica == aReplica;
      });
    if (exchange->connection != 0 && through) {
      affected.push_back(id);
    }
  }
  return affected;
}

/**
 * Moves a request off a lost replica. While its first replica lives, that one
 * can be told another path: the other parts keep their memory and only the new
 * ones read the tokens so far. That is quick inside one zone. Across zones the
 * activations of all those tokens take the shared pipe, and a part is lost to
 * some seventy streams at once: they stood still for 1.1 s (median, of those
 * that moved at all). Read anew by a copy that lies whole in another zone they
 * are back in about 0.3 s, at the price of one attempt.
 */
void
RelayLoop::Impl::repair(Exchange& aExchange, bool aPlanned)
{
  if (aExchange.path.parts.empty()) {
    // A plain replica that has started again: nothing of it is left there.
    this->watchCrash(aExchange, ConnectionEnd::Silent);
    this->onBroken(aExchange, ReplicaFailure::Refused, "replica restarted");
    return;
  }
  const PathPart first = aExchange.path.parts.front();
  // One that refused a request, as full, lives and runs what it has.
  const bool firstLives = !this->health.dead(first.replica, this->now) &&
                          !this->isLost(first.replica);
  if (this->drainingSince.contains(first.replica)) {
    this->leaveFirst(aExchange);
    return;
  }
  if (!firstLives) {
    this->watchCrash(aExchange, ConnectionEnd::Silent);
    this->onBroken(
      aExchange, ReplicaFailure::Unreachable, "first replica lost");
    return;
  }
  // Its own memory on the old path is not in the way of the new one.
  this->removeLoad(aExchange);
  const Result<AttemptTarget> target =
    this->choosePath(aExchange, first.replica);
  const bool crosses = !target || target.value().path.crossings.size() >
                                    aExchange.path.crossings.size();
  const bool mayResume = aExchange.route->resumable &&
                         aExchange.runs + 1 < aExchange.route->attempts;
  // Planned moves are few at a time, so the pipe takes them; the attempt is
  // kept for a first replica that leaves, which no other path helps. In a
  // release of six replicas in turn streams met two that leave, and the second
  // cut them.
  const bool resumes = !target || !aPlanned;
  // Without a retry to spend it stays: its zone is whole again after a second
  // or so, and the replica keeps the work for longer than that.
  const RetryPriority need =
    aPlanned ? RetryPriority::Planned : retryNeedOf(aExchange);
  if (crosses && mayResume && resumes &&
      this->budgetOf(aExchange).mayRetry(need, this->now) &&
      this->choosePath(aExchange, {}).ok()) {
    this->onBroken(aExchange, ReplicaFailure::Refused, "part lost");
    return;
  }
  if (!target) {
    this->addLoad(aExchange);
    this->shared.log.write(LogLine{ LogPart::Path, "no_repair" }
                             .with("id", aExchange.requestId)
                             .with("reason", describe(target.error())));
    return;
  }
  ++aExchange.repairs;
  aExchange.repairedAt = this->now;
  this->shared.metrics.countRetry(RetryReason::PathRepaired);
  const RepathOrder order{
    aExchange.id, aExchange.path, target.value().path, aPlanned
  };
  aExchange.path = order.after;
  this->addLoad(aExchange);
  this->payCrossings(aExchange, order.after);
  this->calls.repath(
    first.address,
    aExchange.requestId,
    order.after,
    [this, order](RepathOutcome aOutcome) {
      this->post([this, order, aOutcome] { this->onRepath(order, aOutcome); });
    });
}

/**
 * Moves a stream off its first replica, which leaves and still serves. Only
 * with a retry to spend: without one the attempt was ended all the same,
 * waited 1.5 s for the budget, and the caller's stream was cut while its
 * replica had work to do and time to do it.
 */
void
RelayLoop::Impl::leaveFirst(Exchange& aExchange)
{
  const bool mayMove = aExchange.route->resumable &&
                       aExchange.runs + 1 < aExchange.route->attempts;
  if (!mayMove) {
    return;
  }
  if (!this->budgetOf(aExchange).mayRetry(RetryPriority::Planned, this->now)) {
    this->shared.metrics.count("planned_moves_without_budget_total");
    return;
  }
  if (this->choosePath(aExchange, {}).ok()) {
    this->onBroken(aExchange, ReplicaFailure::Refused, "replica leaves");
  }
}

void
RelayLoop::Impl::onRepath(const RepathOrder& aOrder, RepathOutcome aOutcome)
{
  const auto found = this->exchanges.find(aOrder.exchange);
  if (found == this->exchanges.end() || found->second->connection == 0) {
    return;
  }
  Exchange& exchange = *found->second;
  this->shared.log.write(
    LogLine{ LogPart::Path, "repaired" }
      .with("id", exchange.requestId)
      .with("parts", static_cast<std::int64_t>(aOrder.after.parts.size()))
      .with("planned", aOrder.planned ? 1 : 0)
      .with("outcome", static_cast<std::int64_t>(aOutcome)));
  if (aOutcome == RepathOutcome::Moved) {
    exchange.lastProgress = std::max(exchange.lastProgress, this->now);
    exchange.asking = false;
    this->armExchange(exchange);
    return;
  }
  const bool mayResume =
    exchange.route->resumable && exchange.runs + 1 < exchange.route->attempts;
  if (aOrder.planned || !mayResume) {
    // It is where it was. A stream that was to leave in time still runs there,
    // and is tried again; ending its attempt cut streams that lacked nothing.
    this->removeLoad(exchange);
    exchange.path = aOrder.before;
    this->addLoad(exchange);
    exchange.repairedAt.reset();
    return;
  }
  // The work stands still until the replica gives it up, after seconds: it goes
  // on after its last event at another first replica now.
  this->onBroken(exchange, ReplicaFailure::Refused, "not moved");
}

} // namespace poplartrack
