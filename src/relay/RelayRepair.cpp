// Work that stands still: finding the part of a path that was lost, and
// moving what depends on it.

#include <algorithm>
#include <vector>

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

/** A replica is asked no more often than this: one answer serves all requests
 * that wait for it. Its report is 200 ms old, so the first one may not show yet
 * what the next one does. */
constexpr Duration kAskPause = std::chrono::milliseconds{ 90 };

/** A stream through a replica that is known to be lost is moved once it is
 * this much behind; others told of the loss before this relay noticed. */
constexpr int kOverdueThroughLost = 2;
constexpr Duration kLeastThroughLost = std::chrono::milliseconds{ 60 };

/** ... and when there was nowhere to move it, again after this. */
constexpr Duration kMoveAgain = std::chrono::milliseconds{ 150 };

/** ... and the others of a late path no more often than this: a slow replica
 * stays so for seconds, and each question is a priced call. */
constexpr Duration kAskAllPause = std::chrono::milliseconds{ 1'000 };

/** A replica this many times slower than declared is asked again until it is
 * not. */
constexpr double kSlow = 1.2;

/** A leaving replica takes no new work and serves on for the drain time at
 * least. What it runs is moved after this part of it, when its neighbours have
 * had the time to take its layers over. */
constexpr int kLeavingNoticePart = 2;

/** By then it is gone, and with it all that it ran. */
constexpr Duration kLeavingForgotten = std::chrono::seconds{ 20 };

/** A stream that ends in this time is left where it is. */
constexpr Duration kNearlyDone = std::chrono::milliseconds{ 1'000 };

/** Streams that are moved in one round of regular work: at five rounds a second
 * the thirty that a relay has at one replica are moved in a second or so. */
constexpr std::size_t kMovesAtOnce = 5;

/** Tokens of one event, when the engine writes several at once. */
constexpr int kTokensPerEvent = 2;

} // namespace

/** How long the present attempt may stand still before its replica is asked. */
Duration
RelayLoop::Impl::patienceOf(const Exchange& aExchange) const
{
  const bool begun = aExchange.streaming && aExchange.events > 0;
  const Duration expected = begun ? aExchange.path.perToken * kTokensPerEvent
                                  : aExchange.path.firstToken +
                                      aExchange.path.perToken * kTokensPerEvent;
  if (this->throughLost(aExchange)) {
    return aExchange.asking ? kMoveAgain
                            : std::clamp(expected * kOverdueThroughLost,
                                         kLeastThroughLost,
                                         kMostPatience);
  }
  if (aExchange.asking) {
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
                  this->slowdownOf(aPart.replica) < kCrippled;
         });
}

/** Streams through a replica that is newly known to be lost are looked at as
 * soon as they are late. Those that still move are left alone: the loss may be
 * one between that replica and others. */
void
RelayLoop::Impl::hurryThrough(const std::string& aReplica)
{
  for (const auto& [id, exchange] : this->exchanges) {
    const auto& parts = exchange->path.parts;
    const bool through =
      exchange->connection != 0 &&
      std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
        return aPart.replica == aReplica;
      });
    if (through) {
      this->armExchange(*exchange);
    }
  }
}

/** Nothing has come for too long: the stream is moved when the cause is known,
 * else it is asked for. */
void
RelayLoop::Impl::onOverdue(Exchange& aExchange)
{
  const std::uint64_t id = aExchange.id;
  aExchange.asking = true;
  aExchange.askedAt = this->now;
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
  const auto asked = this->askedAt.find(aPart.replica);
  if (asked != this->askedAt.end() && this->now - asked->second < aPause) {
    return;
  }
  this->askedAt[aPart.replica] = this->now;
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
    if (!exchange->asking || parts.empty() || parts.front().replica != aFirst) {
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
    this->health.onPace(aReplica, kCrippled);
    return;
  }
  if (!aReport.reached) {
    this->health.onPace(aReplica, 1);
    this->health.onFailure(aReplica, ReplicaFailure::Unreachable, this->now);
    this->onCulprit(aReplica);
    return;
  }
  // What runs there goes on, slower: moving hundreds of streams at once would
  // take the pipes between zones for longer than the slow part costs them.
  this->health.onPace(aReplica, aReport.pace);
  if (aReport.stalled.empty()) {
    this->askRestOfPaths(aReplica);
    return;
  }
  std::set<std::string> culprits;
  for (const StalledWork& work : aReport.stalled) {
    if (const Replica* replica = this->replicaAt(work.culprit)) {
      culprits.insert(replica->id);
    }
  }
  for (const std::string& culprit : culprits) {
    this->health.onFailure(culprit, ReplicaFailure::Stalled, this->now);
    this->onCulprit(culprit);
  }
}

/** Whether a stream that begins at this replica has moved since it was asked.
 */
bool
RelayLoop::Impl::movesAt(const std::string& aReplica) const
{
  const auto asked = this->askedAt.find(aReplica);
  return asked != this->askedAt.end() &&
         std::any_of(this->exchanges.begin(),
                     this->exchanges.end(),
                     [&](const auto& aEntry) {
                       const Exchange& exchange = *aEntry.second;
                       return exchange.replica == aReplica &&
                              exchange.connection != 0 && exchange.events > 0 &&
                              exchange.lastProgress > asked->second;
                     });
}

/** A replica is lost: all work that passes through it is moved. */
void
RelayLoop::Impl::onCulprit(const std::string& aReplica)
{
  this->publishLost();
  std::vector<std::uint64_t> affected;
  for (const auto& [id, exchange] : this->exchanges) {
    const auto& parts = exchange->path.parts;
    const bool through =
      exchange->connection != 0 &&
      std::any_of(parts.begin(), parts.end(), [&](const PathPart& aPart) {
        return aPart.replica == aReplica;
      });
    if (through) {
      affected.push_back(id);
    }
  }
  for (const std::uint64_t id : affected) {
    const auto found = this->exchanges.find(id);
    if (found != this->exchanges.end()) {
      this->repair(*found->second, false);
    }
  }
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
  const PathPart first = aExchange.path.parts.front();
  // One that refused a request, as full, lives and runs what it has.
  const bool firstLives = !this->health.dead(first.replica, this->now) &&
                          !this->isLost(first.replica);
  if (this->leavingSince.contains(first.replica)) {
    const bool mayMove = aExchange.route->resumable &&
                         aExchange.runs + 1 < aExchange.route->attempts &&
                         this->choosePath(aExchange, {}).ok();
    if (mayMove) {
      this->onBroken(aExchange, ReplicaFailure::Refused, "replica leaves");
    }
    return;
  }
  if (!firstLives) {
    this->onBroken(
      aExchange, ReplicaFailure::Unreachable, "first replica lost");
    return;
  }
  // Its own memory on the old path is not in the way of the new one.
  this->unbook(aExchange);
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
  if (crosses && mayResume && resumes && this->budget.open(this->now) &&
      this->choosePath(aExchange, {}).ok()) {
    this->onBroken(aExchange, ReplicaFailure::Refused, "part lost");
    return;
  }
  if (!target) {
    this->book(aExchange);
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
  this->book(aExchange);
  this->payCrossings(aExchange, order.after);
  this->calls.repath(
    first.address,
    aExchange.requestId,
    order.after,
    [this, order](RepathOutcome aOutcome) {
      this->post([this, order, aOutcome] { this->onRepath(order, aOutcome); });
    });
}

/** Notes which replicas have begun to leave, or were taken off the list. */
void
RelayLoop::Impl::noteLeaving(const ReplicaView& aLatest)
{
  std::map<std::string, bool> drains;
  for (const Replica& replica : aLatest.replicas) {
    drains.emplace(replica.id, replica.draining);
  }
  for (const Replica& replica : this->view->replicas) {
    const auto found = drains.find(replica.id);
    if (found == drains.end() || found->second) {
      this->leavingSince.try_emplace(replica.id, this->now);
    }
  }
  std::erase_if(this->leavingSince, [this](const auto& aEntry) {
    return this->now - aEntry.second > kLeavingForgotten;
  });
}

/** Whether the request runs through a replica that will be gone before it has
 * ended, as far as can be told, and may be moved. */
bool
RelayLoop::Impl::leavesSoon(const Exchange& aExchange) const
{
  if (!aExchange.streaming || aExchange.connection == 0) {
    return false;
  }
  const auto& parts = aExchange.path.parts;
  const bool leaves =
    std::any_of(parts.begin(), parts.end(), [this](const PathPart& aPart) {
      const auto found = this->leavingSince.find(aPart.replica);
      return found != this->leavingSince.end() &&
             this->now - found->second >=
               this->settings.drain / kLeavingNoticePart;
    });
  const double left =
    aExchange.need.answer - static_cast<double>(aExchange.events) *
                              static_cast<double>(kTokensPerEvent);
  const auto rest = Duration{ static_cast<std::int64_t>(
    std::max(left, 0.0) *
    static_cast<double>(aExchange.path.perToken.count())) };
  return leaves && rest > kNearlyDone;
}

/**
 * Moves streams off replicas that leave. A leaving replica serves on for some
 * seconds and then ends, in the middle of streams that last longer: their
 * callers saw the answer break off although all of it was planned. A few are
 * moved at a time, since each is read again elsewhere.
 */
void
RelayLoop::Impl::moveOffLeaving()
{
  if (this->leavingSince.empty()) {
    return;
  }
  std::vector<std::uint64_t> moving;
  for (const auto& [id, exchange] : this->exchanges) {
    if (moving.size() < kMovesAtOnce && this->leavesSoon(*exchange)) {
      moving.push_back(id);
    }
  }
  for (const std::uint64_t id : moving) {
    this->repair(*this->exchanges.at(id), true);
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
    this->unbook(exchange);
    exchange.path = aOrder.before;
    this->book(exchange);
    exchange.repairedAt.reset();
    return;
  }
  // The work stands still until the replica gives it up, after seconds: it goes
  // on after its last event at another first replica now.
  this->onBroken(exchange, ReplicaFailure::Refused, "not moved");
}

} // namespace poplartrack
