#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/FleetPolls.h"
#include "poplartrack/fleet/ReplicaView.h"

namespace poplartrack {

/**
 * The replicas as the store lists them, kept through outages of the store.
 *
 * Entries expire while the store is unavailable although the replicas still
 * serve; they register again within about two seconds after it is available
 * again. An entry that disappears around an outage is therefore kept for that
 * long; otherwise a short outage would empty the list and every request would
 * be refused. Entries that disappear while the store is available are removed
 * at once, because those replicas are draining.
 *
 * A store that was restored from an older copy lists replicas as they were when
 * the copy was made. What they wrote since is written again within seconds; a
 * replica that was draining by then does not become ready again, and one that
 * had left does not come back. Pure; not thread-safe.
 */
class ReplicaList
{
public:
  /** Applies the result of a successful poll. A result older than the list's
   * version changes no entry. */
  void onPoll(const ReplicaPoll& aPoll, TimePoint aNow);
  /** Records that a poll failed. */
  void onUnreachable(TimePoint aNow);
  /** Drops entries that were not registered again in time, and lists those
   * again that a restored store has kept. Returns whether the list has changed.
   */
  bool expire(TimePoint aNow);

  /** Returns whether entries are missing that may still be registered again. */
  [[nodiscard]] bool uncertain() const
  {
    return !this->missing.empty() || !this->restored.empty();
  }

  [[nodiscard]] ReplicaView view() const
  {
    ReplicaView view = ReplicaView::of(this->version, this->replicas);
    view.lastChange = this->lastChange;
    return view;
  }
  /** Returns the version up to which all changes are applied. */
  [[nodiscard]] std::uint64_t knownVersion() const { return this->version; }
  /** Returns the oldest version from which no entry is known to have changed up
   * to knownVersion(). Polls without changes move only knownVersion(). */
  [[nodiscard]] std::uint64_t unchangedSince() const
  {
    return this->unchangedFrom;
  }
  [[nodiscard]] std::size_t size() const { return this->replicas.size(); }

private:
  /** How a replica stopped taking work. */
  struct Departure
  {
    /** Epoch of the store in which this was last seen. */
    std::uint64_t epoch = 0;
    /** Its entry said that it drains; otherwise the entry was removed. */
    bool drained = false;
    TimePoint seenAt;
  };

  void onPresent(const Replica& aReplica,
                 const ReplicaPoll& aPoll,
                 TimePoint aNow);
  void onRemoved(const std::string& aName, TimePoint aNow);
  void removeDeparted(std::map<std::string, Replica>::iterator aEntry,
                      TimePoint aNow);
  bool endDoubts(TimePoint aNow);
  [[nodiscard]] bool nearOutage(TimePoint aNow) const;

  /** By registered name. */
  std::map<std::string, Replica> replicas;
  /** Registered names of entries that disappeared around an outage, and when.
   */
  std::map<std::string, TimePoint> missing;
  /** By id of the replica. */
  std::map<std::string, Departure> departures;
  /** Ids of replicas that had been removed and that a restored store lists
   * again, and since when. Meanwhile they are listed as draining. */
  std::map<std::string, TimePoint> restored;
  /** Time of the latest failed poll, or of the first successful one after it.
   */
  std::optional<TimePoint> lastOutage;
  bool storeUnavailable = false;
  std::uint64_t version = 0;
  std::uint64_t unchangedFrom = 0;
  std::uint64_t lastChange = 0;
};

} // namespace poplartrack
