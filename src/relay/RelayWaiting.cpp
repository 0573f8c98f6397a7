// Requests that wait for replica memory, or for another path.

#include <algorithm>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Maximum wait of a started stream for another path after its replica was
 * lost. Callers give up a stream without events after 2 s. */
constexpr Duration kMaxResumeWait = std::chrono::milliseconds{ 1'500 };

/** Maximum wait of a request for a path with enough memory; twice the latency
 * objective if that is shorter. Callers give up a stream without an event after
 * four objectives, and the prefill is still to come. Rejecting callers sooner
 * does not help: they retry only once, the retry comes too late, and it is
 * rejected again. */
constexpr Duration kMaxQueueWait = std::chrono::milliseconds{ 1'200 };

} // namespace

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
  waiter.started = aExchange.answering;
  waiter.urgency = urgencyOf(aExchange);
  waiter.tokens = aExchange.need.prompt + aExchange.need.answer;
  waiter.latestOnTimeStart =
    aExchange.arrived + aExchange.route->objective / kPrefillDivisor;
  return waiter;
}

/** Chooses the target of the next attempt. Skips the search for a path if it
 * has failed in this round for a request that needs no more memory. */
Result<AttemptTarget>
RelayLoop::Impl::chooseQueued(Exchange& aExchange)
{
  if (aExchange.service == nullptr || !aExchange.service->engine) {
    return this->choose(aExchange);
  }
  if (this->now - this->roundStartedAt >= kWaitRetryInterval) {
    this->beginDispatchRound();
  }
  const Waiter waiter = this->waiterOf(aExchange);
  if (!this->waiting.mayFindPath(waiter)) {
    this->shared.metrics.count("path_searches_saved_total");
    return fail(ErrorKind::Overloaded,
                "no path has memory and a slot for the request");
  }
  Result<AttemptTarget> target = this->choose(aExchange);
  if (!target) {
    this->waiting.onNoPath(waiter);
  }
  return target;
}

/** Starts a round: forgets which searches have failed, since memory may have
 * become free. */
void
RelayLoop::Impl::beginDispatchRound()
{
  this->waiting.beginRound();
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
  // it. Other requests wait only for memory, which other answers will free.
  const bool started = aExchange.answering;
  if (!started && aReason != ErrorKind::Overloaded) {
    return false;
  }
  if (!aExchange.waitingSince) {
    aExchange.waitingSince = this->now;
  }
  const Duration maxWait =
    started ? kMaxResumeWait
            : std::min(kMaxQueueWait, aExchange.route->objective * 2);
  return this->now - *aExchange.waitingSince < maxWait;
}

} // namespace poplartrack
