#include "poplartrack/fleet/ReplicaList.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "poplartrack/store/StoreVersion.h"

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

/** A store that lists a replica again after it had left may do so because the
 * copy that it was restored from is older. If the replica runs, its entry is
 * still listed after this time; if not, it has expired by then, after three
 * missed heartbeats. */
constexpr Duration kRestoredEntryDoubt = std::chrono::seconds{ 6 };

/** How long a replica that drains or has left is remembered. Copies that the
 * store is restored from are some seconds old. */
constexpr Duration kDepartedRetention = std::chrono::minutes{ 10 };

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
  this->removeDeparted(found, aNow);
}

/** Removes an entry, and remembers that its replica takes no more work. */
void
ReplicaList::removeDeparted(std::map<std::string, Replica>::iterator aEntry,
                            TimePoint aNow)
{
  const std::string& id = aEntry->second.id;
  const auto known = this->departures.find(id);
  const bool drained = known != this->departures.end() && known->second.drained;
  this->departures.insert_or_assign(
    id, Departure{ epochOf(this->version), drained, aNow });
  this->restored.erase(id);
  this->replicas.erase(aEntry);
}

/** Takes over an entry that the store lists. If the store was restored since
 * the replica departed, the entry may be older than that. */
void
ReplicaList::onPresent(const Replica& aReplica,
                       const ReplicaPoll& aPoll,
                       TimePoint aNow)
{
  const std::uint64_t epoch = epochOf(aPoll.next);
  Replica replica = aReplica;
  const auto departure = this->departures.find(replica.id);
  if (replica.draining) {
    this->departures.insert_or_assign(replica.id,
                                      Departure{ epoch, true, aNow });
  } else if (departure != this->departures.end()) {
    const bool isOlder = departure->second.epoch != epoch;
    // A change, unlike a listed entry, was written after the restore.
    const bool inDoubt =
      isOlder && !departure->second.drained && aPoll.fullSnapshot;
    replica.draining = isOlder && (departure->second.drained || inDoubt);
    if (inDoubt) {
      this->restored.try_emplace(replica.id, aNow);
    } else if (!replica.draining) {
      this->restored.erase(replica.id);
      this->departures.erase(departure);
    }
  }
  this->missing.erase(replica.registeredAs);
  this->replicas.insert_or_assign(replica.registeredAs, std::move(replica));
}

void
ReplicaList::onPoll(const ReplicaPoll& aPoll, TimePoint aNow)
{
  const bool isRestored = epochOf(aPoll.next) > epochOf(this->version);
  const bool isFirst = this->version == 0;
  if (std::exchange(this->storeUnavailable, false) ||
      (isRestored && !isFirst)) {
    // If the time were counted from the last failed poll, it would already be
    // over when polls are 1.5 s apart, and expired entries would count as
    // drained replicas. A restored store lacks the replicas that have
    // registered since the copy was made, and they register again as well.
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
    this->onPresent(replica, aPoll, aNow);
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

/** Lists the replicas as ready again that a restored store has kept listing.
 * Returns whether there were any. */
bool
ReplicaList::endDoubts(TimePoint aNow)
{
  bool changed = false;
  for (auto& [name, replica] : this->replicas) {
    const auto doubt = this->restored.find(replica.id);
    if (doubt != this->restored.end() &&
        aNow - doubt->second >= kRestoredEntryDoubt) {
      replica.draining = false;
      this->departures.erase(replica.id);
      this->restored.erase(doubt);
      changed = true;
    }
  }
  return changed;
}

bool
ReplicaList::expire(TimePoint aNow)
{
  std::erase_if(this->departures, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.seenAt > kDepartedRetention;
  });
  bool changed = this->endDoubts(aNow);
  for (auto entry = this->missing.begin(); entry != this->missing.end();) {
    // While the store is unavailable, no replica can register again.
    const bool reachable =
      !this->lastOutage || aNow - *this->lastOutage >= kReregisterTime;
    if (!reachable || aNow - entry->second < kReregisterTime) {
      ++entry;
      continue;
    }
    const auto replica = this->replicas.find(entry->first);
    if (replica != this->replicas.end()) {
      this->removeDeparted(replica, aNow);
    }
    entry = this->missing.erase(entry);
    changed = true;
  }
  return changed;
}

} // namespace poplartrack
