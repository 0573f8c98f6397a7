#include "poplartrack/fleet/ReplicaList.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace poplartrack {
namespace {

/** Entries that lapsed are back this long after the store's return; the
 * platform promises about two seconds. */
constexpr Duration kComeBack = std::chrono::milliseconds{ 2'000 };

/** A removal that is seen this soon after the first look that was answered
 * again happened while the store was away. Later ones are replicas that leave,
 * and work sent to them would break the bound on leaving ones: an outage may
 * also be one of this relay alone, in which nothing lapsed. */
constexpr Duration kAroundOutage = std::chrono::milliseconds{ 600 };

} // namespace

bool
ReplicaList::troubled(TimePoint aNow) const
{
  return this->lastTrouble && aNow - *this->lastTrouble < kAroundOutage;
}

void
ReplicaList::lose(const std::string& aName, TimePoint aNow)
{
  const auto found = this->replicas.find(aName);
  if (found == this->replicas.end()) {
    return;
  }
  // One that had said that it is leaving has left.
  if (this->troubled(aNow) && !found->second.draining) {
    this->missing.emplace(aName, aNow);
    return;
  }
  this->missing.erase(aName);
  this->replicas.erase(found);
}

void
ReplicaList::onPoll(const ReplicaPoll& aPoll, TimePoint aNow)
{
  if (std::exchange(this->away, false)) {
    // Counted from the last look that failed, the time was over when looks were
    // a second and a half apart, and what had lapsed was taken for leaving.
    this->lastTrouble = aNow;
  }
  // Two threads look. What one read before the other's answer was taken over
  // would bring a replica back that has said since that it leaves; its entry
  // does not change again, so work went to it until it ended, seconds past the
  // bound. Whoever answers for a later moment has all that the earlier one had.
  if (aPoll.next < this->version) {
    return;
  }
  this->version = aPoll.next;
  this->lastChange = std::max(this->lastChange, aPoll.lastChange);
  std::set<std::string> listed;
  for (const Replica& replica : aPoll.present) {
    this->missing.erase(replica.registeredAs);
    this->replicas.insert_or_assign(replica.registeredAs, replica);
    listed.insert(replica.registeredAs);
  }
  for (const std::string& name : aPoll.removed) {
    this->lose(name, aNow);
  }
  // What cannot be read may say that the replica leaves: it takes no new work
  // until it can be read again.
  for (const UnreadableEntry& entry : aPoll.unreadable) {
    this->missing.erase(entry.name);
    this->replicas.erase(entry.name);
  }
  if (!aPoll.fullSnapshot) {
    return;
  }
  std::vector<std::string> absent;
  for (const auto& [name, replica] : this->replicas) {
    if (!listed.contains(name)) {
      absent.push_back(name);
    }
  }
  for (const std::string& name : absent) {
    this->lose(name, aNow);
  }
}

void
ReplicaList::onUnreachable(TimePoint aNow)
{
  this->lastTrouble = aNow;
  this->away = true;
}

bool
ReplicaList::expire(TimePoint aNow)
{
  bool dropped = false;
  for (auto entry = this->missing.begin(); entry != this->missing.end();) {
    // While the store is out of reach nobody can come back.
    const bool reachable =
      !this->lastTrouble || aNow - *this->lastTrouble >= kComeBack;
    if (!reachable || aNow - entry->second < kComeBack) {
      ++entry;
      continue;
    }
    this->replicas.erase(entry->first);
    entry = this->missing.erase(entry);
    dropped = true;
  }
  return dropped;
}

} // namespace poplartrack
