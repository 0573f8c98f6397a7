#include "poplartrack/fleet/LossReports.h"

#include <algorithm>
#include <utility>

namespace poplartrack {
namespace {

/** Words come five times a second, from other zones half as often. */
constexpr Duration kSilence = std::chrono::seconds{ 2 };

/** Relays that must fail to reach a replica: one in four of those that are
 * heard. A cut between some relays and a replica leaves it to the others. */
constexpr std::size_t kOneOf = 4;
constexpr std::size_t kLeastVotes = 2;

} // namespace

bool
LossReports::onPeer(const std::string& aPeer,
                    LossReport aReport,
                    TimePoint aNow)
{
  Peer& peer = this->peers[aPeer];
  peer.heard = aNow;
  if (peer.report == aReport) {
    return false;
  }
  peer.report = std::move(aReport);
  return true;
}

void
LossReports::expire(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.heard > kSilence;
  });
}

bool
LossReports::lost(const std::string& aReplica,
                  bool aOwn,
                  std::size_t aRelays) const
{
  std::size_t votes = aOwn ? 1 : 0;
  for (const auto& [name, peer] : this->peers) {
    if (peer.report.named.contains(aReplica)) {
      return true;
    }
    votes += peer.report.unreachable.contains(aReplica) ? 1 : 0;
  }
  return votes >= std::max(kLeastVotes, aRelays / kOneOf);
}

double
LossReports::slowdown(const std::string& aReplica) const
{
  double most = 1;
  for (const auto& [name, peer] : this->peers) {
    const auto found = peer.report.slow.find(aReplica);
    if (found != peer.report.slow.end()) {
      most = std::max(most, found->second);
    }
  }
  return most;
}

std::set<std::string>
LossReports::suspects() const
{
  std::set<std::string> names;
  for (const auto& [name, peer] : this->peers) {
    names.insert(peer.report.named.begin(), peer.report.named.end());
    names.insert(peer.report.unreachable.begin(),
                 peer.report.unreachable.end());
  }
  return names;
}

std::set<std::string>
LossReports::slow() const
{
  std::set<std::string> names;
  for (const auto& [name, peer] : this->peers) {
    for (const auto& [replica, pace] : peer.report.slow) {
      names.insert(replica);
    }
  }
  return names;
}

} // namespace poplartrack
