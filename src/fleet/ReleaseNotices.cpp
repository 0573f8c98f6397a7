#include "poplartrack/fleet/ReleaseNotices.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** The lease holder sends each of its status messages at least every 400 ms,
 * also to other zones and when it repeats the last one. A relay that misses
 * four in a row takes it for ended or cut off. */
constexpr Duration kNoticeTimeout = std::chrono::seconds{ 2 };

} // namespace

void
ReleaseNotices::onAnnounced(const std::string& aRelay,
                            std::vector<ReleasedLayers> aReleases,
                            TimePoint aNow)
{
  std::erase_if(aReleases, [](const ReleasedLayers& aRelease) {
    return aRelease.layers.size() == 0;
  });
  if (aReleases.empty()) {
    this->senders.erase(aRelay);
    return;
  }
  this->senders.insert_or_assign(aRelay, Sender{ std::move(aReleases), aNow });
}

void
ReleaseNotices::expire(TimePoint aNow)
{
  std::erase_if(this->senders, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt >= kNoticeTimeout;
  });
}

LayerRange
ReleaseNotices::usable(const std::string& aReplica, LayerRange aHeld) const
{
  LayerRange left = aHeld;
  for (const auto& [relay, sender] : this->senders) {
    for (const auto& [replica, layers] : sender.releases) {
      if (replica != aReplica || layers.to <= left.from ||
          layers.from >= left.to) {
        continue;
      }
      const LayerRange before{ left.from, layers.from };
      const LayerRange after{ layers.to, left.to };
      left = before.size() > after.size() ? before : after;
    }
  }
  return left;
}

bool
ReleaseNotices::concerns(const std::string& aReplica, LayerRange aLayers) const
{
  return std::any_of(
    this->senders.begin(), this->senders.end(), [&](const auto& aEntry) {
      const auto& releases = aEntry.second.releases;
      return std::any_of(
        releases.begin(), releases.end(), [&](const ReleasedLayers& aRelease) {
          return aRelease.replica == aReplica &&
                 aRelease.layers.from < aLayers.to &&
                 aLayers.from < aRelease.layers.to;
        });
    });
}

} // namespace poplartrack
