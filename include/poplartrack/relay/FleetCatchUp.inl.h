#pragma once

// Reading what other relays have had for a while, beside a look that hangs.

namespace poplartrack {
namespace fleet_control {

/** Another relay has had something newer for this long: the look that is under
 * way will not bring it. An answer of the store takes some ms. */
constexpr Duration kBehind = std::chrono::milliseconds{ 300 };

/** An outage of the store that others told of lasts until nobody has spoken of
 * it for this long: three words between zones. */
constexpr Duration kOutageLasts = std::chrono::milliseconds{ 1'200 };

/** Pause between two checks whether something newer must be read beside the
 * look that is under way. */
constexpr Duration kCatchUpPause = std::chrono::milliseconds{ 100 };

/** Longest time for a read beside a look that hangs. It must end, in an answer
 * or an error, before the age at which a configuration is not used any more
 * without an error of the store: StorePollSchedule asks that much sooner. */
constexpr Duration kCatchUpRead = StorePollSchedule::kProofRead;

} // namespace fleet_control

/** How long a newer list may be known elsewhere before it is read here. Those
 * who look pause after each change, so one zone may have it that much before
 * those who look in the next one do, and tell. */
template<FleetStoreLike Store>
Duration
FleetControl<Store>::catchUpDelay() const
{
  return fleet_control::kBehind + this->gatherPause();
}

/** Reads the configuration when another relay has had a newer one for a while,
 * or when no relay's proof is recent: the look that is under way may wait on a
 * connection that has fallen silent. */
template<FleetStoreLike Store>
Duration
FleetControl<Store>::catchUpConfig()
{
  const TimePoint now = this->clock.now();
  const auto config = this->shared.config.read();
  const std::uint64_t heard = this->shared.peerConfigVersion;
  if (config == nullptr || heard <= config->version) {
    this->configBehind.reset();
  } else if (!this->configBehind) {
    this->configBehind = now;
  }
  const bool behind =
    this->configBehind && now - *this->configBehind >= fleet_control::kBehind;
  const TimePoint outage{ Duration{ this->shared.peersSawOutageAt.load() } };
  const bool away = now - outage < fleet_control::kOutageLasts;
  if (!this->shared.polls) {
    // What those that look learn of the store holds for this relay too: nobody
    // else need ask a store that is away.
    this->configReachable = !away;
    this->shared.configPollFailed = away;
  }
  // A thread whose look has failed asks again by itself.
  const bool proofOld =
    config != nullptr && this->configReachable &&
    StorePollSchedule::wantsProof(this->shared.freshness.age(),
                                  now - this->proofAsked,
                                  this->settings.configDeadline);
  if (!this->leaving && (behind || proofOld)) {
    this->configBehind.reset();
    this->proofAsked = now;
    this->onConfigAnswer(this->store.readConfig(fleet_control::kCatchUpRead));
  }
  return fleet_control::kCatchUpPause;
}

/** Reads the list when another relay has had a newer one for a while. */
template<FleetStoreLike Store>
Duration
FleetControl<Store>::catchUpReplicas()
{
  const TimePoint now = this->clock.now();
  const std::uint64_t heard = this->shared.peerListVersion;
  if (heard <= this->shared.replicas.read()->changed ||
      heard <= this->listCaughtUp) {
    this->listBehind.reset();
  } else if (!this->listBehind) {
    this->listBehind = now;
  } else if (now - *this->listBehind >= this->catchUpDelay()) {
    this->listBehind.reset();
    const Result<ReplicaPoll> poll =
      this->store.readReplicas(fleet_control::kCatchUpRead);
    const std::scoped_lock lock{ this->listGuard };
    if (poll) {
      this->listCaughtUp = heard;
      this->onReplicas(poll.value(), this->clock.now());
    }
  }
  return fleet_control::kCatchUpPause;
}

} // namespace poplartrack
