// Replicas that limit how many requests a second they take.

#include <charconv>
#include <cmath>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

std::optional<double>
decimalIn(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  const bool whole = error == std::errc{} && stop == end;
  if (!whole || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::int64_t
milliOf(double aPerSecond)
{
  constexpr double kMilli = 1'000;
  return static_cast<std::int64_t>(aPerSecond * kMilli);
}

/** Takes over whether the replica's answer names a limit. Errors and refusals
 * may come without it while it holds. */
void
RelayLoop::Impl::noteLimit(Exchange& aExchange, const MessageHead& aHead)
{
  constexpr int kOk = 200;
  constexpr int kMultiple = 300;
  const bool success = aHead.status >= kOk && aHead.status < kMultiple;
  const auto field = aHead.headers.find(this->names.rateLimit);
  if (field) {
    aExchange.reportedLimit = decimalIn(*field);
    this->shared.metrics.count(aExchange.reportedLimit
                                 ? "answers_with_limit_total"
                                 : "answers_with_unreadable_limit_total");
  }
  const Replica* replica = this->replicaOf(aExchange.replica);
  const bool tells = field ? aExchange.reportedLimit.has_value() : success;
  if (replica == nullptr || !tells ||
      !this->replicaLimits.onAnswer(
        replica->id, replica->zone, aExchange.reportedLimit, this->now)) {
    return;
  }
  LogLine line{ LogPart::Replicas,
                aExchange.reportedLimit ? "limits" : "limits_no_more" };
  line.with("replica", replica->id);
  if (aExchange.reportedLimit) {
    line.with("limit_milli", milliOf(*aExchange.reportedLimit));
  }
  this->shared.log.write(line);
  this->broadcastStatus(true);
}

/** Whether a request may go to a replica, as far as it limits them. */
bool
RelayLoop::Impl::takesRequests(const std::string& aReplica)
{
  return this->replicaLimits.open(aReplica, this->now);
}

/** Deals the limits out to the relays that are heard. */
void
RelayLoop::Impl::shareLimits()
{
  std::vector<RateLimitSharer> heard;
  heard.reserve(this->knownPeers.size());
  for (const auto& [address, peer] : this->knownPeers) {
    heard.push_back(RateLimitSharer{ address, peer.zone });
  }
  this->replicaLimits.setOthers(std::move(heard),
                                this->shared.peers.read()->size() + 1);
  this->replicaLimits.expire(this->now);
  this->shared.metrics.set(
    "replicas_limited",
    static_cast<std::int64_t>(this->replicaLimits.limitedCount()));
}

void
RelayLoop::Impl::addLimits(PeerStatus& aStatus) const
{
  constexpr double kNone = -1;
  for (const RateLimitReport& report : this->replicaLimits.own(this->now)) {
    aStatus.limits.push_back(LimitRow{
      report.replica, report.perSecond.value_or(kNone), report.age.count() });
  }
}

void
RelayLoop::Impl::onPeerLimits(const PeerStatus& aStatus)
{
  for (const LimitRow& row : aStatus.limits) {
    const Replica* replica = this->replicaOf(row.replica);
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
