// Layers that the holder of the placement lease takes from busy replicas: new
// paths avoid them, and relays report how many requests still use them.

#include <limits>

#include "RelayLoopImpl.h"
#include "poplartrack/fleet/ReleaseTimes.h"

namespace poplartrack {
namespace {

/** Sender name of this relay's own announcements; addresses are never empty. */
constexpr const char* kOwnAnnouncements = "";

} // namespace

/** Applies the announcements in another relay's status message. Those of a
 * relay that no longer holds the lease end at once. */
void
RelayLoop::Impl::onPeerReleases(const PeerStatus& aStatus,
                                const std::string& aPeer)
{
  if (!this->settings.load.demandPlacement) {
    return;
  }
  std::vector<ReleasedLayers> announced;
  for (const ReleaseRow& row : aStatus.releases) {
    if (aStatus.holdsLease) {
      announced.push_back({ row.replica, { row.from, row.to } });
    }
  }
  this->releases.onAnnounced(aPeer, std::move(announced), this->now);
}

/** Adds the announcements to the status message if this relay holds the
 * placement lease. */
void
RelayLoop::Impl::addReleases(PeerStatus& aStatus) const
{
  if (aStatus.holdsLease) {
    // Held during the loop: the placement thread may replace the value.
    const auto announced = this->shared.releases.read();
    for (const auto& [replica, layers] : *announced) {
      if (aStatus.releases.size() < kMaxReleaseRows) {
        aStatus.releases.push_back({ replica, layers.from, layers.to });
      }
    }
  }
}

/** Adds to each replica with announced layers the number of requests that run
 * none of these. */
void
RelayLoop::Impl::addOutsideReleases(PeerStatus& aStatus) const
{
  if (this->releases.empty()) {
    return;
  }
  const auto outside = this->requestsOutsideReleases();
  for (LoadRow& row : aStatus.loads) {
    const auto found = outside.find(row.replica);
    row.outsideRelease = found == outside.end() ? 0 : found->second;
  }
}

/** Returns, by replica with announced layers, the number of this relay's
 * requests through it that run none of these layers. */
std::map<std::string, std::uint32_t>
RelayLoop::Impl::requestsOutsideReleases() const
{
  constexpr LayerRange kAll{ 0, std::numeric_limits<std::uint32_t>::max() };
  std::map<std::string, std::uint32_t> outside;
  for (const auto& [id, exchange] : this->exchanges) {
    if (!exchange->loadRecorded) {
      continue;
    }
    for (const PathPart& part : exchange->path.parts) {
      if (this->releases.concerns(part.replica, kAll) &&
          !this->releases.concerns(part.replica, part.layers)) {
        ++outside[part.replica];
      }
    }
  }
  return outside;
}

/** Ends announcements that are no longer repeated. On the holder of the
 * placement lease, also publishes how many requests of all relays run the
 * announced layers, or nothing if that is not known. A request of a relay that
 * does not know an announcement counts as one that runs them. */
void
RelayLoop::Impl::refreshReleases()
{
  if (!this->settings.load.demandPlacement) {
    return;
  }
  this->releases.expire(this->now);
  const bool holder = this->shared.holdsLease;
  // Held until the end: the placement thread may replace the value.
  const auto announced = this->shared.releases.read();
  this->releases.onAnnounced(kOwnAnnouncements,
                             holder ? *announced
                                    : std::vector<ReleasedLayers>{},
                             this->now);
  if (!holder) {
    return;
  }
  const TimePoint silentAt{ Duration{ this->shared.peerSilentAt } };
  const bool known =
    silentAt == TimePoint{} || this->now - silentAt >= kSilenceTime;
  const auto outside = this->requestsOutsideReleases();
  std::map<std::string, std::uint32_t> use;
  for (const auto& [replica, layers] : *announced) {
    if (!known) {
      break;
    }
    const ReplicaLoad load = this->loads.at(replica);
    const auto own = outside.find(replica);
    const std::uint32_t unaffected =
      load.outsideRelease + (own == outside.end() ? 0 : own->second);
    use[replica] = load.requests > unaffected ? load.requests - unaffected : 0;
  }
  this->shared.releaseUse.replace(
    std::make_shared<const std::map<std::string, std::uint32_t>>(
      std::move(use)));
}

} // namespace poplartrack
