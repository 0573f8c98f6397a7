// Moving requests off replicas of their path that were lost or drain.

#include <algorithm>
#include <vector>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Returns whether the stream may go on with another attempt after this one. */
bool
mayBeResumed(const Exchange& aExchange)
{
  return aExchange.route->resumable && !aExchange.hasUnnumberedEvent &&
         aExchange.runs + 1 < aExchange.route->attempts;
}

} // namespace

/** Handles the loss of a replica: moves all requests that pass through it. */
void
RelayLoop::Impl::onFaultyReplica(const std::string& aReplica)
{
  this->publishLostReplicas();
  for (const std::uint64_t id : this->requestsThrough(aReplica)) {
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
      continue;
    }
    Exchange& exchange = *found->second;
    if (this->settings.load.lossProbes) {
      // Links the request's id to the lost replica.
      this->shared.log.write(LogLine{ LogPart::Path, "part_lost" }
                               .with("id", exchange.requestId)
                               .with("replica", aReplica)
                               .with("late_ms", this->lateMs(exchange)));
    }
    if (exchange.replica != aReplica && !exchange.runningSince) {
      // The connection to the first replica shows nothing of a later one.
      this->recordPossibleCrashAt(exchange, aReplica, false, true);
    }
    this->repair(exchange, false);
  }
}

/** Returns the requests in flight whose target is the replica, or whose path
 * includes it. */
std::vector<std::uint64_t>
RelayLoop::Impl::requestsThrough(const std::string& aReplica) const
{
  std::vector<std::uint64_t> affected;
  for (const auto& [id, exchange] : this->exchanges) {
    const auto& parts = exchange->path.parts;
    const bool passesThrough =
      exchange->replica == aReplica ||
      std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
        return aPart.replica == aReplica;
      });
    if (exchange->connection != 0 && passesThrough) {
      affected.push_back(id);
    }
  }
  return affected;
}

/** Handles the loss of the replica of a plain service: a request is lost if it
 * has restarted, but not if it only gives no report. */
void
RelayLoop::Impl::repairPlain(Exchange& aExchange)
{
  if (!this->drainState.restarted.contains(aExchange.replica)) {
    this->onAttemptDoubtful(
      aExchange, ReplicaFailure::Unreachable, "replica unreachable");
    return;
  }
  this->recordPossibleCrash(aExchange, ConnectionEnd::Silent);
  this->onAttemptFailed(
    aExchange, ReplicaFailure::Refused, "replica restarted");
}

/** Handles the loss of a replica on the path of a request in quarantine, which
 * is sent to no further replica: refuses it if the replica has exited, and else
 * lets its attempt go on. The replica may only be silent. */
void
RelayLoop::Impl::repairQuarantined(Exchange& aExchange, const Suspect& aSuspect)
{
  const auto& parts = aExchange.path.parts;
  const bool hasExited =
    std::any_of(parts.begin(), parts.end(), [this](const PathPart& aPart) {
      return !this->drainState.since.contains(aPart.replica) &&
             this->crashProofOf(aPart.replica) == CrashProof::Exited;
    });
  if (!hasExited) {
    this->keepAttempt(aExchange);
    return;
  }
  this->dropAttempt(aExchange, this->mayHaveRun(aExchange));
  this->refuseQuarantined(aExchange, aSuspect);
}

/**
 * Moves a request off a lost or draining replica of its path.
 *
 * While the first replica of the path lives, it is ordered to use another path.
 * The replicas that both paths share keep their KV cache, and only the new ones
 * prefill the tokens so far. This is quick within one zone. Across zones, the
 * activations of all these tokens take the shared link, and about seventy
 * streams lose the same replica at once: such streams stalled for 1.1 s (median
 * of those that moved at all). A new attempt at a complete copy in another zone
 * continues the stream within about 0.3 s and uses up one attempt.
 */
void
RelayLoop::Impl::repair(Exchange& aExchange, bool aPlanned)
{
  if (aExchange.next) {
    return;
  }
  if (aExchange.path.parts.empty()) {
    this->repairPlain(aExchange);
    return;
  }
  const std::vector<Suspect> quarantined = this->quarantinedIn(aExchange);
  // A started stream is not cut for what its request may have done elsewhere.
  if (!quarantined.empty() && !aExchange.runningSince && !aExchange.answering) {
    this->repairQuarantined(aExchange, quarantined.front());
    return;
  }
  const PathPart first = aExchange.path.parts.front();
  // A replica that refused a request because it is full is not dead and
  // continues with its other work.
  const bool firstIsAlive = !this->health.dead(first.replica, this->now) &&
                            !this->isLost(first.replica);
  if (this->drainState.since.contains(first.replica)) {
    this->moveOffDrainingFirst(aExchange);
    return;
  }
  if (this->drainState.restarted.contains(first.replica)) {
    this->recordPossibleCrash(aExchange, ConnectionEnd::Silent);
    this->onAttemptFailed(
      aExchange, ReplicaFailure::Unreachable, "first replica restarted");
    return;
  }
  if (!firstIsAlive) {
    this->onAttemptDoubtful(
      aExchange, ReplicaFailure::Unreachable, "first replica lost");
    return;
  }
  const LayerPath before = aExchange.path;
  const LayerPath kept = this->cachedParts(aExchange);
  // The memory that the request itself takes on the old path counts as free.
  this->removeLoad(aExchange);
  const Result<AttemptTarget> target =
    this->choosePath(aExchange, first.replica);
  const bool needsMoreCrossings =
    !target ||
    target.value().path.crossings.size() > aExchange.path.crossings.size();
  const bool mayResume = mayBeResumed(aExchange);
  // Only a few planned moves happen at a time, so they may cross a link. They
  // don't use up the attempt. It is needed if the first replica drains, because
  // no other path can replace that one. When a release drains six replicas one
  // after the other, a stream may meet two draining replicas, and the second
  // one would break it off.
  const bool preferResume = !target || !aPlanned;
  // Without retry budget the request keeps its attempt: the lost layers are
  // available again in its zone after about one second, and the first replica
  // keeps the work for longer than that.
  const RetryPriority need =
    aPlanned ? RetryPriority::Planned : retryNeedOf(aExchange);
  if (needsMoreCrossings && mayResume && preferResume &&
      this->budgetOf(aExchange).mayRetry(need, this->now) &&
      this->choosePath(aExchange, {}, { first.replica }).ok()) {
    this->addLoad(aExchange, &kept);
    this->onAttemptDoubtful(aExchange, ReplicaFailure::Refused, "part lost");
    return;
  }
  if (!target) {
    this->addLoad(aExchange, &kept);
    this->shared.log.write(LogLine{ LogPart::Path, "no_repair" }
                             .with("id", aExchange.requestId)
                             .with("reason", describe(target.error())));
    return;
  }
  ++aExchange.repairs;
  aExchange.disturbedByLoss = aExchange.disturbedByLoss || !aPlanned;
  aExchange.repairedAt = this->now;
  this->shared.metrics.countRetry(RetryReason::PathRepaired);
  const RepathOrder order{
    aExchange.id, aExchange.connection, before, target.value().path, aPlanned
  };
  aExchange.path = order.after;
  this->addLoad(aExchange, &kept);
  this->reserveLinkCapacity(aExchange, order.after);
  this->calls.repath(
    first.address,
    aExchange.requestId,
    order.after,
    [this, order](RepathOutcome aOutcome) {
      this->post([this, order, aOutcome] { this->onRepath(order, aOutcome); });
    });
}

/**
 * Moves a stream off its first replica, which is draining and still serves, if
 * the retry budget permits. Ending the attempt without retry budget would make
 * the stream wait 1.5 s for it and then break off, although its replica can
 * still run it.
 */
void
RelayLoop::Impl::moveOffDrainingFirst(Exchange& aExchange)
{
  if (!mayBeResumed(aExchange)) {
    return;
  }
  if (!this->budgetOf(aExchange).mayRetry(RetryPriority::Planned, this->now)) {
    this->shared.metrics.count("planned_moves_without_budget_total");
    return;
  }
  if (this->choosePath(aExchange, {}, { aExchange.replica }).ok()) {
    this->onAttemptDoubtful(
      aExchange, ReplicaFailure::Refused, "replica leaves");
  }
}

/** Handles the outcome of an order to use another path. */
void
RelayLoop::Impl::onRepath(const RepathOrder& aOrder, RepathOutcome aOutcome)
{
  const auto found = this->exchanges.find(aOrder.exchange);
  if (found == this->exchanges.end()) {
    return;
  }
  Exchange& exchange = *found->second;
  const bool isAside = isReplaced(exchange, aOrder.connection);
  if (!isAside && exchange.connection != aOrder.connection) {
    return;
  }
  this->shared.log.write(
    LogLine{ LogPart::Path, "repaired" }
      .with("id", exchange.requestId)
      .with("parts", static_cast<std::int64_t>(aOrder.after.parts.size()))
      .with("planned", aOrder.planned ? 1 : 0)
      .with("outcome", static_cast<std::int64_t>(aOutcome))
      .with("late_ms", this->lateMs(exchange)));
  if (isAside) {
    this->onReplacedRepath(*exchange.replaced, aOrder, aOutcome);
    return;
  }
  if (aOutcome == RepathOutcome::Moved) {
    exchange.lastProgress = std::max(exchange.lastProgress, this->now);
    exchange.overdue = false;
    this->endDoubt(exchange);
    this->armExchange(exchange);
    return;
  }
  // The request is still on the old path.
  this->removeLoad(exchange);
  exchange.path = aOrder.before;
  this->addLoad(exchange, exchange.runningSince ? &aOrder.before : nullptr);
  exchange.repairedAt.reset();
  if (!aOrder.planned && mayBeResumed(exchange)) {
    // The work would stall for seconds until the first replica abandons it. It
    // is resumed after its last event at another first replica.
    this->onAttemptDoubtful(exchange, ReplicaFailure::Refused, "not moved");
  }
}

} // namespace poplartrack
