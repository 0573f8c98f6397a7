#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/retry/RetryCounts.h"
#include "poplartrack/retry/RetryPriority.h"

namespace poplartrack {

/** A bound on retries that holds for all relays together. */
struct SharedRetryPolicy
{
  /** Retries per request, over any window. */
  double ratio = 0.1;
  /** Retries in any window in addition to those. */
  double slack = 16;
  Duration window = std::chrono::seconds{ 10 };
};

/**
 * This relay's share of a retry budget that all relays have in common.
 *
 * A budget divided evenly among many relays leaves a few retries for each: when
 * replicas crash, the relays with many streams cut them while the shares of the
 * others are unused. Here each relay receives the counts of the others and
 * takes what is left of the budget in proportion to its own requests. The
 * shares add up to what is left, so relays that retry at the same moment do not
 * exceed the bound together.
 *
 * Part of the budget is reserved for streams that have started. Otherwise a
 * release that drains replicas, or full replicas that cause a retry for each
 * refused request, could use up the budget, and streams that lose a part of
 * their path would be cut.
 *
 * The slack counts only for relays whose counts have arrived recently: a relay
 * that is cut off from the others uses its own part of it. Does no I/O; not
 * thread-safe.
 */
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(const SharedRetryPolicy& aPolicy)
    : policy(aPolicy)
  {
  }

  /** Sets the number of relays that exist, this one included. */
  void setRelays(std::size_t aRelays) { this->relays = aRelays; }
  /** Counts a first attempt. */
  void onRequest(TimePoint aNow);
  /** Replaces the counts of another relay. */
  void onPeer(const std::string& aPeer, RetryCounts aCounts, TimePoint aNow);
  /** Returns whether one retry of this priority may be made now. */
  [[nodiscard]] bool mayRetry(RetryPriority aPriority, TimePoint aNow);
  /** Returns the same as mayRetry, and takes the retry from the budget if it
   * may be made. */
  bool tryRetry(RetryPriority aPriority, TimePoint aNow);
  /** Returns what this relay counted in the window that ends now. */
  [[nodiscard]] RetryCounts own(TimePoint aNow);

private:
  /** Slices of the window; each has its own counts. */
  static constexpr std::size_t kSlicesPerWindow = 20;
  /** One slice more than the window has: only part of the oldest slice has left
   * the window, and its retries still count. */
  static constexpr std::size_t kSlices = kSlicesPerWindow + 1;

  /** What another relay has reported. */
  struct Peer
  {
    RetryCounts counts;
    TimePoint receivedAt;
  };

  /** Returns the number of the slice that aNow lies in, counted from the
   * clock's epoch. */
  [[nodiscard]] std::int64_t sliceAt(TimePoint aNow) const;
  /** Clears the slices that have left the window, and drops peers that have
   * reported nothing for a whole window. */
  void advance(TimePoint aNow);

  SharedRetryPolicy policy;
  std::size_t relays = 1;
  /** Ring of slices, indexed by slice number modulo kSlices. */
  std::array<RetryCounts, kSlices> slices{};
  /** Number of the current slice. */
  std::int64_t newest = 0;
  std::map<std::string, Peer> peers;
};

} // namespace poplartrack
