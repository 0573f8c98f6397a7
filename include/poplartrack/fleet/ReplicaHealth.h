#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** How a replica let a request down. */
enum class ReplicaFailure : std::uint8_t
{
  /** No connection, or a connection that ended under a request. */
  Unreachable,
  /** Work that passes through it stands still. */
  Stalled,
  /** It refused a request without running it. */
  Refused,
  /** It answered with an error of its own, or not in the protocol. */
  Faulty,
};

/**
 * What the end of a connection says of its replica. One that is refused or
 * stays silent speaks of a dead replica. One that is reset under a request does
 * not: some replicas lose single answers so, and taking each for dead kept the
 * copy that begins with it out of use for 4 s. If it is dead, the next
 * connection tells.
 *
 * @param aConnecting the connection had not been made yet
 * @param aAnswering part of an answer had come
 */
ReplicaFailure
failureOf(bool aConnecting, bool aAnswering);

/** From this slowdown on, work goes round a replica where it can: a part of
 * five layers then takes as long as a whole fast copy. */
constexpr double kDegradedSlowdown = 2.5;

/**
 * What this process has learned about each replica from its own requests. The
 * shared list is late: a replica that has crashed stays on it for some
 * seconds. Not thread-safe.
 */
class ReplicaHealth
{
public:
  /** @param aHeartbeat how often a replica that lives registers again */
  explicit ReplicaHealth(Duration aHeartbeat)
    : deadRest(3 * aHeartbeat + kListDelay)
  {
  }
  void onFailure(const std::string& aReplica,
                 ReplicaFailure aFailure,
                 TimePoint aNow);
  void onSuccess(const std::string& aReplica);
  /** A probe told how many times as long as declared its work takes. */
  void onSlowdown(const std::string& aReplica, double aPace);
  /** Drops what is known of replicas that are no longer listed. */
  void keepOnly(const std::set<std::string>& aListed);

  /** Whether work may be sent there. */
  [[nodiscard]] bool usable(const std::string& aReplica, TimePoint aNow) const;
  /** Whether it is taken to be dead, not only to refuse. */
  [[nodiscard]] bool dead(const std::string& aReplica, TimePoint aNow) const;
  /** How many times as long as declared its work takes. */
  [[nodiscard]] double slowdown(const std::string& aReplica) const;
  /** Replicas so slow that work goes round them, with how slow they are. */
  [[nodiscard]] std::map<std::string, double> degraded() const;
  /** Part of its latest answers that were errors, 0 to 1. */
  [[nodiscard]] double errorRate(const std::string& aReplica) const;
  /** Replicas that are taken to be dead. */
  [[nodiscard]] std::set<std::string> deadReplicas(TimePoint aNow) const;
  /** Those of them that another replica named as what its work waits for. Only
   * these are told to other relays: one that this relay cannot reach may be
   * well, and this relay the one that is cut off. */
  [[nodiscard]] std::set<std::string> blockedOn(TimePoint aNow) const;

private:
  struct State
  {
    TimePoint avoidUntil{};
    bool dead = false;
    bool namedByReplica = false;
    double errors = 0;
    double pace = 1;
  };

  /** How long a replica that was taken for dead is left out: by then it has
   * left the list, after three silent heartbeats, or it lives. Until then each
   * request that tried it would stand still for seconds. */
  static constexpr Duration kListDelay = std::chrono::milliseconds{ 400 };
  Duration deadRest;
  std::unordered_map<std::string, State> states;
};

} // namespace poplartrack
