#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** The failed and slow replicas that one relay reports. */
struct LossReport
{
  /** Replicas that are certainly lost: their endpoint has restarted, or
   * another replica's stalled work is blocked on them. */
  std::set<std::string> confirmed;
  /** Replicas that the relay itself cannot reach. */
  std::set<std::string> unreachable;
  /** Slow replicas, each with how many times as long as declared its work
   * takes. */
  std::map<std::string, double> slow;

  friend bool operator==(const LossReport&, const LossReport&) = default;
};

/** What a new report of a relay changes. */
struct LossReportChange
{
  /** The report differs from the one before. */
  bool differs = false;
  /** Replicas that the relay took for lost before and no longer does. */
  std::set<std::string> withdrawn;
};

/**
 * What the other relays report of replicas. A replica that only one relay
 * cannot reach may be healthy, and that relay may be the one that is cut off,
 * so a replica counts as lost when several relays cannot reach it.
 *
 * No replica is ever blocked on the first replica of a path. Without counting
 * the relays that cannot reach it, a leader that has no work there would order
 * a dead neighbour to extend its layers, and the zone would stay incomplete.
 * Not thread-safe.
 */
class LossReports
{
public:
  /** Stores a relay's report; returns what has changed since its previous one.
   */
  LossReportChange onPeer(const std::string& aPeer,
                          LossReport aReport,
                          TimePoint aNow);
  /** Sets the number of replicas in the list, which bounds how many count as
   * lost by the votes of relays that cannot reach them; see mostExcluded(). */
  void setListed(std::size_t aListed);
  /** Drops the reports of relays that have been silent for too long. */
  void expire(TimePoint aNow);

  /**
   * Returns whether there is enough evidence that the replica is lost.
   * @param aOwn whether this relay cannot reach it either
   * @param aRelays number of known relays, this one included
   */
  [[nodiscard]] bool lost(const std::string& aReplica,
                          bool aOwn,
                          std::size_t aRelays) const;
  /** Returns the greatest slowdown that any relay reports; 1 when none does. */
  [[nodiscard]] double slowdown(const std::string& aReplica) const;
  /** Returns all replicas that some relay reports as lost or unreachable. */
  [[nodiscard]] std::set<std::string> suspects() const;
  /** Returns all replicas that some relay reports as slow. */
  [[nodiscard]] std::set<std::string> slow() const;

  /** The relays that report a replica as lost, unreachable or slow. */
  struct Reporters
  {
    std::size_t count = 0;
    /** One of them; empty if there is none. */
    std::string first;
  };
  [[nodiscard]] Reporters reporters(const std::string& aReplica) const;
  /** Returns the relays that take the replica for lost, in order. */
  [[nodiscard]] std::vector<std::string> lostFor(
    const std::string& aReplica) const;

private:
  struct Peer
  {
    LossReport report;
    TimePoint receivedAt;
  };

  /** What all relays together report of one replica. */
  struct Tally
  {
    bool confirmed = false;
    std::size_t unreachable = 0;
    double slowdown = 1;
    /** Too many others are unreachable for more relays. */
    bool beyondBound = false;
  };

  void updateTallies();
  void boundVotes();

  std::map<std::string, Peer> peers;
  /** By replica; only those that some relay reports. Kept as a sum, since every
   * path search reads it for every replica and reports change rarely. */
  std::map<std::string, Tally> tallies;
  std::size_t listed = 0;
};

} // namespace poplartrack
