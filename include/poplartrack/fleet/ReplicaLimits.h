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

/** A relay that may send requests to a replica that limits them. */
struct RateLimitSharer
{
  Address address;
  std::string zone;

  friend bool operator==(const RateLimitSharer&,
                         const RateLimitSharer&) = default;
};

/** What a replica's latest answer said of its limit. */
struct RateLimitReport
{
  std::string replica;
  /** Requests a second from all relays; nothing: it limits them no more. */
  std::optional<double> perSecond;
  /** How long ago it said so. */
  Duration age{ 0 };
};

/**
 * This relay's part of what replicas in need take from all relays together.
 *
 * As many relays as the limit allows one request a second each have their turn,
 * those of the replica's availability zone first; the others send nothing. An
 * equal part for each of many relays would pass a small limit as soon as all of
 * them send one request at the same moment. Without an answer the turn goes on:
 * else nobody would hear that the limit is over.
 *
 * A part is earned while it is this relay's turn and not kept beyond it. Pure;
 * not thread-safe.
 */
class ReplicaLimits
{
public:
  /** This relay's own place. */
  void setSelf(RateLimitSharer aSelf) { this->self = std::move(aSelf); }
  /** The other relays that are heard, and how many there are, this one
   * included; the part of those that are not heard is left to them. */
  void setOthers(std::vector<RateLimitSharer> aHeard, std::size_t aKnown);
  /** An answer to this relay named a limit, or none; true when that is new. */
  bool onAnswer(const std::string& aReplica,
                const std::string& aZone,
                std::optional<double> aPerSecond,
                TimePoint aNow);
  /** Another relay tells what an answer said. */
  void onPeer(const RateLimitReport& aReport,
              const std::string& aZone,
              TimePoint aNow);
  /** A request goes there. */
  void onSent(const std::string& aReplica, TimePoint aNow);
  /** Drops replicas that are no longer listed, and limits long over. */
  void keepOnly(const std::set<std::string>& aListed);
  void expire(TimePoint aNow);

  /** Whether this relay may send a request there now. */
  [[nodiscard]] bool maySend(const std::string& aReplica, TimePoint aNow);
  /** Whether the replica limits requests. */
  [[nodiscard]] bool limited(const std::string& aReplica) const;
  [[nodiscard]] std::size_t limitedCount() const;
  /** What answers to this relay said, for the others. */
  [[nodiscard]] std::vector<RateLimitReport> own(TimePoint aNow) const;

private:
  struct Limit
  {
    std::string zone;
    std::optional<double> perSecond;
    TimePoint saidAt;
    bool fromOwnAnswer = false;
    /** This relay's place among all that take turns. */
    std::size_t position = 0;
    /** Requests that it may send, as of earnedAt. */
    double earned = 0;
    TimePoint earnedAt;
  };

  [[nodiscard]] std::size_t sharers() const { return this->others.size() + 1; }
  [[nodiscard]] std::size_t atOnce(double aPerSecond) const;
  [[nodiscard]] bool hasTurn(const Limit& aLimit, TimePoint aNow) const;
  void say(Limit& aLimit, std::optional<double> aPerSecond, TimePoint aAt);
  void earn(Limit& aLimit, TimePoint aNow) const;
  void place(const std::string& aReplica, Limit& aLimit) const;

  RateLimitSharer self;
  std::vector<RateLimitSharer> others;
  std::size_t known = 1;
  std::map<std::string, Limit> limits;
};

} // namespace poplartrack
