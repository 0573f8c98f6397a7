#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "poplartrack/base/Clock.h"

namespace poplartrack {

/**
 * Keeps paths from beginning at replicas that fail the requests they receive.
 *
 * A replica that fails requests at once has few in flight, so a choice by load
 * prefers it, even while its health probes succeed.
 *
 * After three failures in a row a replica is ejected: no path begins there for
 * a time that doubles with each ejection since its last success. Then one
 * request is sent on trial; its success ends the ejection, its failure begins
 * the next one. A replica that one peer has ejected is ejected here after a
 * single failure, and one that two peers have ejected takes no request here
 * either: each of many relays would otherwise find out by failures of its own.
 * A single peer may have the fault itself. Pure; not thread-safe.
 */
class OutlierEjection
{
public:
  /** Maximum number of replicas in a report. */
  static constexpr std::size_t kMaxReported = 16;

  /** Sets the number of replicas in the list, which bounds the ejections; see
   * mostExcluded(). */
  void setListed(std::size_t aListed) { this->listed = aListed; }
  /** Records that a request that was sent at aSentAt, and whose path begins at
   * the replica, failed there. Returns whether this failure ejects the replica.
   */
  bool onFailure(const std::string& aReplica,
                 TimePoint aSentAt,
                 TimePoint aNow);
  /** Records that the replica has begun to answer a request with a stream, or
   * has answered it whole. Returns whether this ends an ejection. */
  bool onSuccess(const std::string& aReplica);
  /** Records that a request was sent to the replica. It is the trial if the
   * replica is ejected and a trial is due. */
  void onSent(const std::string& aReplica, TimePoint aNow);
  /** Records the replicas that a peer reports as ejected. Those of its earlier
   * reports are dropped, or kept until they expire if this one has as many as a
   * report can hold. */
  void onPeer(const std::string& aPeer,
              const std::vector<std::string>& aEjected,
              TimePoint aNow);
  /** Forgets peers that have sent no report for too long, and ends ejections
   * that no failed trial has confirmed for four times their duration. Without
   * this end, relays that send a replica no trial would report it for good.
   * Returns the replicas whose ejection ended. */
  std::vector<std::string> expire(TimePoint aNow);
  /** Drops the state of all other replicas. */
  void keepOnly(const std::set<std::string>& aKept);

  /** Returns whether no replica has failed here since its last success, and
   * none is ejected at a peer. */
  [[nodiscard]] bool empty() const
  {
    return this->states.empty() && this->peers.empty();
  }
  /** Returns whether a path may begin at the replica now. */
  [[nodiscard]] bool mayBegin(const std::string& aReplica,
                              TimePoint aNow) const;
  /** Returns the replicas that this relay itself has ejected. */
  [[nodiscard]] std::vector<std::string> ejected() const;
  /** Returns those of them that its report names now. If there are more than a
   * report can hold, they take turns. */
  [[nodiscard]] std::vector<std::string> report(TimePoint aNow) const;

private:
  struct State
  {
    /** Failures since the last success. */
    std::uint32_t failures = 0;
    /** Ejections since the last success. */
    std::uint32_t ejections = 0;
    /** When the next trial may be sent. */
    TimePoint nextTrialAt{};
    /** When the ejection ends unless a trial fails before. */
    TimePoint endsAt{};
    /** When the first trial since the last ejection was sent. */
    std::optional<TimePoint> trialSentAt;
  };
  /** The replicas that a peer has ejected, and when it last reported each. */
  using Peer = std::map<std::string, TimePoint>;

  [[nodiscard]] std::size_t peersThatEjected(const std::string& aReplica) const;

  std::unordered_map<std::string, State> states;
  std::map<std::string, Peer> peers;
  std::size_t listed = 0;
};

} // namespace poplartrack
