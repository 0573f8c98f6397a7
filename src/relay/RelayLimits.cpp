// Rate limits that replicas state in their answers, and how relays share them.

#include <charconv>
#include <cmath>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Parses a non-negative finite decimal number; nullopt if the text is not one.
 */
std::optional<double>
parseDecimal(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  const bool valid = error == std::errc{} && stop == end;
  if (!valid || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::int64_t
toMilliRate(double aPerSecond)
{
  constexpr double kMilli = 1'000;
  return static_cast<std::int64_t>(aPerSecond * kMilli);
}

/** Records the rate limit that the replica's answer states, or that there is
 * none. An answer without the header ends a limit only if it is a success,
 * since errors and refusals may lack the header while the limit holds. */
void
RelayLoop::Impl::recordRateLimit(Exchange& aExchange, const MessageHead& aHead)
{
  constexpr int kOk = 200;
  constexpr int kMultipleChoices = 300;
  const bool success = aHead.status >= kOk && aHead.status < kMultipleChoices;
  const auto field = aHead.headers.find(this->names.rateLimit);
  if (field) {
    aExchange.reportedLimit = parseDecimal(*field);
    this->shared.metrics.count(aExchange.reportedLimit
                                 ? "answers_with_limit_total"
                                 : "answers_with_unreadable_limit_total");
  }
  const Replica* replica = this->replicaById(aExchange.replica);
  const bool isConclusive =
    field ? aExchange.reportedLimit.has_value() : success;
  if (replica == nullptr || !isConclusive ||
      !this->replicaLimits.onAnswer(
        replica->id, replica->zone, aExchange.reportedLimit, this->now)) {
    return;
  }
  LogLine line{ LogPart::Replicas,
                aExchange.reportedLimit ? "limits" : "limits_no_more" };
  line.with("replica", replica->id);
  if (aExchange.reportedLimit) {
    line.with("limit_milli", toMilliRate(*aExchange.reportedLimit));
  }
  this->shared.log.write(line);
  this->broadcastStatus(true);
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
