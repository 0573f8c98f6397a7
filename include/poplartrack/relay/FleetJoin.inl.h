#pragma once

// The start of a relay. It learns the configuration, the replica list and the
// other relays from a contact of its zone, which takes two calls of the store
// at most; only contacts, and relays that no contact answers, read the store.

namespace poplartrack {
namespace fleet_control {

/** Interval between checks while a relay joins. */
constexpr Duration kJoinInterval = std::chrono::milliseconds{ 20 };

/** Pause after an answer without a state. With a shorter one, the queries of a
 * zone would slow down the contacts that they wait for. */
constexpr Duration kAskInterval = std::chrono::milliseconds{ 100 };

/** Timeout of a snapshot. */
constexpr Duration kSnapshotTimeout = std::chrono::milliseconds{ 400 };

/** Times after the join at which a contact is asked for the list of relays:
 * when all start at once, a contact does not know them all yet. */
constexpr std::array<Duration, 2> kFirstPeerFetches{
  std::chrono::milliseconds{ 1'000 },
  std::chrono::milliseconds{ 3'000 },
};
/** Interval from then on. Relays that were missed send status messages, so the
 * list is rarely incomplete. */
constexpr Duration kPeerFetchInterval = std::chrono::seconds{ 20 };

/** A version that no configuration is newer than. */
constexpr std::uint64_t kNoConfig = std::numeric_limits<std::uint64_t>::max();

} // namespace fleet_control

template<FleetStoreLike Store>
bool
FleetControl<Store>::applySnapshotOf(const Address& aRelay,
                                     const SnapshotQuery& aQuery)
{
  const TimePoint sent = this->clock.now();
  const Result<FleetSnapshot> answer =
    this->fetchSnapshot(aRelay, aQuery, fleet_control::kSnapshotTimeout);
  if (!answer) {
    this->shared.metrics.count("snapshots_failed_total");
    return false;
  }
  const FleetSnapshot& snapshot = answer.value();
  this->shared.metrics.count("snapshots_received_total");
  ConfigPoll poll;
  if (!snapshot.configText.empty()) {
    Result<RelayConfig> config = this->store.parseConfig(snapshot.configText);
    if (!config) {
      return false;
    }
    poll.config =
      std::make_shared<const RelayConfig>(std::move(config).value());
  }
  const auto current = this->shared.config.read();
  const bool has = poll.config != nullptr ||
                   (current && current->version >= snapshot.configVersion);
  if (has && snapshot.configAge) {
    // The sender read its clock after the query was sent, so its proof is at
    // least this new on the clock of this process.
    poll.asOf = sent - *snapshot.configAge;
    this->applyConfig(poll);
  }
  if (snapshot.replicas) {
    const std::scoped_lock lock{ this->listGuard };
    this->applyReplicaPoll(*snapshot.replicas, this->clock.now());
    // If this relay becomes a store reader, its polls continue from here.
    this->awaitsReplicaChanges = true;
  }
  this->shared.addPeers(snapshot.relays, this->settings.peers);
  this->shared.addPeers({ aRelay }, this->settings.peers);
  return true;
}

template<FleetStoreLike Store>
bool
FleetControl<Store>::joinThroughContact(TimePoint aNow)
{
  const std::vector<Address>& contacts = this->directory.contacts();
  if (contacts.empty()) {
    return false;
  }
  const Address contact = contacts[this->nextContact++ % contacts.size()];
  SnapshotQuery query;
  query.newerReplicas = 0;
  query.relays = true;
  if (!this->applySnapshotOf(contact, query)) {
    return false;
  }
  this->contactAnsweredAt = aNow;
  if (this->shared.listVersion == 0) {
    return false;
  }
  // An old proof may be all that a contact without a connection to the store
  // has.
  const bool fresh =
    this->shared.config.read() == nullptr ||
    this->shared.freshness.age() <= this->settings.configDeadline / 2;
  if (!fresh) {
    return false;
  }
  this->shared.log.write(
    LogLine{ LogPart::Peers, "joined" }
      .with("contact", toText(contact))
      .with("ms", (aNow - this->startedAt) / std::chrono::milliseconds{ 1 }));
  return true;
}

template<FleetStoreLike Store>
bool
FleetControl<Store>::mayReadStore() const
{
  const bool contactsMissing =
    !this->contactsRead &&
    this->clock.now() - this->startedAt >= this->joinLimits.contacts;
  return !this->shared.joining || contactsMissing;
}

template<FleetStoreLike Store>
void
FleetControl<Store>::finishJoining()
{
  this->shared.joining = false;
  this->configThread.wake();
  this->replicasThread.wake();
}

template<FleetStoreLike Store>
Duration
FleetControl<Store>::joinFleet()
{
  this->directory.refresh(this->clock.now());
  const TimePoint now = this->clock.now();
  this->contactsRead = this->directory.hasRead();
  if (!this->fetchSnapshot || !this->directory.hasRead() ||
      this->directory.isContact() || this->shared.listVersion != 0) {
    this->finishJoining();
    return Duration{ 0 };
  }
  if (this->directory.contacts().empty()) {
    return fleet_control::kJoinInterval;
  }
  if (!this->contactsKnownAt) {
    this->contactsKnownAt = now;
    this->contactAnsweredAt = now;
  }
  if (this->joinThroughContact(now)) {
    this->shared.polls = false;
    this->shared.joinedPeersAt = now.time_since_epoch().count();
    this->peersFetchedAt = now;
    this->finishJoining();
    return fleet_control::kJoinInterval;
  }
  const TimePoint asked = this->clock.now();
  const bool silent =
    asked - this->contactAnsweredAt >= this->joinLimits.answer;
  if (silent || asked - *this->contactsKnownAt >= this->joinLimits.state) {
    if (silent) {
      this->directory.replaceContacts();
    }
    this->finishJoining();
  }
  return fleet_control::kAskInterval / 2 +
         randomPart(fleet_control::kAskInterval);
}

template<FleetStoreLike Store>
void
FleetControl<Store>::refreshPeers(TimePoint aNow)
{
  using namespace fleet_control;
  const std::vector<Address>& contacts = this->directory.contacts();
  if (!this->fetchSnapshot || this->directory.isContact() || contacts.empty()) {
    return;
  }
  const Duration interval = this->peerFetches < kFirstPeerFetches.size()
                              ? kFirstPeerFetches[this->peerFetches]
                              : kPeerFetchInterval;
  if (aNow - this->peersFetchedAt < interval) {
    return;
  }
  this->peersFetchedAt = aNow;
  SnapshotQuery query;
  query.newerConfig = kNoConfig;
  query.relays = true;
  const Address contact = contacts[this->nextContact++ % contacts.size()];
  if (this->applySnapshotOf(contact, query)) {
    ++this->peerFetches;
  }
}

} // namespace poplartrack
