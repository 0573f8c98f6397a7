#include "poplartrack/fleet/StallSuspects.h"

#include <algorithm>
#include <map>

namespace poplartrack {
namespace {

/** A stream is late after this many quarters of its expected gap, that is 1.75
 * times the gap. */
constexpr int kLateQuarters = 7;

/** A stream is never late earlier than this. */
constexpr Duration kMinLate = std::chrono::milliseconds{ 60 };

/** A replica that an event passed through within this time is alive. */
constexpr Duration kRecentEvent = std::chrono::milliseconds{ 40 };

/** A probe without an answer for this long no longer shows that this relay may
 * be cut off. A replica that is still suspect is probed again before. */
constexpr Duration kOpenTime = 2 * StallSuspects::kMinProbeInterval;

/** A relay that received something from a replica or a peer within this time is
 * not cut off. Peers of the zone send a status message every 200 ms. */
constexpr Duration kHeardTime = std::chrono::milliseconds{ 250 };

} // namespace

Duration
StallSuspects::lateAfter(Duration aExpectedGap)
{
  return std::max(aExpectedGap * kLateQuarters / 4, kMinLate);
}

std::unordered_map<std::string_view, TimePoint>
StallSuspects::recordEvents(std::span<const StreamProgress> aStreams)
{
  std::unordered_map<std::string_view, TimePoint> lastEvents;
  for (const StreamProgress& stream : aStreams) {
    if (!stream.running) {
      continue;
    }
    this->replicaHeardAt = std::max(this->replicaHeardAt, stream.lastEvent);
    for (const PathPart& part : stream.parts) {
      TimePoint& last = lastEvents[part.replica];
      last = std::max(last, stream.lastEvent);
    }
  }
  for (auto& [replica, probe] : this->probes) {
    const auto found = lastEvents.find(replica);
    if (found != lastEvents.end() && found->second > probe.probedAt) {
      probe.open = false;
    }
  }
  return lastEvents;
}

SuspectCheck
StallSuspects::check(std::span<const StreamProgress> aStreams,
                     const std::set<std::string>& aReported,
                     TimePoint aNow)
{
  const auto lastEvents = this->recordEvents(aStreams);
  const auto isAlive = [&](const std::string& aReplica) {
    const auto last = lastEvents.find(aReplica);
    return last != lastEvents.end() && aNow - last->second <= kRecentEvent &&
           !aReported.contains(aReplica);
  };
  SuspectCheck result;
  // Ordered, so that equal inputs give equal results.
  std::map<std::string_view, const PathPart*> suspects;
  for (const StreamProgress& stream : aStreams) {
    if (aNow - stream.lastEvent < lateAfter(stream.expectedGap)) {
      continue;
    }
    ++result.late;
    for (const PathPart& part : stream.parts) {
      if (!isAlive(part.replica)) {
        suspects.emplace(part.replica, &part);
      }
    }
  }
  for (const auto& [replica, part] : suspects) {
    Probe& probe = this->probes[part->replica];
    if (probe.probedAt == TimePoint{} ||
        aNow - probe.probedAt >= kMinProbeInterval) {
      probe.probedAt = aNow;
      probe.open = true;
      probe.unreached = false;
      result.toProbe.push_back(*part);
    } else if (this->showsLoss(probe, suspects.size() == 1)) {
      probe.open = false;
      result.lost.push_back(part->replica);
    }
  }
  return result;
}

bool
StallSuspects::heardAfter(TimePoint aTime) const
{
  return std::max(this->replicaHeardAt, this->peerHeardAt) > aTime;
}

bool
StallSuspects::showsLoss(const Probe& aProbe, bool aAlone) const
{
  return aProbe.open && aProbe.unreached &&
         (aAlone || this->heardAfter(aProbe.probedAt));
}

void
StallSuspects::onNotProbed(const std::string& aReplica)
{
  const auto found = this->probes.find(aReplica);
  if (found != this->probes.end()) {
    found->second.open = false;
  }
}

void
StallSuspects::onAnswer(const std::string& aReplica, TimePoint aNow)
{
  this->replicaHeardAt = std::max(this->replicaHeardAt, aNow);
  const auto found = this->probes.find(aReplica);
  if (found != this->probes.end()) {
    found->second.open = false;
  }
}

bool
StallSuspects::onUnreached(const std::string& aReplica, TimePoint aNow)
{
  const auto found = this->probes.find(aReplica);
  if (found == this->probes.end() || !found->second.open) {
    return this->heardAfter(aNow - kHeardTime);
  }
  Probe& probe = found->second;
  const bool alone = std::none_of(
    this->probes.begin(), this->probes.end(), [&](const auto& aEntry) {
      return aEntry.first != aReplica && aEntry.second.open &&
             aNow - aEntry.second.probedAt < kOpenTime;
    });
  probe.unreached = true;
  probe.open = !alone && !this->heardAfter(probe.probedAt);
  return !probe.open;
}

void
StallSuspects::keepOnly(const std::set<std::string>& aKept)
{
  std::erase_if(this->probes, [&](const auto& aEntry) {
    return !aKept.contains(aEntry.first);
  });
}

} // namespace poplartrack
