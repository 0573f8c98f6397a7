#include "poplartrack/fleet/OutlierEjection.h"

#include <algorithm>

#include "poplartrack/fleet/ExclusionBound.h"

namespace poplartrack {
namespace {

/** Single failures happen at sound replicas too, such as a lost answer. */
constexpr std::uint32_t kFailuresToEject = 3;

/** Duration of the first ejection; each further one takes twice as long. */
constexpr Duration kFirstEjection = std::chrono::milliseconds{ 1'000 };
/** The longest ejection is 2^4 times the first, 16 s. */
constexpr std::uint32_t kMaxDoublings = 4;

/** An ejection ends after this multiple of its duration unless a trial fails. A
 * replica that fails requests at once has few in flight, so paths prefer it and
 * its trial comes earlier. */
constexpr int kUnconfirmedFactor = 4;

/** A trial without a result after this time was not sent, or was cancelled. */
constexpr Duration kTrialTimeout = std::chrono::milliseconds{ 1'000 };

/** Peers that must report a replica that has not failed here. */
constexpr std::size_t kPeersToEject = 2;

/** Relays report five times a second, to other zones half as often. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

/** How long a report that cannot hold all ejected replicas names the same ones.
 * Each other zone receives one message in this time. */
constexpr Duration kReportTurn = std::chrono::milliseconds{ 400 };

} // namespace

bool
OutlierEjection::onFailure(const std::string& aReplica,
                           TimePoint aSentAt,
                           TimePoint aNow)
{
  State& state = this->states[aReplica];
  ++state.failures;
  // Requests that were in flight when the replica was ejected prove nothing
  // new, also if they end during a trial.
  const bool failedTrial = state.trialSentAt && aSentAt >= *state.trialSentAt;
  const bool eject =
    state.ejections == 0 ? state.failures >= kFailuresToEject : failedTrial;
  if (!eject || (state.ejections == 0 &&
                 this->ejected().size() >= mostExcluded(this->listed))) {
    return false;
  }
  const std::uint32_t doublings = std::min(state.ejections, kMaxDoublings);
  const Duration duration = kFirstEjection * (1U << doublings);
  state.nextTrialAt = aNow + duration;
  state.endsAt = aNow + duration * kUnconfirmedFactor;
  state.trialSentAt.reset();
  ++state.ejections;
  return true;
}

bool
OutlierEjection::onSuccess(const std::string& aReplica)
{
  const auto found = this->states.find(aReplica);
  if (found == this->states.end()) {
    return false;
  }
  const bool wasEjected = found->second.ejections > 0;
  this->states.erase(found);
  return wasEjected;
}

void
OutlierEjection::onSent(const std::string& aReplica, TimePoint aNow)
{
  const auto found = this->states.find(aReplica);
  if (found == this->states.end() || found->second.ejections == 0) {
    return;
  }
  State& state = found->second;
  if (aNow >= state.nextTrialAt) {
    // A trial may fail after the next one was sent.
    state.trialSentAt = state.trialSentAt.value_or(aNow);
    state.nextTrialAt = aNow + kTrialTimeout;
  }
}

void
OutlierEjection::onPeer(const std::string& aPeer,
                        const std::vector<std::string>& aEjected,
                        TimePoint aNow)
{
  if (aEjected.size() < kMaxReported) {
    this->peers.erase(aPeer);
  }
  for (const std::string& replica : aEjected) {
    this->peers[aPeer].insert_or_assign(replica, aNow);
  }
}

std::vector<std::string>
OutlierEjection::expire(TimePoint aNow)
{
  for (auto& [peer, reported] : this->peers) {
    std::erase_if(reported, [aNow](const auto& aRow) {
      return aNow - aRow.second > kPeerTimeout;
    });
  }
  std::erase_if(this->peers,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::vector<std::string> ended;
  std::erase_if(this->states, [&](const auto& aEntry) {
    const bool ends =
      aEntry.second.ejections > 0 && aNow >= aEntry.second.endsAt;
    if (ends) {
      ended.push_back(aEntry.first);
    }
    return ends;
  });
  return ended;
}

void
OutlierEjection::keepOnly(const std::set<std::string>& aKept)
{
  std::erase_if(this->states, [&](const auto& aEntry) {
    return !aKept.contains(aEntry.first);
  });
}

std::size_t
OutlierEjection::peersThatEjected(const std::string& aReplica) const
{
  return static_cast<std::size_t>(std::count_if(
    this->peers.begin(), this->peers.end(), [&](const auto& aEntry) {
      return aEntry.second.contains(aReplica);
    }));
}

bool
OutlierEjection::mayBegin(const std::string& aReplica, TimePoint aNow) const
{
  const auto found = this->states.find(aReplica);
  const bool hasFailed = found != this->states.end();
  if (hasFailed && found->second.ejections > 0) {
    return aNow >= found->second.nextTrialAt;
  }
  const std::size_t needed = hasFailed ? 1 : kPeersToEject;
  return this->peersThatEjected(aReplica) < needed;
}

std::vector<std::string>
OutlierEjection::ejected() const
{
  std::vector<std::string> names;
  for (const auto& [replica, state] : this->states) {
    if (state.ejections > 0) {
      names.push_back(replica);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<std::string>
OutlierEjection::report(TimePoint aNow) const
{
  std::vector<std::string> names = this->ejected();
  if (names.size() <= kMaxReported) {
    return names;
  }
  const auto turn =
    static_cast<std::size_t>(aNow.time_since_epoch() / kReportTurn);
  const std::size_t first = turn * kMaxReported % names.size();
  std::rotate(names.begin(),
              names.begin() + static_cast<std::ptrdiff_t>(first),
              names.end());
  names.resize(kMaxReported);
  return names;
}

} // namespace poplartrack
