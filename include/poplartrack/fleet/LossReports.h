#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** What one relay tells of replicas that let it down. */
struct LossReport
{
  /** Named by another replica as what its work waits for. */
  std::set<std::string> blockedOn;
  /** Not reached by the relay itself. */
  std::set<std::string> unreachable;
  /** Slow, with how slow. */
  std::map<std::string, double> slow;

  friend bool operator==(const LossReport&, const LossReport&) = default;
};

/**
 * What the other relays tell of replicas. A replica that one relay alone cannot
 * reach may be well, and the relay the one that is cut off: it counts as lost
 * when several say so. The first replica of a path is named by nobody; without
 * the count the leader, which has no work there, orders a dead neighbour to
 * take layers over, and the zone stays incomplete. Not thread-safe.
 */
class LossReports
{
public:
  /** Takes a word over; true when it says something else than the last one. */
  bool onPeer(const std::string& aPeer, LossReport aReport, TimePoint aNow);
  /** Drops what relays told that have fallen silent. */
  void expire(TimePoint aNow);

  /**
   * Whether it is certain enough that the replica is lost.
   * @param aOwn this relay cannot reach it either
   * @param aRelays relays that are heard, this one included
   */
  [[nodiscard]] bool lost(const std::string& aReplica,
                          bool aOwn,
                          std::size_t aRelays) const;
  /** How slow others say that it is; 1 when none does. */
  [[nodiscard]] double slowdown(const std::string& aReplica) const;
  /** All replicas of which somebody tells a loss. */
  [[nodiscard]] std::set<std::string> suspects() const;
  /** All replicas that somebody calls slow. */
  [[nodiscard]] std::set<std::string> slow() const;

private:
  struct Peer
  {
    LossReport report;
    TimePoint heard;
  };

  /** What all relays together tell of one replica. */
  struct Verdict
  {
    bool named = false;
    std::size_t unreachable = 0;
    double slowdown = 1;
  };

  void sumUp();

  std::map<std::string, Peer> peers;
  /** By replica; only those of which somebody tells. Asked for every replica at
   * every search for a path, and changed seldom. */
  std::map<std::string, Verdict> verdicts;
};

} // namespace poplartrack
