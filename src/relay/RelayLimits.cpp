// Rate limits that replicas state in their answers, and how relays share them.

#include "RelayLoopImpl.h"
#include "poplartrack/base/Milli.h"

namespace poplartrack {

std::int64_t
toMilliRate(double aPerSecond)
{
  return static_cast<std::int64_t>(aPerSecond * kMilli);
}

/** Records the rate limit that an answer of the replica states, or that there
 * is none. An answer without a limit ends one only if it is a current success,
 * since errors and rejections may lack the field while the limit holds. */
void
RelayLoop::Impl::recordRateLimit(const std::string& aReplica,
                                 const ReplicaSignals& aSignals,
                                 bool aIsCurrentSuccess)
{
  const std::optional<double> limit = aSignals.rateLimit;
  if (limit) {
    this->shared.metrics.count("answers_with_limit_total");
  } else if (aSignals.hasUnreadableLimit) {
    this->shared.metrics.count("answers_with_unreadable_limit_total");
  }
  const Replica* replica = this->replicaById(aReplica);
  const bool isConclusive =
    limit || (aIsCurrentSuccess && !aSignals.hasUnreadableLimit);
  if (replica == nullptr || !isConclusive ||
      !this->replicaLimits.onAnswer(
        replica->id, replica->zone, limit, this->now)) {
    return;
  }
  LogLine line{ LogPart::Replicas, limit ? "limits" : "limits_no_more" };
  line.with("replica", replica->id);
  if (limit) {
    line.with("limit_milli", toMilliRate(*limit));
  }
  this->shared.log.write(line);
  this->announceChange();
}

/** Returns whether this relay's share of the replica's rate limit permits a
 * request now. */
bool
RelayLoop::Impl::takesRequests(const std::string& aReplica)
{
  return this->replicaLimits.maySend(aReplica, this->now);
}

/** Updates the relays that share the limits: all known peers. */
void
RelayLoop::Impl::updateLimitShares()
{
  std::vector<RateLimitSharer> sharers;
  sharers.reserve(this->knownPeers.size());
  for (const auto& [address, peer] : this->knownPeers) {
    sharers.push_back(RateLimitSharer{ address, peer.zone });
  }
  this->replicaLimits.setOthers(std::move(sharers),
                                this->shared.peers.read()->size() + 1);
  this->replicaLimits.expire(this->now);
  this->shared.metrics.set(
    "replicas_limited",
    static_cast<std::int64_t>(this->replicaLimits.limitedCount()));
}

/** Adds the rate limits that this relay has seen to a status message. */
void
RelayLoop::Impl::addLimits(PeerStatus& aStatus) const
{
  constexpr double kNoLimit = -1;
  for (const RateLimitReport& report : this->replicaLimits.own(this->now)) {
    aStatus.limits.push_back(LimitRow{ report.replica,
                                       report.perSecond.value_or(kNoLimit),
                                       report.age.count() });
  }
}

/** Takes over the rate limits in another relay's status message. */
void
RelayLoop::Impl::onPeerLimits(const PeerStatus& aStatus)
{
  for (const LimitRow& row : aStatus.limits) {
    const Replica* replica = this->replicaById(row.replica);
    if (replica != nullptr) {
      this->replicaLimits.onPeer(
        RateLimitReport{ row.replica,
                         row.perSecond < 0 ? std::optional<double>{}
                                           : std::optional{ row.perSecond },
                         Duration{ row.age } },
        replica->zone,
        this->now);
    }
  }
}

} // namespace poplartrack
