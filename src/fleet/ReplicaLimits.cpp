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

/** A replica that names less is sent this many requests a second: without any
 * nobody would hear that its limit is over. */
constexpr double kLeastPerSecond = 0.25;

/** Requests that a relay saves up at most, as time at its part of the limit. */
constexpr double kSavedSeconds = 0.25;

/** Without an answer for this long, the turn goes to the next relays; and for
 * longer where one request takes longer to earn. */
constexpr double kTurnSeconds = 1.0;
constexpr double kTurnRequests = 1.5;

/** That a limit is over is told for this long. */
constexpr Duration kOverTold = std::chrono::seconds{ 5 };

/** The order in which relays take turns at a replica: by zone, then mixed. */
std::pair<bool, std::uint64_t>
rankOf(const RateLimitSharer& aSharer,
       const std::string& aReplica,
       const std::string& aZone)
{
  const std::string text = aReplica + "/" + toText(aSharer.address);
  return { aSharer.zone != aZone, XXH3_64bits(text.data(), text.size()) };
}

} // namespace

void
ReplicaLimits::setOthers(std::vector<RateLimitSharer> aHeard,
                         std::size_t aKnown)
{
  this->known = std::max(aKnown, aHeard.size() + 1);
  if (this->others == aHeard) {
    return;
  }
  this->others = std::move(aHeard);
  for (auto& [replica, limit] : this->limits) {
    this->place(replica, limit);
  }
}

void
ReplicaLimits::place(const std::string& aReplica, Limit& aLimit) const
{
  const auto own = rankOf(this->self, aReplica, aLimit.zone);
  aLimit.position = static_cast<std::size_t>(
    std::count_if(this->others.begin(),
                  this->others.end(),
                  [&](const RateLimitSharer& aOther) {
                    return rankOf(aOther, aReplica, aLimit.zone) < own;
                  }));
}

/** How many relays have their turn at the same time. */
std::size_t
ReplicaLimits::atOnce(double aPerSecond) const
{
  const double most = static_cast<double>(this->sharers());
  return static_cast<std::size_t>(
    std::clamp(std::floor(aPerSecond), 1.0, most));
}

bool
ReplicaLimits::hasTurn(const Limit& aLimit, TimePoint aNow) const
{
  const std::size_t all = this->sharers();
  const std::size_t some = this->atOnce(*aLimit.perSecond);
  const double turn =
    std::max(kTurnSeconds,
             kTurnRequests * static_cast<double>(some) / *aLimit.perSecond);
  const double passed = std::max(0.0, seconds(aNow - aLimit.saidAt)) / turn;
  const std::size_t begin = static_cast<std::size_t>(passed) * some % all;
  return (aLimit.position + all - begin) % all < some;
}

/** Adds what this relay may send since it was last asked. */
void
ReplicaLimits::earn(Limit& aLimit, TimePoint aNow) const
{
  const double passed = std::max(0.0, seconds(aNow - aLimit.earnedAt));
  aLimit.earnedAt = std::max(aLimit.earnedAt, aNow);
  if (!this->hasTurn(aLimit, aNow)) {
    aLimit.earned = std::min(aLimit.earned, 0.0);
    return;
  }
  const double heard = static_cast<double>(this->sharers());
  const double rate = *aLimit.perSecond * heard /
                      static_cast<double>(this->known) /
                      static_cast<double>(this->atOnce(*aLimit.perSecond));
  const double most = std::max(1.0, rate * kSavedSeconds);
  aLimit.earned = std::min(aLimit.earned + passed * rate, most);
}

void
ReplicaLimits::say(Limit& aLimit,
                   std::optional<double> aPerSecond,
                   TimePoint aAt)
{
  if (aPerSecond) {
    aPerSecond = std::max(*aPerSecond, kLeastPerSecond);
  }
  if (aPerSecond && !aLimit.perSecond) {
    aLimit.earned = 0;
    aLimit.earnedAt = aAt;
  }
  aLimit.perSecond = aPerSecond;
  aLimit.saidAt = aAt;
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
    this->earn(limit, aNow);
  }
  limit.zone = aZone;
  this->say(limit, aPerSecond, aNow);
  limit.fromOwnAnswer = true;
  this->place(aReplica, limit);
  return before != limit.perSecond;
}

void
ReplicaLimits::onPeer(const RateLimitReport& aReport,
                      const std::string& aZone,
                      TimePoint aNow)
{
  const TimePoint saidAt = aNow - aReport.age;
  const auto found = this->limits.find(aReport.replica);
  const bool isKnown = found != this->limits.end();
  if ((!isKnown && !aReport.perSecond) ||
      (isKnown && saidAt <= found->second.saidAt)) {
    return;
  }
  Limit& limit = this->limits[aReport.replica];
  if (limit.perSecond) {
    this->earn(limit, aNow);
  }
  limit.zone = aZone;
  this->say(limit, aReport.perSecond, saidAt);
  limit.fromOwnAnswer = false;
  this->place(aReport.replica, limit);
}

void
ReplicaLimits::onSent(const std::string& aReplica, TimePoint aNow)
{
  const auto found = this->limits.find(aReplica);
  if (found != this->limits.end() && found->second.perSecond) {
    this->earn(found->second, aNow);
    found->second.earned -= 1;
  }
}

bool
ReplicaLimits::maySend(const std::string& aReplica, TimePoint aNow)
{
  const auto found = this->limits.find(aReplica);
  if (found == this->limits.end() || !found->second.perSecond) {
    return true;
  }
  this->earn(found->second, aNow);
  return found->second.earned >= 1;
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
ReplicaLimits::keepOnly(const std::set<std::string>& aListed)
{
  std::erase_if(this->limits, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

void
ReplicaLimits::expire(TimePoint aNow)
{
  std::erase_if(this->limits, [aNow](const auto& aEntry) {
    const Limit& limit = aEntry.second;
    return !limit.perSecond && aNow - limit.saidAt > kOverTold;
  });
}

std::vector<RateLimitReport>
ReplicaLimits::own(TimePoint aNow) const
{
  std::vector<RateLimitReport> reports;
  for (const auto& [replica, limit] : this->limits) {
    if (limit.fromOwnAnswer) {
      reports.push_back(
        RateLimitReport{ replica, limit.perSecond, aNow - limit.saidAt });
    }
  }
  return reports;
}

} // namespace poplartrack
