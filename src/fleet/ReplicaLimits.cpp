#include "poplartrack/fleet/ReplicaLimits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace poplartrack {
namespace {

double
seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Minimum rate of requests to a replica that states a lower limit. Without any
 * requests, no relay would learn that the limit is lifted. */
constexpr double kMinPerSecond = 0.25;

/** Maximum credit of a relay, in seconds of its part of the limit. The credit
 * for one request is always allowed. */
constexpr double kMaxCreditSeconds = 0.25;

/** Without an answer, the turn passes to the next relays after kMinTurnSeconds,
 * or after the time in which a relay earns credit for kRequestsPerTurn requests
 * if that is longer. */
constexpr double kMinTurnSeconds = 1.0;
constexpr double kRequestsPerTurn = 1.5;

/** How long a lifted limit is reported to the other relays. */
constexpr Duration kLiftedLimitReportTime = std::chrono::seconds{ 5 };

/** Returns a relay's rank in the order of turns at a replica: relays of the
 * replica's zone first, then by a hash. */
std::pair<bool, std::uint64_t>
rankOf(const RateLimitSharer& aRelay,
       const std::string& aReplica,
       const std::string& aZone)
{
  const std::string text = aReplica + "/" + toText(aRelay.address);
  return { aRelay.zone != aZone, XXH3_64bits(text.data(), text.size()) };
}

} // namespace

void
ReplicaLimits::setOthers(std::vector<RateLimitSharer> aPeers,
                         std::size_t aRelayCount)
{
  this->relayCount = std::max(aRelayCount, aPeers.size() + 1);
  if (this->peers == aPeers) {
    return;
  }
  this->peers = std::move(aPeers);
  for (auto& [replica, limit] : this->limits) {
    this->updatePosition(replica, limit);
  }
}

void
ReplicaLimits::updatePosition(const std::string& aReplica, Limit& aLimit) const
{
  const auto own = rankOf(this->self, aReplica, aLimit.zone);
  aLimit.position = static_cast<std::size_t>(std::count_if(
    this->peers.begin(), this->peers.end(), [&](const RateLimitSharer& aPeer) {
      return rankOf(aPeer, aReplica, aLimit.zone) < own;
    }));
}

/** Returns how many relays have their turn at the same time. */
std::size_t
ReplicaLimits::relaysInTurn(double aPerSecond) const
{
  const double max = static_cast<double>(this->sharerCount());
  return static_cast<std::size_t>(std::clamp(std::floor(aPerSecond), 1.0, max));
}

bool
ReplicaLimits::hasTurn(const Limit& aLimit, TimePoint aNow) const
{
  const std::size_t count = this->sharerCount();
  const std::size_t inTurn = this->relaysInTurn(*aLimit.perSecond);
  const double turn = std::max(kMinTurnSeconds,
                               kRequestsPerTurn * static_cast<double>(inTurn) /
                                 *aLimit.perSecond);
  const double passed = std::max(0.0, seconds(aNow - aLimit.reportedAt)) / turn;
  const std::size_t begin = static_cast<std::size_t>(passed) * inTurn % count;
  return (aLimit.position + count - begin) % count < inTurn;
}

/** Adds the credit that this relay has earned since the last refill. */
void
ReplicaLimits::refill(Limit& aLimit, TimePoint aNow) const
{
  const double passed = std::max(0.0, seconds(aNow - aLimit.refilledAt));
  aLimit.refilledAt = std::max(aLimit.refilledAt, aNow);
  if (!this->hasTurn(aLimit, aNow)) {
    aLimit.credit = std::min(aLimit.credit, 0.0);
    return;
  }
  const double sharers = static_cast<double>(this->sharerCount());
  const double rate =
    *aLimit.perSecond * sharers / static_cast<double>(this->relayCount) /
    static_cast<double>(this->relaysInTurn(*aLimit.perSecond));
  const double max = std::max(1.0, rate * kMaxCreditSeconds);
  aLimit.credit = std::min(aLimit.credit + passed * rate, max);
}

void
ReplicaLimits::setLimit(Limit& aLimit,
                        std::optional<double> aPerSecond,
                        TimePoint aReportedAt)
{
  if (aPerSecond) {
    aPerSecond = std::max(*aPerSecond, kMinPerSecond);
  }
  if (aPerSecond && !aLimit.perSecond) {
    aLimit.credit = 0;
    aLimit.refilledAt = aReportedAt;
  }
  aLimit.perSecond = aPerSecond;
  aLimit.reportedAt = aReportedAt;
}

bool
ReplicaLimits::onAnswer(const std::string& aReplica,
                        const std::string& aZone,
                        std::optional<double> aPerSecond,
                        TimePoint aNow)
{
  const auto found = this->limits.find(aReplica);
  if (found == this->limits.end() && !aPerSecond) {
    return false;
  }
  Limit& limit = this->limits[aReplica];
  const std::optional<double> before = limit.perSecond;
  if (before) {
    this->refill(limit, aNow);
  }
  limit.zone = aZone;
  this->setLimit(limit, aPerSecond, aNow);
  limit.fromOwnAnswer = true;
  this->updatePosition(aReplica, limit);
  return before != limit.perSecond;
}

void
ReplicaLimits::onPeer(const RateLimitReport& aReport,
                      const std::string& aZone,
                      TimePoint aNow)
{
  const TimePoint reportedAt = aNow - aReport.age;
  const auto found = this->limits.find(aReport.replica);
  const bool isKnown = found != this->limits.end();
  if ((!isKnown && !aReport.perSecond) ||
      (isKnown && reportedAt <= found->second.reportedAt)) {
    return;
  }
  Limit& limit = this->limits[aReport.replica];
  if (limit.perSecond) {
    this->refill(limit, aNow);
  }
  limit.zone = aZone;
  this->setLimit(limit, aReport.perSecond, reportedAt);
  limit.fromOwnAnswer = false;
  this->updatePosition(aReport.replica, limit);
}

void
ReplicaLimits::onSent(const std::string& aReplica, TimePoint aNow)
{
  const auto found = this->limits.find(aReplica);
  if (found != this->limits.end() && found->second.perSecond) {
    this->refill(found->second, aNow);
    found->second.credit -= 1;
  }
}

bool
ReplicaLimits::maySend(const std::string& aReplica, TimePoint aNow)
{
  const auto found = this->limits.find(aReplica);
  if (found == this->limits.end() || !found->second.perSecond) {
    return true;
  }
  this->refill(found->second, aNow);
  return found->second.credit >= 1;
}

bool
ReplicaLimits::limited(const std::string& aReplica) const
{
  const auto found = this->limits.find(aReplica);
  return found != this->limits.end() && found->second.perSecond.has_value();
}

std::size_t
ReplicaLimits::limitedCount() const
{
  return static_cast<std::size_t>(std::count_if(
    this->limits.begin(), this->limits.end(), [](const auto& aEntry) {
      return aEntry.second.perSecond.has_value();
    }));
}

void
ReplicaLimits::keepOnly(const std::set<std::string>& aKept)
{
  std::erase_if(this->limits, [&](const auto& aEntry) {
    return !aKept.contains(aEntry.first);
  });
}

void
ReplicaLimits::expire(TimePoint aNow)
{
  std::erase_if(this->limits, [aNow](const auto& aEntry) {
    const Limit& limit = aEntry.second;
    return !limit.perSecond && aNow - limit.reportedAt > kLiftedLimitReportTime;
  });
}

std::vector<RateLimitReport>
ReplicaLimits::own(TimePoint aNow) const
{
  std::vector<RateLimitReport> reports;
  for (const auto& [replica, limit] : this->limits) {
    if (limit.fromOwnAnswer) {
      reports.push_back(
        RateLimitReport{ replica, limit.perSecond, aNow - limit.reportedAt });
    }
  }
  return reports;
}

} // namespace poplartrack
