// Requests that wait for memory of replicas, or for another path.

#include <algorithm>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** A started stream whose replica was lost waits this long for another path;
 * callers give a silent stream up after two seconds. */
constexpr Duration kResumePatience = std::chrono::milliseconds{ 1'500 };

/** A request for which no path has memory waits this long, or twice its
 * objective, at most: callers leave a stream without an event after four
 * objectives, and its prompt has to be read yet. Refused sooner, callers come
 * back once, late, and are refused again. */
constexpr Duration kQueuePatience = std::chrono::milliseconds{ 1'200 };

} // namespace

Waiter
RelayLoop::Impl::waiterOf(const Exchange& aExchange) const
{
  // Its prompt has to be read yet, which takes about half of the objective
  // where replicas are busy.
  constexpr int kReadingPart = 2;
  Waiter waiter;
  waiter.request = aExchange.id;
  waiter.service = aExchange.service == nullptr ? "" : aExchange.service->name;
  waiter.started = aExchange.answering;
  waiter.urgency = urgencyOf(aExchange);
  waiter.tokens = aExchange.need.prompt + aExchange.need.answer;
  waiter.onTimeUntil =
    aExchange.arrived + aExchange.route->objective / kReadingPart;
  return waiter;
}

/** Chooses where the next attempt goes, unless one that needs no more has just
 * been told that there is nothing. */
Result<AttemptTarget>
RelayLoop::Impl::chooseQueued(Exchange& aExchange)
{
  if (aExchange.service == nullptr || !aExchange.service->engine) {
    return this->choose(aExchange);
  }
  if (this->now - this->roundStartedAt >= kWaitRetryInterval) {
    this->beginRound();
  }
  const Waiter waiter = this->waiterOf(aExchange);
  if (!this->waiting.worthTrying(waiter)) {
    this->shared.metrics.count("path_searches_saved_total");
    return fail(ErrorKind::Overloaded,
                "no path has memory and a slot for the request");
  }
  Result<AttemptTarget> target = this->choose(aExchange);
  if (!target) {
    this->waiting.onRefused(waiter);
  }
  return target;
}

void
RelayLoop::Impl::beginRound()
{
  this->waiting.beginRound();
  this->roundStartedAt = this->now;
}

/** Tries those again that wait for memory. */
void
RelayLoop::Impl::tryWaiting()
{
  this->beginRound();
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

/** Whether a request without a path waits for one, a little longer. */
bool
RelayLoop::Impl::mayWait(Exchange& aExchange, ErrorKind aReason)
{
  // The caller of a started stream has part of it. One that has nothing yet
  // waits for memory that other answers free.
  const bool started = aExchange.answering;
  if (!started && aReason != ErrorKind::Overloaded) {
    return false;
  }
  if (!aExchange.waitingSince) {
    aExchange.waitingSince = this->now;
  }
  const Duration patience =
    started ? kResumePatience
            : std::min(kQueuePatience, aExchange.route->objective * 2);
  return this->now - *aExchange.waitingSince < patience;
}

} // namespace poplartrack
