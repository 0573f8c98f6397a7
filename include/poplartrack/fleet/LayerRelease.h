#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/DemandMove.h"
#include "poplartrack/fleet/ReleaseOutcome.h"
#include "poplartrack/fleet/ReleasedLayers.h"
#include "poplartrack/fleet/Replica.h"

namespace poplartrack {

/** A release that is announced, with the figures that it rests on. */
struct OpenRelease
{
  ReleasedLayers released;
  std::string zone;
  /** Accelerator kind of the replica. */
  std::string kind;
  /** What the replica holds now, and what it will hold. */
  LayerRange held;
  LayerRange kept;
  /** Why the replica changes its layers; written to the log. */
  const char* reason = "";
  /** Tokens that the replicas of the zone have memory for in the scarcest of
   * the kept layers, now and after the release. */
  double tokensBefore = 0;
  double tokensAfter = 0;
  /** Tokens that the others have memory for in the scarcest released layer. */
  double tokensOthers = 0;
  /** Set if the replica releases all its layers to load others; the figures of
   * tokens are 0 then. */
  std::optional<DemandMove> move;
  TimePoint announcedAt{};
};

/** What is known about an open release. */
struct ReleaseFacts
{
  /** The replica still holds the same layers and has no open order. */
  bool unchanged = false;
  /** No copy lacks layers, and others hold the released ones. */
  bool complete = false;
  /** Requests of all relays through the released layers of the replica; nullopt
   * if it is not known yet. */
  std::optional<std::uint32_t> requests;
};

/**
 * The release of layers of one replica of a service, from announcement to
 * order: of some that an extended replica holds in excess, or of all when it is
 * to load others.
 *
 * A replica that is ordered to drop layers through which requests pass refuses
 * all work until the last of them ends. So the release is announced first, and
 * relays begin no new path through these layers. The order follows when the
 * reports of all relays show no request through them. Until then the replica
 * serves its other layers.
 *
 * At most one release is open at a time. Not thread-safe.
 */
class LayerRelease
{
public:
  /** Returns whether a release of this replica, which holds these layers, may
   * be announced now. */
  [[nodiscard]] bool mayAnnounce(const Replica& aReplica,
                                 LayerRange aHeld,
                                 TimePoint aNow) const;
  void announce(OpenRelease aRelease, TimePoint aNow);
  [[nodiscard]] const std::optional<OpenRelease>& open() const
  {
    return this->current;
  }
  /** Ends the release if it is due or no longer possible; returns how. */
  std::optional<ReleaseOutcome> step(const ReleaseFacts& aFacts,
                                     TimePoint aNow);
  /** Records an order to a replica of the zone. */
  void onOrder(const std::string& aZone, TimePoint aNow)
  {
    this->lastOrderAt.insert_or_assign(aZone, aNow);
  }
  /** Records that a replica of the service was lost, or that the leader does
   * not know whether one was. */
  void onLoss(TimePoint aNow) { this->lossAt = aNow; }
  /** Records when a relay last fell silent. A release could not be ordered for
   * 15 s from then on, so an open one ends and none is announced. */
  void onRelaySilent(TimePoint aAt) { this->silentAt = aAt; }
  /** Forgets the open release: it is no longer announced. */
  void reset() { this->current.reset(); }

private:
  [[nodiscard]] bool isUseUnknown(TimePoint aNow) const;

  std::optional<OpenRelease> current;
  /** When a replica of each zone was last given an order. */
  std::map<std::string, TimePoint> lastOrderAt;
  /** When a replica was last lost, or may have been. */
  std::optional<TimePoint> lossAt;
  std::optional<TimePoint> silentAt;
  /** Releases that expired, and when. */
  std::vector<std::pair<OpenRelease, TimePoint>> expired;
};

} // namespace poplartrack
