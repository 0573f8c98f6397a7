#include "poplartrack/fleet/ReplicaList.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace poplartrack {
namespace {

/** Time after an outage in which replicas whose entries expired register again.
 * The platform promises about two seconds. */
constexpr Duration kReregisterTime = std::chrono::milliseconds{ 2'000 };

/** A removal that is seen within this time of the first successful poll after
 * an outage counts as an entry that expired during the outage. Later removals
 * are replicas that drain, and work sent to them would exceed the time limit
 * for draining. The outage may also have affected only this relay; then no
 * entry expired. */
constexpr Duration kOutageWindow = std::chrono::milliseconds{ 600 };

} // namespace

bool
ReplicaList::nearOutage(TimePoint aNow) const
{
  return this->lastOutage && aNow - *this->lastOutage < kOutageWindow;
}

void
ReplicaList::onRemoved(const std::string& aName, TimePoint aNow)
{
  const auto found = this->replicas.find(aName);
  if (found == this->replicas.end()) {
    return;
  }
  // A replica that was already draining does not register again.
  if (this->nearOutage(aNow) && !found->second.draining) {
    this->missing.emplace(aName, aNow);
    return;
  }
  this->missing.erase(aName);
  this->replicas.erase(found);
}

void
ReplicaList::onPoll(const ReplicaPoll& aPoll, TimePoint aNow)
{
  if (std::exchange(this->storeUnavailable, false)) {
    // If the time were counted from the last failed poll, it would already be
    // over when polls are 1.5 s apart, and expired entries would count as
    // drained replicas.
    this->lastOutage = aNow;
  }
  // Two threads poll. Without this check, an older result that arrives after a
  // newer one would restore a replica that has started draining since. Its
  // entry does not change again, so it would get work until it exited, seconds
  // past the limit. The result with the later version contains all changes of
  // the earlier one.
  if (aPoll.next < this->version) {
    return;
  }
  this->version = aPoll.next;
  const bool unchanged = !aPoll.fullSnapshot && aPoll.present.empty() &&
                         aPoll.removed.empty() && aPoll.unreadable.empty();
  if (!unchanged) {
    this->unchangedFrom = aPoll.next;
  }
  this->lastChange = std::max(this->lastChange, aPoll.lastChange);
  std::set<std::string> listed;
  for (const Replica& replica : aPoll.present) {
    this->missing.erase(replica.registeredAs);
    this->replicas.insert_or_assign(replica.registeredAs, replica);
    listed.insert(replica.registeredAs);
  }
  for (const std::string& name : aPoll.removed) {
    this->onRemoved(name, aNow);
  }
  // An unreadable entry may say that the replica drains, so the replica gets no
  // new work until its entry can be read again.
  for (const UnreadableEntry& entry : aPoll.unreadable) {
    this->missing.erase(entry.name);
    this->replicas.erase(entry.name);
  }
  if (!aPoll.fullSnapshot) {
    return;
  }
  std::vector<std::string> unlisted;
  for (const auto& [name, replica] : this->replicas) {
    if (!listed.contains(name)) {
      unlisted.push_back(name);
    }
  }
  for (const std::string& name : unlisted) {
    this->onRemoved(name, aNow);
  }
}

void
ReplicaList::onUnreachable(TimePoint aNow)
{
  this->lastOutage = aNow;
  this->storeUnavailable = true;
}

bool
ReplicaList::expire(TimePoint aNow)
{
  bool dropped = false;
  for (auto entry = this->missing.begin(); entry != this->missing.end();) {
    // While the store is unavailable, no replica can register again.
    const bool reachable =
      !this->lastOutage || aNow - *this->lastOutage >= kReregisterTime;
    if (!reachable || aNow - entry->second < kReregisterTime) {
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
