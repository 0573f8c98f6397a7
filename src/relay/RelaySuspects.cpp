// Replicas that count as lost: whether they are alive after all, and whether a
// request waits for them.

#include <algorithm>
#include <utility>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Longest silence of a sound replica, from when it is noticed. */
constexpr Duration kLongestSilence = std::chrono::milliseconds{ 1'500 };

/** Minimum time between two queries to a replica that counts as lost. */
constexpr Duration kMinRecheckInterval = std::chrono::milliseconds{ 100 };

} // namespace

/** Asks the replicas that this relay takes for lost whether they are alive, in
 * turn with the other relays of its zone. */
void
RelayLoop::Impl::recheckSuspects()
{
  for (const std::string& replica : this->health.deadReplicas(this->now)) {
    const std::optional<LossMark> mark =
      this->health.markOf(replica, this->now);
    if (mark &&
        this->lossProbeState.rechecks.isDue(
          replica, mark->since, this->recheckTurn(replica), this->now)) {
      this->recheck(replica);
    }
  }
}

/** Returns the place of this relay among those of its zone that take the
 * replica for lost. */
RecheckTurn
RelayLoop::Impl::recheckTurn(const std::string& aReplica) const
{
  RecheckTurn turn;
  const std::string self = toText(this->localPeers);
  for (const std::string& relay : this->reports.lostFor(aReplica)) {
    const Result<Address> address = addressFromText(relay);
    const auto peer =
      address ? this->knownPeers.find(address.value()) : this->knownPeers.end();
    if (peer != this->knownPeers.end() &&
        peer->second.zone == this->settings.zone) {
      ++turn.relays;
      turn.rank += relay < self ? 1 : 0;
    }
  }
  return turn;
}

/** Asks a replica that this relay takes for lost whether it is alive. */
void
RelayLoop::Impl::recheck(const std::string& aReplica)
{
  const Replica* listed = this->replicaById(aReplica);
  if (listed == nullptr || this->drainState.restarted.contains(aReplica)) {
    return;
  }
  const PathPart part{ listed->id, listed->address, {} };
  if (this->requestReport(part, kMinRecheckInterval)) {
    this->lossProbeState.rechecked.insert(aReplica);
    this->shared.metrics.count("loss_rechecks_total");
  }
}

/** Handles replicas that another relay no longer takes for lost: those that
 * this relay cannot reach are asked at once. */
void
RelayLoop::Impl::onLossesWithdrawn(const std::set<std::string>& aReplicas)
{
  for (const std::string& replica : aReplicas) {
    if (this->health.dead(replica, this->now) &&
        this->lossProbeState.rechecks.isDueOnWithdrawal(replica, this->now)) {
      this->recheck(replica);
    }
  }
}

/** Handles a replica that was asked because it counts as lost, and has given no
 * report. Its requests have been dealt with when it was named. An answer that
 * is no report shows that a replica of a plain service is alive; at the address
 * of a model's replica, another service may have sent it. */
void
RelayLoop::Impl::onMissingRecheck(const std::string& aReplica,
                                  const ReplicaReport& aReport,
                                  TimePoint aAskedAt)
{
  if (aReport.exited) {
    this->health.onFailure(aReplica, ReplicaFailure::Exited, this->now);
  } else if (aReport.replied && !this->runsModel(aReplica)) {
    this->onAlive(aReplica, aAskedAt);
  } else if (!aReport.replied && !this->ownLink.isSlow(this->now)) {
    this->health.onStillSilent(aReplica, this->now);
  }
}

/** Returns whether the replica is one of a model's service. */
bool
RelayLoop::Impl::runsModel(const std::string& aReplica) const
{
  const Replica* listed = this->replicaById(aReplica);
  const auto config = this->shared.config.read();
  if (listed == nullptr || config == nullptr) {
    return false;
  }
  const auto service = config->services.find(listed->service);
  return service != config->services.end() &&
         service->second.engine.has_value();
}

/** Handles a replica's answer to a status query that was sent at aAskedAt. */
void
RelayLoop::Impl::onAlive(const std::string& aReplica, TimePoint aAskedAt)
{
  if (this->health.onStatusAnswer(aReplica, aAskedAt)) {
    this->publishLostReplicas();
  }
}

/** Updates since when the replicas count as lost, and logs which of them no
 * longer do. aLost: those that count as lost now. */
void
RelayLoop::Impl::recordLosses(const std::set<std::string>& aLost)
{
  auto& losses = this->lossProbeState.losses;
  for (const std::string& replica : aLost) {
    LossRecord& record =
      losses.try_emplace(replica, LossRecord{ this->now, false }).first->second;
    record.own = record.own || this->health.dead(replica, this->now);
  }
  std::erase_if(losses, [&](const auto& aEntry) {
    if (aLost.contains(aEntry.first)) {
      return false;
    }
    this->logReturn(aEntry.first, aEntry.second);
    return true;
  });
}

/** Logs that a replica no longer counts as lost, and why. */
void
RelayLoop::Impl::logReturn(const std::string& aReplica,
                           const LossRecord& aRecord)
{
  constexpr std::int64_t kMicrosPerMs = 1000;
  const LifeSign sign = this->health.lastSign(aReplica);
  std::string_view by = "expiry";
  if (this->replicaById(aReplica) == nullptr) {
    by = "left";
  } else if (!aRecord.own) {
    by = "peers";
  } else if (sign != LifeSign::None) {
    by = nameOf(sign);
  }
  this->shared.log.write(
    LogLine{ LogPart::Replicas, "not_lost" }
      .with("replica", aReplica)
      .with("by", by)
      .with("out_ms", (this->now - aRecord.since).count() / kMicrosPerMs));
}

/** Returns what shows that a replica is lost; nothing if it does not count as
 * lost. */
std::optional<LossEvidence>
RelayLoop::Impl::lossEvidenceOf(const std::string& aReplica) const
{
  if (this->drainState.restarted.contains(aReplica)) {
    return LossEvidence::Restart;
  }
  if (this->crashState.exited.contains(aReplica)) {
    return LossEvidence::Exit;
  }
  if (const auto mark = this->health.markOf(aReplica, this->now)) {
    return mark->evidence;
  }
  return this->isLost(aReplica) ? std::optional{ LossEvidence::Silence }
                                : std::nullopt;
}

/** Returns whether a replica that is out of use may be back in a moment: it has
 * only refused, or it is silent and a sound one may be silent for as long. */
bool
RelayLoop::Impl::mayReturnSoon(const std::string& aReplica) const
{
  const std::optional<LossEvidence> evidence = this->lossEvidenceOf(aReplica);
  if (!evidence) {
    return true;
  }
  const auto loss = this->lossProbeState.losses.find(aReplica);
  return *evidence == LossEvidence::Silence &&
         loss != this->lossProbeState.losses.end() &&
         this->now - loss->second.since < kLongestSilence;
}

} // namespace poplartrack
