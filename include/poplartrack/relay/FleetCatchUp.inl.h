#pragma once

// Catch-up reads: if another relay has had a newer configuration or replica
// list for a while, this relay's own long poll may hang on a dead connection. A
// second thread then reads the store without waiting for that poll.

namespace poplartrack {
namespace fleet_control {

/** If another relay has had a newer version for this long, the poll in progress
 * is assumed not to return it. An answer of the store takes a few ms. */
constexpr Duration kMaxLag = std::chrono::milliseconds{ 300 };

/** The same for a relay that does not poll and asks the relays of its zone for
 * the newer version: if none has handed it out by then, it is read from the
 * store. Configurations must be in force within a few seconds. */
constexpr Duration kMaxPeerLag = std::chrono::milliseconds{ 800 };

/** The same for the replica list. The store readers of this zone may have it
 * later than those of others, which report it, by their pause between two polls
 * and the interval of the status messages. Draining replicas are reported by
 * the others meanwhile. */
constexpr Duration kMaxPeerListLag = std::chrono::milliseconds{ 1'500 };

/** If no relay of the zone has handed out a newer version by then, the relays
 * of other zones are asked as well. The store may reject this relay, and all
 * others of its zone. */
constexpr Duration kMaxZoneLag = std::chrono::milliseconds{ 600 };

/** The relays of a zone learn of a new configuration at the same moment, when
 * only the two store readers have it. Each waits for a random part of this
 * time, in which those before it take it over and can be asked as well. */
constexpr Duration kFetchSpread = std::chrono::milliseconds{ 300 };

/** A reported outage of the store is over when no relay has reported it for
 * this long: three intervals of the status messages between zones. */
constexpr Duration kOutageTimeout = std::chrono::milliseconds{ 1'200 };

/** A failed read of this relay counts for this long: until the next proof read
 * has ended, and the check after it. */
constexpr Duration kReadFailureTime = StorePollSchedule::kProofReadInterval +
                                      StorePollSchedule::kProofReadTimeout +
                                      std::chrono::milliseconds{ 400 };

/** Interval between checks whether a catch-up read is due. */
constexpr Duration kCatchUpInterval = std::chrono::milliseconds{ 100 };

/** Timeout of a catch-up read. While the store reports no error, a relay stops
 * using its configuration when the proof of freshness reaches a certain age.
 * The read must end before that, so StorePollSchedule starts it this much
 * earlier.
 */
constexpr Duration kCatchUpReadTimeout = StorePollSchedule::kProofReadTimeout;

} // namespace fleet_control

// Store readers pause after each change, so those of one zone may get a new
// list later than those of another by batchDelay(). That is no reason for a
// read.
template<FleetStoreLike Store>
Duration
FleetControl<Store>::listCatchUpDelay() const
{
  return fleet_control::kMaxLag + this->batchDelay();
}

// Reads the configuration while the poll in progress may be waiting on a dead
// connection: when a peer has had a newer version for a while, or when no relay
// has a recent proof of freshness.
template<FleetStoreLike Store>
Duration
FleetControl<Store>::catchUpConfig()
{
  const TimePoint now = this->clock.now();
  if (this->shared.joining) {
    return fleet_control::kCatchUpInterval;
  }
  const auto config = this->shared.config.read();
  const std::uint64_t version = config == nullptr ? 0 : config->version;
  const bool follows = config != nullptr || this->shared.joinedPeersAt != 0;
  if (!follows || this->shared.peerConfigVersion <= version) {
    this->configBehindSince.reset();
  } else if (!this->configBehindSince) {
    this->configBehindSince = now;
    this->configFetchAt = now + randomPart(fleet_control::kFetchSpread);
  }
  if (this->configBehindSince && this->asksPeers() &&
      now >= this->configFetchAt &&
      this->fetchConfig(version, now - *this->configBehindSince)) {
    this->configBehindSince.reset();
    return fleet_control::kCatchUpInterval;
  }
  const Duration maxLag =
    this->asksPeers() ? fleet_control::kMaxPeerLag : fleet_control::kMaxLag;
  const bool behind =
    this->configBehindSince && now - *this->configBehindSince >= maxLag;
  const TimePoint outage{ Duration{ this->shared.peersSawOutageAt.load() } };
  const bool storeUnavailable = now - outage < fleet_control::kOutageTimeout;
  if (!this->shared.polls) {
    // This relay adopts what the store readers report about the store, so that
    // it doesn't query an unavailable store as well.
    this->configReachable = !storeUnavailable;
    // While the store readers change, not all of them report the outage yet.
    // The relay's own read shows it as well.
    const bool readFailed =
      this->catchUpReadFailedAt &&
      now - *this->catchUpReadFailedAt < fleet_control::kReadFailureTime;
    this->shared.configPollFailed = storeUnavailable || readFailed;
  }
  // After a failed poll followConfig() retries by itself.
  const bool proofOld =
    config != nullptr && this->configReachable &&
    StorePollSchedule::needsProofRead(this->shared.freshness.age(),
                                      now - this->proofReadAt,
                                      this->settings.configDeadline,
                                      this->shared.polls);
  if (!this->stopping && (behind || proofOld)) {
    this->configBehindSince.reset();
    this->proofReadAt = now;
    this->shared.metrics.countStoreCall(behind ? StoreCall::ConfigCatchUp
                                               : StoreCall::ConfigProof);
    const Result<ConfigPoll> poll =
      this->store.readConfig(fleet_control::kCatchUpReadTimeout);
    this->catchUpReadFailedAt.reset();
    if (!poll) {
      this->catchUpReadFailedAt = this->clock.now();
    }
    this->onConfigPoll(poll);
    const auto read = this->shared.config.read();
    const std::uint64_t known = read == nullptr ? 0 : read->version;
    if (behind && this->fetchSnapshot &&
        known < this->shared.peerConfigVersion) {
      // The store lacks it as well: it was restored from an older copy.
      this->fetchConfig(known, fleet_control::kMaxZoneLag);
    }
  }
  return fleet_control::kCatchUpInterval;
}

// Asks one of the relays that have a newer version, those of the zone first.
// Each relay that has taken it over is one more to ask.
template<FleetStoreLike Store>
bool
FleetControl<Store>::fetchFrom(VersionHolders& aZone,
                               VersionHolders& aRemote,
                               std::uint64_t aKnown,
                               Duration aLag,
                               const SnapshotQuery& aQuery)
{
  const bool zoneFails =
    this->shared.pollsFail || aLag >= fleet_control::kMaxZoneLag;
  std::vector<Address> holders = aZone.newerThan(aKnown);
  const bool fromZone = !holders.empty();
  if (!fromZone && zoneFails) {
    holders = aRemote.newerThan(aKnown);
  }
  if (holders.empty()) {
    return false;
  }
  const Address& holder = holders[randomIndex(holders.size())];
  if (!this->applySnapshotOf(holder, aQuery)) {
    (fromZone ? aZone : aRemote).forget(holder);
    return false;
  }
  return true;
}

template<FleetStoreLike Store>
bool
FleetControl<Store>::fetchConfig(std::uint64_t aKnown, Duration aLag)
{
  SnapshotQuery query;
  query.newerConfig = aKnown;
  if (!this->fetchFrom(this->shared.configHolders,
                       this->shared.remoteConfigHolders,
                       aKnown,
                       aLag,
                       query)) {
    return false;
  }
  const auto config = this->shared.config.read();
  return config != nullptr && config->version > aKnown;
}

template<FleetStoreLike Store>
bool
FleetControl<Store>::fetchReplicas(std::uint64_t aKnown, Duration aLag)
{
  SnapshotQuery query;
  query.newerConfig = fleet_control::kNoConfig;
  query.newerReplicas = aKnown;
  return this->fetchFrom(this->shared.listHolders,
                         this->shared.remoteListHolders,
                         aKnown,
                         aLag,
                         query) &&
         this->shared.replicas.read()->lastChange > aKnown;
}

// Reads the replica list when a peer has had a newer one for a while.
template<FleetStoreLike Store>
Duration
FleetControl<Store>::catchUpReplicas()
{
  const TimePoint now = this->clock.now();
  if (this->shared.joining) {
    return fleet_control::kCatchUpInterval;
  }
  const std::uint64_t peerVersion = this->shared.peerListVersion;
  if (peerVersion <= this->shared.replicas.read()->lastChange ||
      peerVersion <= this->listReadForVersion) {
    this->listBehindSince.reset();
  } else if (!this->listBehindSince) {
    this->listBehindSince = now;
  } else if (now - *this->listBehindSince >= this->listCatchUpDelay()) {
    const std::uint64_t known = this->shared.replicas.read()->lastChange;
    const Duration lag = now - *this->listBehindSince;
    const bool fetched = this->asksPeers() && this->fetchReplicas(known, lag);
    const bool mayWait =
      this->asksPeers() && lag < fleet_control::kMaxPeerListLag;
    if (!fetched && mayWait) {
      return fleet_control::kCatchUpInterval;
    }
    this->listBehindSince.reset();
    if (fetched) {
      return fleet_control::kCatchUpInterval;
    }
    const Result<ReplicaPoll> poll =
      this->store.readReplicas(fleet_control::kCatchUpReadTimeout);
    this->shared.metrics.countStoreCall(StoreCall::ReplicasCatchUp,
                                        poll ? poll.value().calls : 1);
    const std::scoped_lock lock{ this->listGuard };
    if (poll) {
      this->listReadForVersion = peerVersion;
      this->applyReplicaPoll(poll.value(), this->clock.now());
    }
  }
  return fleet_control::kCatchUpInterval;
}

} // namespace poplartrack
