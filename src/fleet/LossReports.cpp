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
  this->sumUp();
  return true;
}

void
LossReports::expire(TimePoint aNow)
{
  const std::size_t silent =
    std::erase_if(this->peers, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.heard > kSilence;
    });
  if (silent > 0) {
    this->sumUp();
  }
}

void
LossReports::sumUp()
{
  this->verdicts.clear();
  for (const auto& [name, peer] : this->peers) {
    for (const std::string& replica : peer.report.blockedOn) {
      this->verdicts[replica].named = true;
    }
    for (const std::string& replica : peer.report.unreachable) {
      ++this->verdicts[replica].unreachable;
    }
    for (const auto& [replica, pace] : peer.report.slow) {
      double& slowdown = this->verdicts[replica].slowdown;
      slowdown = std::max(slowdown, pace);
    }
  }
}

bool
LossReports::lost(const std::string& aReplica,
                  bool aOwn,
                  std::size_t aRelays) const
{
  const std::size_t needed = std::max(kLeastVotes, aRelays / kOneOf);
  const std::size_t own = aOwn ? 1 : 0;
  const auto found = this->verdicts.find(aReplica);
  if (found == this->verdicts.end()) {
    return own >= needed;
  }
  const Verdict& verdict = found->second;
  return verdict.named || own + verdict.unreachable >= needed;
}

double
LossReports::slowdown(const std::string& aReplica) const
{
  const auto found = this->verdicts.find(aReplica);
  return found == this->verdicts.end() ? 1 : found->second.slowdown;
}

std::set<std::string>
LossReports::suspects() const
{
  std::set<std::string> names;
  for (const auto& [replica, verdict] : this->verdicts) {
    if (verdict.named || verdict.unreachable > 0) {
      names.insert(replica);
    }
  }
  return names;
}

std::set<std::string>
LossReports::slow() const
{
  std::set<std::string> names;
  for (const auto& [replica, verdict] : this->verdicts) {
    if (verdict.slowdown > 1) {
      names.insert(replica);
    }
  }
  return names;
}

} // namespace poplartrack
