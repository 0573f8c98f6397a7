#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Clock.h"

namespace poplartrack {

/** A relay that may send requests to a replica that limits its request rate. */
struct RateLimitSharer
{
  Address address;
  std::string zone;

  friend bool operator==(const RateLimitSharer&,
                         const RateLimitSharer&) = default;
};

/** The rate limit that a replica's latest answer stated. */
struct RateLimitReport
{
  std::string replica;
  /** Requests per second from all relays together; nullopt: no limit any more.
   */
  std::optional<double> perSecond;
  /** Age of that answer. */
  Duration age{ 0 };
};

/**
 * Keeps this relay within its part of the rate limit that a replica sets for
 * all relays together.
 *
 * Relays take turns at a limited replica, ordered with those of the replica's
 * availability zone first. As many relays have their turn at once as the limit
 * allows one request per second each; the others send nothing. An equal part
 * for each of many relays would exceed a small limit as soon as all of them
 * sent one request at the same moment. If no answer arrives, the turn passes
 * on; otherwise no relay would learn that the limit is lifted.
 *
 * Credit for requests accumulates only during this relay's turn and is lost
 * when the turn ends. Pure; not thread-safe.
 */
class ReplicaLimits
{
public:
  /** Sets this relay's own address and zone. */
  void setSelf(RateLimitSharer aSelf) { this->self = std::move(aSelf); }
  /** Sets the other known relays and the number of all relays, this one
   * included. The part of relays that are not known peers is left to them. */
  void setOthers(std::vector<RateLimitSharer> aPeers, std::size_t aRelayCount);
  /** Records the limit, or the absence of one, in an answer to this relay;
   * returns whether it differs from before. */
  bool onAnswer(const std::string& aReplica,
                const std::string& aZone,
                std::optional<double> aPerSecond,
                TimePoint aNow);
  /** Records a limit that another relay reports. */
  void onPeer(const RateLimitReport& aReport,
              const std::string& aZone,
              TimePoint aNow);
  /** Records that this relay sends a request there. */
  void onSent(const std::string& aReplica, TimePoint aNow);
  /** Drops all other replicas. */
  void keepOnly(const std::set<std::string>& aKept);
  /** Drops limits that were lifted some time ago. */
  void expire(TimePoint aNow);

  /** Returns whether this relay may send a request there now. */
  [[nodiscard]] bool maySend(const std::string& aReplica, TimePoint aNow);
  /** Returns whether the replica limits its request rate. */
  [[nodiscard]] bool limited(const std::string& aReplica) const;
  [[nodiscard]] std::size_t limitedCount() const;
  /** Returns what answers to this relay stated, for the other relays. */
  [[nodiscard]] std::vector<RateLimitReport> own(TimePoint aNow) const;

private:
  struct Limit
  {
    /** Availability zone of the replica. */
    std::string zone;
    std::optional<double> perSecond;
    /** When the replica stated the limit. */
    TimePoint reportedAt;
    bool fromOwnAnswer = false;
    /** This relay's position in the order of turns. */
    std::size_t position = 0;
    /** Requests that this relay may send, as of refilledAt. */
    double credit = 0;
    TimePoint refilledAt;
  };

  [[nodiscard]] std::size_t sharerCount() const
  {
    return this->peers.size() + 1;
  }
  [[nodiscard]] std::size_t relaysInTurn(double aPerSecond) const;
  [[nodiscard]] bool hasTurn(const Limit& aLimit, TimePoint aNow) const;
  void setLimit(Limit& aLimit,
                std::optional<double> aPerSecond,
                TimePoint aReportedAt);
  void refill(Limit& aLimit, TimePoint aNow) const;
  void updatePosition(const std::string& aReplica, Limit& aLimit) const;

  RateLimitSharer self;
  std::vector<RateLimitSharer> peers;
  std::size_t relayCount = 1;
  std::map<std::string, Limit> limits;
};

} // namespace poplartrack
