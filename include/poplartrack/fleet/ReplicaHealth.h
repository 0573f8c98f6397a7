#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LossEvidence.h"
#include "poplartrack/fleet/LifeSign.h"

namespace poplartrack {

/** How a replica failed a request. */
enum class ReplicaFailure : std::uint8_t
{
  /** No connection or no answer in time. */
  Unreachable,
  /** Nothing listens at its address. */
  Exited,
  /** Work that passes through it has stalled. */
  Stalled,
  /** It refused a request without running it, or closed its connection. */
  Refused,
  /** It answered with an error of its own, or not in the protocol. */
  Faulty,
};

/**
 * Classifies the failure that ended a connection. A connection that is refused,
 * or that gets no response, indicates a dead replica. A connection that is
 * reset during a request does not: some replicas lose single answers this way,
 * and treating each of them as dead kept a copy that begins with such a replica
 * out of use for 4 s. If the replica is dead, the next connection attempt shows
 * it.
 *
 * @param aConnecting whether the connection was not yet established
 * @param aAnswering whether part of an answer had arrived
 */
ReplicaFailure
failureOf(bool aConnecting, bool aAnswering);

/** From this slowdown on, paths avoid a replica where they can: a part of five
 * layers then takes as long as a whole fast copy. */
constexpr double kDegradedSlowdown = 2.5;

/** A replica that is considered dead. */
struct LossMark
{
  LossEvidence evidence = LossEvidence::Silence;
  /** Since when it has shown no sign of life. */
  TimePoint since{};
  /** Until when it is out of use, unless it shows a sign of life before. */
  TimePoint until{};
};

/** Tracks the health of each replica as seen by this process's own requests.
 * The shared replica list reacts later: a crashed replica stays on it for some
 * seconds. Not thread-safe. */
class ReplicaHealth
{
public:
  /**
   * @param aHeartbeat interval at which a live replica renews its registration
   */
  explicit ReplicaHealth(Duration aHeartbeat)
    : deadBackoff(3 * aHeartbeat + kListUpdateDelay)
  {
  }
  void onFailure(const std::string& aReplica,
                 ReplicaFailure aFailure,
                 TimePoint aNow);
  void onSuccess(const std::string& aReplica);
  /** Records that a replica that is considered dead has not answered another
   * status query either. */
  void onStillSilent(const std::string& aReplica, TimePoint aNow);
  /**
   * Records that the replica has answered a status query.
   * @param aAskedAt when the query was sent
   * @return whether it was considered dead and no longer is
   */
  bool onStatusAnswer(const std::string& aReplica, TimePoint aAskedAt);
  /**
   * Records that work went on that passes through the replica.
   * @param aSentAfter the replica was alive at this time or later
   * @return whether it was considered dead and no longer is
   */
  bool onProgress(const std::string& aReplica, TimePoint aSentAfter);
  /** Records how many times as long as declared its work takes, as a probe
   * reported. */
  void onSlowdown(const std::string& aReplica, double aSlowdown);
  /** Drops the state of all other replicas. */
  void keepOnly(const std::set<std::string>& aKept);
  /** Sets the number of replicas in the list. */
  void setListed(std::size_t aListed) { this->listed = aListed; }

  /** Returns whether work may be sent there. */
  [[nodiscard]] bool usable(const std::string& aReplica, TimePoint aNow) const;
  /** Returns whether it is considered dead, and has not only refused. */
  [[nodiscard]] bool dead(const std::string& aReplica, TimePoint aNow) const;
  /** Returns what it is considered dead by; nothing if it is not. */
  [[nodiscard]] std::optional<LossMark> markOf(const std::string& aReplica,
                                               TimePoint aNow) const;
  /** Returns what ended its last time out of use. */
  [[nodiscard]] LifeSign lastSign(const std::string& aReplica) const;
  /** Returns whether one more replica may be considered dead; see
   * mostExcluded(). Beyond that, failures count as refusals. */
  [[nodiscard]] bool mayName(const std::string& aReplica, TimePoint aNow) const;
  /** Returns how many times as long as declared its work takes. */
  [[nodiscard]] double slowdown(const std::string& aReplica) const;
  /** Returns the replicas that paths avoid because they are slow, with their
   * slowdown. */
  [[nodiscard]] std::map<std::string, double> degraded() const;
  /** Returns the fraction of its latest answers that were errors, 0 to 1. */
  [[nodiscard]] double errorRate(const std::string& aReplica) const;
  /** Returns the replicas that are considered dead. */
  [[nodiscard]] std::set<std::string> deadReplicas(TimePoint aNow) const;
  /** Returns the dead replicas that another replica's stalled work is blocked
   * on. One relay's report of such a replica is enough for the others. A
   * replica that only this relay cannot reach may be healthy, and this relay
   * the one that is cut off. */
  [[nodiscard]] std::set<std::string> blockedOn(TimePoint aNow) const;

private:
  struct State;
  void onLoss(State& aState, ReplicaFailure aFailure, TimePoint aNow);
  static void revive(State& aState, LifeSign aSign);

  struct State
  {
    TimePoint backoffUntil{};
    bool dead = false;
    /** Why it was last taken for dead, and when. */
    LossEvidence evidence = LossEvidence::Silence;
    TimePoint namedAt{};
    /** When it was first taken for dead since its last sign of life. */
    TimePoint silentSince{};
    bool blocksOthers = false;
    /** When the status query was sent whose answer last brought it back. */
    TimePoint answeredAt{};
    LifeSign lastSign = LifeSign::None;
    /** Until when a status answer does not end that it blocks others: it has
     * answered this relay before, and blocked them again. */
    TimePoint blocksUntil{};
    double errors = 0;
    double slowdown = 1;
  };

  /** A replica that is considered dead is not used for three heartbeats and
   * this delay. By then it has left the list, after three missed heartbeats, or
   * it is alive. Each request sent to a dead one before that would stall for
   * seconds. */
  static constexpr Duration kListUpdateDelay = std::chrono::milliseconds{ 400 };
  Duration deadBackoff;
  std::size_t listed = 0;
  /** No replica is considered dead after this time. */
  TimePoint anyDeadUntil{};
  std::unordered_map<std::string, State> states;
};

} // namespace poplartrack
