// Requests that wait for replica memory, or for another path.

#include <algorithm>

#include "LoopKeys.h"
#include "QueueWait.h"
#include "RelayLoopImpl.h"

namespace poplartrack {

/** Describes the request to the wait queue. */
Waiter
RelayLoop::Impl::waiterOf(const Exchange& aExchange) const
{
  // The prefill that is still to come takes about half of the objective at busy
  // replicas.
  constexpr int kPrefillDivisor = 2;
  Waiter waiter;
  waiter.request = aExchange.id;
  waiter.service = aExchange.service == nullptr ? "" : aExchange.service->name;
  // A request whose attempt goes on must not be refused either.
  waiter.started = aExchange.answering || aExchange.connection != 0;
  waiter.exempt = !this->isPaced(aExchange);
  waiter.beyondShare = aExchange.beyondShare;
  waiter.urgency = urgencyOf(aExchange);
  waiter.tokens = aExchange.need.prompt + aExchange.need.answer;
  waiter.maxCrossings = maxCrossingsOf(aExchange);
  if (aExchange.returnedAfterDue) {
    // In time to be tried in several rounds before the wait of a new request
    // ends.
    waiter.returned = true;
    waiter.lastChanceFrom = aExchange.arrived + maxNewWaitOf(aExchange) * 3 / 4;
  }
  waiter.latestOnTimeStart =
    aExchange.arrived + aExchange.route->objective / kPrefillDivisor;
  return waiter;
}

/** Chooses the target of the next attempt. Skips the search for a path if it
 * has failed in this round for a request that needs no more memory and may
 * cross as many zones. */
Result<AttemptTarget>
RelayLoop::Impl::chooseQueued(Exchange& aExchange)
{
  if (aExchange.service == nullptr || !aExchange.service->engine) {
    return this->choose(aExchange);
  }
  if (this->now - this->roundStartedAt >= kWaitRetryInterval) {
    this->beginDispatchRound();
  }
  if (const std::optional<Error> beyond = this->checkShare(aExchange)) {
    return this->chooseBeyondShare(aExchange, *beyond);
  }
  const Waiter waiter = this->waiterOf(aExchange);
  if (const auto reason = this->waiting.knownFailure(waiter)) {
    this->shared.metrics.count("path_searches_saved_total");
    return fail(*reason,
                *reason == ErrorKind::NoRoute
                  ? "a layer is held by no live replica"
                  : "no path has memory and a slot for the request");
  }
  if (const std::optional<Error> early = this->checkOrder(aExchange)) {
    return *early;
  }
  Result<AttemptTarget> target = this->choose(aExchange);
  if (!target) {
    // Others may use the replicas that this request avoids.
    if (aExchange.avoid.empty()) {
      this->waiting.onNoPath(waiter, target.error().kind);
    }
    return target;
  }
  return this->admitByPace(aExchange, std::move(target.value()));
}

/** Starts a round: forgets which searches have failed, since memory may have
 * become free. */
void
RelayLoop::Impl::beginDispatchRound()
{
  this->waiting.beginRound();
  this->paceState.gate.beginRound();
  this->roundStartedAt = this->now;
}

/** Tries to dispatch the requests that wait for memory. */
void
RelayLoop::Impl::dispatchWaiting()
{
  this->beginDispatchRound();
  for (const std::uint64_t id : this->waiting.order(this->now)) {
    const auto found = this->exchanges.find(id);
    if (found != this->exchanges.end()) {
      this->dispatch(*found->second);
    }
  }
  this->refuseOverLimit();
  if (!this->waiting.empty()) {
    this->timers.arm(kWaitQueueTimerKey, this->now + kWaitRetryInterval);
  }
}

/** Returns whether a request without a path may wait for one a little longer.
 * Starts its wait if needed. */
bool
RelayLoop::Impl::mayKeepWaiting(Exchange& aExchange, ErrorKind aReason)
{
  // A started stream waits whatever the reason, since its caller has a part of
  // it, and so does a request whose attempt goes on. Other requests wait only
  // for memory, which other answers will free; a caller that has returned also
  // waits for layers that are being loaded.
  const bool started = aExchange.answering || aExchange.connection != 0;
  const bool returned = aExchange.returnedAfterDue.has_value();
  const bool mayBecomeFree =
    aReason == ErrorKind::Overloaded && (returned || !aExchange.paceRefused);
  const bool mayCome =
    mayBecomeFree || (returned && aReason == ErrorKind::NoRoute);
  if (!started && !mayCome) {
    return false;
  }
  if (!aExchange.waitingSince) {
    aExchange.waitingSince = this->now;
  }
  return this->now - *aExchange.waitingSince < longestWaitOf(aExchange);
}

} // namespace poplartrack
