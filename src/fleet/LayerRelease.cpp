#include "poplartrack/fleet/LayerRelease.h"

#include <algorithm>

#include "poplartrack/fleet/ReleaseTimes.h"

namespace poplartrack {
namespace {

/** No release begins this soon after an order in the same zone: the load that
 * moved with the order settles first. */
constexpr Duration kDelayAfterOrder = std::chrono::seconds{ 5 };

/** No release begins this soon after the loss of a replica. A crashed one is
 * back without layers after 3 to 5 s and then loads them; rejected callers
 * return after 2.5 to 6 s. */
constexpr Duration kDelayAfterLoss = std::chrono::seconds{ 10 };

/** After a release has expired, its replica and those like it keep their layers
 * for this long. A shorter time would keep these layers unused for most of the
 * time while long answers pass through them. */
constexpr Duration kRetryTime = std::chrono::seconds{ 60 };

/** Returns whether a release of this replica resembles an earlier one: it is of
 * the same replica, or of one of the same kind and layers in the same zone. */
bool
isAlike(const OpenRelease& aEarlier, const Replica& aReplica, LayerRange aHeld)
{
  return aEarlier.released.replica == aReplica.id ||
         (aEarlier.zone == aReplica.zone && aEarlier.kind == aReplica.kind &&
          aEarlier.held == aHeld);
}

} // namespace

/** Returns whether a relay has fallen silent so recently that it may still have
 * requests through announced layers. */
bool
LayerRelease::isUseUnknown(TimePoint aNow) const
{
  return this->silentAt && aNow - *this->silentAt < kSilenceTime;
}

bool
LayerRelease::mayAnnounce(const Replica& aReplica,
                          LayerRange aHeld,
                          TimePoint aNow) const
{
  const auto order = this->lastOrderAt.find(aReplica.zone);
  return !this->current && !this->isUseUnknown(aNow) &&
         (!this->lossAt || aNow - *this->lossAt >= kDelayAfterLoss) &&
         (order == this->lastOrderAt.end() ||
          aNow - order->second >= kDelayAfterOrder) &&
         std::none_of(
           this->expired.begin(), this->expired.end(), [&](const auto& aEntry) {
             return aNow - aEntry.second < kRetryTime &&
                    isAlike(aEntry.first, aReplica, aHeld);
           });
}

void
LayerRelease::announce(OpenRelease aRelease, TimePoint aNow)
{
  std::erase_if(this->expired, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kRetryTime;
  });
  this->current = std::move(aRelease);
  this->current->announcedAt = aNow;
}

std::optional<ReleaseOutcome>
LayerRelease::step(const ReleaseFacts& aFacts, TimePoint aNow)
{
  if (!this->current) {
    return std::nullopt;
  }
  const Duration age = aNow - this->current->announcedAt;
  std::optional<ReleaseOutcome> outcome;
  if (!aFacts.unchanged) {
    outcome = ReleaseOutcome::Changed;
  } else if (!aFacts.complete ||
             (this->lossAt && *this->lossAt >= this->current->announcedAt)) {
    outcome = ReleaseOutcome::Gap;
  } else if (this->isUseUnknown(aNow)) {
    outcome = ReleaseOutcome::Silent;
  } else if (age >= kAnnouncementTime && aFacts.requests == 0U) {
    outcome = ReleaseOutcome::Ordered;
  } else if (age >= kMaxReleaseTime) {
    outcome = ReleaseOutcome::Expired;
  }
  if (outcome) {
    if (*outcome == ReleaseOutcome::Expired) {
      this->expired.emplace_back(*this->current, aNow);
    }
    this->current.reset();
  }
  return outcome;
}

} // namespace poplartrack
