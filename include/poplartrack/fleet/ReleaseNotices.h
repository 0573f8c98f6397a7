#pragma once

#include <map>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/ReleasedLayers.h"

namespace poplartrack {

/**
 * The releases that the holder of the placement lease announces, as one relay
 * knows them. An announcement is in force as long as it is repeated: when its
 * sender ends or is cut off before the order, the replica serves the layers
 * again after kNoticeTimeout. Not thread-safe.
 */
class ReleaseNotices
{
public:
  /** Replaces what a relay announces. Malformed rows are dropped. */
  void onAnnounced(const std::string& aRelay,
                   std::vector<ReleasedLayers> aReleases,
                   TimePoint aNow);
  /** Drops the announcements of relays that have been silent for too long. */
  void expire(TimePoint aNow);
  [[nodiscard]] bool empty() const { return this->senders.empty(); }

  /** Returns the layers that new paths may use of those that the replica holds;
   * none while it releases all of them. */
  [[nodiscard]] LayerRange usable(const std::string& aReplica,
                                  LayerRange aHeld) const;
  /** Returns whether some of these layers of the replica are being released. */
  [[nodiscard]] bool concerns(const std::string& aReplica,
                              LayerRange aLayers) const;

private:
  struct Sender
  {
    std::vector<ReleasedLayers> releases;
    TimePoint receivedAt;
  };

  std::map<std::string, Sender> senders;
};

} // namespace poplartrack
