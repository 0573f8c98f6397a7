// Work that stands still: when to ask, and what the answers mean.

#include <algorithm>
#include <set>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Progress that is this many times overdue is looked into. Passes of other
 * requests' prompts stretch a step two- or threefold. */
constexpr int kOverdue = 3;

/** ... but not before this. A question costs a probe, 1 in 1,400,000 of what
 * a day is worth; a stream that moves again within 200 to 250 ms of its last
 * event is still on time. */
constexpr Duration kLeastPatience = std::chrono::milliseconds{ 100 };
constexpr Duration kMostPatience = std::chrono::milliseconds{ 900 };

/** A stream through a replica that is known to be lost is moved once it is
 * this much behind; others told of the loss before this relay noticed. */
constexpr int kOverdueThroughLost = 2;
constexpr Duration kLeastThroughLost = std::chrono::milliseconds{ 60 };

/** ... and when there was nowhere to move it, again after this. */
constexpr Duration kMoveAgain = std::chrono::milliseconds{ 150 };

/** A replica is asked no more often than this: one answer serves all requests
 * that wait for it. Its report is 200 ms old, so the first one may not show yet
 * what the next one does. */
constexpr Duration kAskPause = std::chrono::milliseconds{ 90 };

/** ... and the others of a late path no more often than this: a slow replica
 * stays so for seconds, and each question is a priced call. */
constexpr Duration kAskAllPause = std::chrono::milliseconds{ 1'000 };

/** A replica this many times slower than declared is asked again until it is
 * not. */
constexpr double kSlow = 1.2;

} // namespace

/** How long the present attempt may stand still before its replica is asked. */
Duration
RelayLoop::Impl::stallTimeoutOf(const Exchange& aExchange) const
{
  const bool begun = aExchange.streaming && aExchange.events > 0;
  const Duration expected = begun ? aExchange.path.perToken * kTokensPerEvent
                                  : aExchange.path.firstToken +
                                      aExchange.path.perToken * kTokensPerEvent;
  if (this->throughLost(aExchange)) {
    return aExchange.overdue ? kMoveAgain
                             : std::clamp(expected * kOverdueThroughLost,
                                          kLeastThroughLost,
                                          kMostPatience);
  }
  if (aExchange.overdue) {
    return kAskPause;
  }
  return std::clamp(expected * kOverdue, kLeastPatience, kMostPatience);
}

/** Whether the path leads through a replica that is certainly lost. */
bool
RelayLoop::Impl::throughLost(const Exchange& aExchange) const
{
  const auto lost = this->shared.lost.read();
  const auto& parts = aExchange.path.parts;
  return !lost->empty() &&
         std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
           const auto found = lost->find(aPart.replica);
           return found != lost->end() && found->second &&
                  this->slowdownOf(aPart.replica) < kDegradedSlowdown;
         });
}

/** Streams through a replica that is newly known to be lost are looked at as
 * soon as they are late. Those that still move are left alone: the loss may be
 * one between that replica and others. */
void
RelayLoop::Impl::hurryThrough(const std::string& aReplica)
{
  for (const std::uint64_t id : this->requestsThrough(aReplica)) {
    this->armExchange(*this->exchanges.at(id));
  }
}

/** Nothing has come for too long: the stream is moved when the cause is known,
 * else it is asked for. */
void
RelayLoop::Impl::onOverdue(Exchange& aExchange)
{
  const std::uint64_t id = aExchange.id;
  aExchange.overdue = true;
  aExchange.overdueHandledAt = this->now;
  if (this->throughLost(aExchange)) {
    this->repair(aExchange, false);
  } else {
    this->ask(aExchange.path.parts.front(), kAskPause);
  }
  const auto still = this->exchanges.find(id);
  if (still != this->exchanges.end() && still->second->connection != 0) {
    this->armExchange(*still->second);
  }
}

/** Asks a replica how it does, unless it was asked lately. */
void
RelayLoop::Impl::ask(const PathPart& aPart, Duration aPause)
{
  const auto asked = this->reportRequestedAt.find(aPart.replica);
  if (asked != this->reportRequestedAt.end() &&
      this->now - asked->second < aPause) {
    return;
  }
  this->reportRequestedAt[aPart.replica] = this->now;
  this->shared.metrics.count("replica_questions_total");
  this->calls.ask(
    aPart.address,
    [this, replica = aPart.replica](const ReplicaReport& aReport) {
      this->post(
        [this, replica, aReport] { this->onReport(replica, aReport); });
    });
}

/** Streams that begin at this replica are late and nothing has stalled: one of
 * their other replicas may be slow, which only it can tell. */
void
RelayLoop::Impl::askRestOfPaths(const std::string& aFirst)
{
  for (const auto& [id, exchange] : this->exchanges) {
    const auto& parts = exchange->path.parts;
    if (!exchange->overdue || parts.empty() ||
        parts.front().replica != aFirst) {
      continue;
    }
    for (const PathPart& part : parts) {
      this->ask(part, kAskAllPause);
    }
    return;
  }
}

/** Those that were slow are asked again, to notice when they are not. */
void
RelayLoop::Impl::askSlowOnes()
{
  for (const Replica& replica : this->view->replicas) {
    if (this->health.slowdown(replica.id) > kSlow) {
      this->ask(PathPart{ replica.id, replica.address, {} }, kAskAllPause);
    }
  }
}

void
RelayLoop::Impl::onReport(const std::string& aReplica,
                          const ReplicaReport& aReport)
{
  if (!aReport.reached && this->movesAt(aReplica)) {
    // Too busy to answer in time, but its streams move: taking it for dead
    // used up the attempts of all of them.
    this->health.onPace(aReplica, kDegradedSlowdown);
    return;
  }
  if (!aReport.reached) {
    this->health.onPace(aReplica, 1);
    this->health.onFailure(aReplica, ReplicaFailure::Unreachable, this->now);
    this->onFaultyReplica(aReplica);
    return;
  }
  const Replica* listed = this->replicaOf(aReplica);
  if (listed != nullptr && listed->startedAtMs != 0 &&
      aReport.startedAtMs != 0 && listed->startedAtMs != aReport.startedAtMs) {
    // It has started again, and the list does not tell yet.
    this->endIncarnation(aReplica);
    return;
  }
  // What runs there goes on, slower: moving hundreds of streams at once would
  // take the pipes between zones for longer than the slow part costs them.
  this->health.onPace(aReplica, aReport.pace);
  if (aReport.stalled.empty()) {
    this->askRestOfPaths(aReplica);
    return;
  }
  std::set<std::string> blockedOn;
  for (const StalledWork& work : aReport.stalled) {
    if (const Replica* replica = this->replicaAt(work.blockedOn)) {
      blockedOn.insert(replica->id);
    }
  }
  for (const std::string& replica : blockedOn) {
    this->health.onFailure(replica, ReplicaFailure::Stalled, this->now);
    this->onFaultyReplica(replica);
  }
}

/** Whether a stream that begins at this replica has moved since it was asked.
 */
bool
RelayLoop::Impl::movesAt(const std::string& aReplica) const
{
  const auto asked = this->reportRequestedAt.find(aReplica);
  return asked != this->reportRequestedAt.end() &&
         std::any_of(this->exchanges.begin(),
                     this->exchanges.end(),
                     [&](const auto& aEntry) {
                       const Exchange& exchange = *aEntry.second;
                       return exchange.replica == aReplica &&
                              exchange.connection != 0 && exchange.events > 0 &&
                              exchange.lastProgress > asked->second;
                     });
}

} // namespace poplartrack
