#include "poplartrack/fleet/LossReports.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "poplartrack/fleet/ExclusionBound.h"

namespace poplartrack {
namespace {

/** Age at which a relay's report is dropped. Reports arrive five times a
 * second, from other zones half as often. */
constexpr Duration kPeerTimeout = std::chrono::seconds{ 2 };

/** A replica counts as lost when at least kMinVotes relays, and one in
 * kRelaysPerVote of the known ones, cannot reach it. If fewer cannot, they may
 * be cut off from it, and the other relays keep using it. */
constexpr std::size_t kRelaysPerVote = 4;
constexpr std::size_t kMinVotes = 2;

/** Returns whether the report says that the replica is lost. */
bool
saysLost(const LossReport& aReport, const std::string& aReplica)
{
  return aReport.confirmed.contains(aReplica) ||
         aReport.unreachable.contains(aReplica);
}

} // namespace

LossReportChange
LossReports::onPeer(const std::string& aPeer,
                    LossReport aReport,
                    TimePoint aNow)
{
  Peer& peer = this->peers[aPeer];
  peer.receivedAt = aNow;
  if (peer.report == aReport) {
    return {};
  }
  LossReportChange change;
  change.differs = true;
  for (const auto* named :
       { &peer.report.confirmed, &peer.report.unreachable }) {
    std::copy_if(named->begin(),
                 named->end(),
                 std::inserter(change.withdrawn, change.withdrawn.end()),
                 [&](const std::string& aReplica) {
                   return !saysLost(aReport, aReplica);
                 });
  }
  peer.report = std::move(aReport);
  this->updateTallies();
  return change;
}

void
LossReports::expire(TimePoint aNow)
{
  const std::size_t silent =
    std::erase_if(this->peers, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.receivedAt > kPeerTimeout;
    });
  if (silent > 0) {
    this->updateTallies();
  }
}

void
LossReports::updateTallies()
{
  this->tallies.clear();
  for (const auto& [name, peer] : this->peers) {
    for (const std::string& replica : peer.report.confirmed) {
      this->tallies[replica].confirmed = true;
    }
    for (const std::string& replica : peer.report.unreachable) {
      ++this->tallies[replica].unreachable;
    }
    for (const auto& [replica, factor] : peer.report.slow) {
      double& slowdown = this->tallies[replica].slowdown;
      slowdown = std::max(slowdown, factor);
    }
  }
  this->boundVotes();
}

void
LossReports::boundVotes()
{
  std::vector<Tally*> voted;
  for (auto& [replica, tally] : this->tallies) {
    if (tally.unreachable > 0) {
      voted.push_back(&tally);
    }
  }
  const std::size_t most = mostExcluded(this->listed);
  if (voted.size() <= most) {
    return;
  }
  std::stable_sort(
    voted.begin(), voted.end(), [](const Tally* aLeft, const Tally* aRight) {
      return aLeft->unreachable > aRight->unreachable;
    });
  for (std::size_t i = most; i < voted.size(); ++i) {
    voted[i]->beyondBound = true;
  }
}

void
LossReports::setListed(std::size_t aListed)
{
  if (this->listed != aListed) {
    this->listed = aListed;
    this->updateTallies();
  }
}

bool
LossReports::lost(const std::string& aReplica,
                  bool aOwn,
                  std::size_t aRelays) const
{
  const std::size_t needed = std::max(kMinVotes, aRelays / kRelaysPerVote);
  const std::size_t own = aOwn ? 1 : 0;
  const auto found = this->tallies.find(aReplica);
  if (found == this->tallies.end()) {
    return own >= needed;
  }
  const Tally& tally = found->second;
  return tally.confirmed ||
         (!tally.beyondBound && own + tally.unreachable >= needed);
}

double
LossReports::slowdown(const std::string& aReplica) const
{
  const auto found = this->tallies.find(aReplica);
  return found == this->tallies.end() ? 1 : found->second.slowdown;
}

LossReports::Reporters
LossReports::reporters(const std::string& aReplica) const
{
  Reporters found;
  for (const auto& [name, peer] : this->peers) {
    const LossReport& report = peer.report;
    if (report.confirmed.contains(aReplica) ||
        report.unreachable.contains(aReplica) ||
        report.slow.contains(aReplica)) {
      found.first = found.count == 0 ? name : found.first;
      ++found.count;
    }
  }
  return found;
}

std::vector<std::string>
LossReports::lostFor(const std::string& aReplica) const
{
  std::vector<std::string> relays;
  for (const auto& [name, peer] : this->peers) {
    if (saysLost(peer.report, aReplica)) {
      relays.push_back(name);
    }
  }
  return relays;
}

std::set<std::string>
LossReports::suspects() const
{
  std::set<std::string> names;
  for (const auto& [replica, tally] : this->tallies) {
    if (tally.confirmed || tally.unreachable > 0) {
      names.insert(replica);
    }
  }
  return names;
}

std::set<std::string>
LossReports::slow() const
{
  std::set<std::string> names;
  for (const auto& [replica, tally] : this->tallies) {
    if (tally.slowdown > 1) {
      names.insert(replica);
    }
  }
  return names;
}

} // namespace poplartrack
